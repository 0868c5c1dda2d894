#include "node/entry/forward_main.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "node/entry/forward_instance.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
// The interval between checks of the settings file, which may change without a
// signal.
constexpr Duration kSettingsCheckInterval = Seconds(2);

std::string
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

// Reads the settings file again when it changes.
class SettingsWatcher
{
public:
  SettingsWatcher(UvLoop& aLoop,
                  std::string aPath,
                  ForwardInstance& aInstance,
                  LineLog& aLog)
    : m_loop(aLoop)
    , m_path(std::move(aPath))
    , m_instance(aInstance)
    , m_log(aLog)
    , m_lastText(ReadText(m_path))
    , m_timer(aLoop, [this]() { Check(); })
  {
    m_timer.Set(m_loop.Now() + kSettingsCheckInterval);
  }

  void Check()
  {
    m_timer.Set(m_loop.Now() + kSettingsCheckInterval);
    std::string text = ReadText(m_path);
    if (text == m_lastText) {
      return;
    }
    m_lastText = std::move(text);
    ForwardSettingsResult result = ParseForwardSettings(m_lastText, m_path);
    if (!result.m_settings) {
      // The settings in force stay.
      m_log.Write(Event::kSettingsRefused,
                  { { "file", m_path },
                    { "findings", FormatFindings(result.m_findings) } });
      return;
    }
    m_instance.Reload(*result.m_settings);
    m_log.Write(Event::kSettingsReloaded, { { "outcome", "applied" } });
  }

private:
  UvLoop& m_loop;
  std::string m_path;
  ForwardInstance& m_instance;
  LineLog& m_log;
  std::string m_lastText;
  UvTimer m_timer;
};

} // namespace

int
RunForwardInstance(ForwardSettings aSettings,
                   const std::string& aSettingsPath,
                   const TrafficProtocol& aTraffic,
                   const StoreProtocol& aStore)
{
  // A write to a closed connection must return an error instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  UvLoop loop;
  LineLog log([&loop]() { return loop.Now(); }, {});
  ForwardInstance instance(loop, std::move(aSettings), aTraffic, aStore, log);
  std::string problem = instance.Start();
  if (!problem.empty()) {
    log.Write(Event::kListenFailed,
              { { "address", "" }, { "reason", problem } });
    log.Flush();
    return kExitRefused;
  }
  SettingsWatcher settings(loop, aSettingsPath, instance, log);
  auto stop = [&]() { instance.Stop([&loop]() { loop.Stop(); }); };
  UvSignal terminate(loop, SIGTERM, stop);
  UvSignal interrupt(loop, SIGINT, stop);
  UvSignal hangUp(loop, SIGHUP, [&]() { settings.Check(); });
  loop.Run();
  // The process's end closes connections and handles.
  std::_Exit(kExitOk);
}

} // namespace ebonykeel
