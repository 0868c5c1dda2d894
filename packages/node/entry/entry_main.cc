#include "node/entry/entry_main.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "node/entry/entry_node.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
// Between two looks at the settings file, which may change without a signal.
constexpr Duration kSettingsInterval = Seconds(2);

std::string
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

// Reads the settings file again when it changes.
class SettingsWatch
{
public:
  SettingsWatch(UvLoop& aLoop,
                std::string aPath,
                EntryNode& aNode,
                LineLog& aLog)
    : m_loop(aLoop)
    , m_path(std::move(aPath))
    , m_node(aNode)
    , m_log(aLog)
    , m_text(ReadText(m_path))
    , m_timer(aLoop, [this]() { Check(); })
  {
    m_timer.Set(m_loop.Now() + kSettingsInterval);
  }

  void Check()
  {
    m_timer.Set(m_loop.Now() + kSettingsInterval);
    std::string text = ReadText(m_path);
    if (text == m_text) {
      return;
    }
    m_text = std::move(text);
    ForwardSettingsResult result = ParseForwardSettings(m_text, m_path);
    if (!result.m_settings) {
      // What was in force stays.
      m_log.Write(Event::kSettingsRefused,
                  { { "file", m_path },
                    { "findings", FormatFindings(result.m_findings) } });
      return;
    }
    m_node.Reload(*result.m_settings);
    m_log.Write(Event::kSettingsReloaded, { { "outcome", "applied" } });
  }

private:
  UvLoop& m_loop;
  std::string m_path;
  EntryNode& m_node;
  LineLog& m_log;
  std::string m_text;
  UvTimer m_timer;
};

} // namespace

int
RunEntry(ForwardSettings aSettings,
         const std::string& aSettingsPath,
         const TrafficProtocol& aTraffic,
         const StoreProtocol& aStore)
{
  // A write to a closed connection is reported where it was made.
  std::signal(SIGPIPE, SIG_IGN);
  UvLoop loop;
  LineLog log({});
  EntryNode node(loop, std::move(aSettings), aTraffic, aStore, log);
  std::string problem = node.Start();
  if (!problem.empty()) {
    log.Write(Event::kListenFailed,
              { { "address", "" }, { "reason", problem } });
    log.Flush();
    return kExitRefused;
  }
  SettingsWatch settings(loop, aSettingsPath, node, log);
  auto stop = [&]() { node.Stop([&loop]() { loop.Stop(); }); };
  UvSignal terminate(loop, SIGTERM, stop);
  UvSignal interrupt(loop, SIGINT, stop);
  UvSignal hangUp(loop, SIGHUP, [&]() { settings.Check(); });
  loop.Run();
  // Connections and handles go with the process.
  std::_Exit(kExitOk);
}

} // namespace ebonykeel
