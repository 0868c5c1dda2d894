// Starts the instances as separate processes, with the command of the deploy
// file and settings made from its template.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "record.h"

namespace review {

// The ports of the platform's pages; each instance has an address of its own.
constexpr uint16_t kFrontPort = 8104;
constexpr uint16_t kReadyPort = 8108;
constexpr uint16_t kDirectoryPort = 8100;
constexpr uint16_t kControlPort = 8106;
constexpr uint16_t kInternalPort = 7380;
constexpr uint16_t kMetricsPort = 9464;

inline std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

inline std::string
ReplaceAll(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  for (size_t at = aText.find(aFrom); at != std::string::npos;
       at = aText.find(aFrom, at + aTo.size())) {
    aText.replace(at, aFrom.size(), aTo);
  }
  return aText;
}

// The loopback network of this run: 127.X.Y.
inline std::string
LoopbackNetwork()
{
  int id = getpid();
  return "127." + std::to_string(64 + id % 128) + "." +
         std::to_string(id / 128 % 256) + ".";
}

inline bool
IsFree(const Address& aAddress)
{
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = SocketAddress(aAddress);
  bool isFree =
    bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
    0;
  close(descriptor);
  return isFree;
}

class Fleet
{
public:
  // `aZones` holds the zone of each instance, `aStores` the address at which
  // each reaches the store: one for all or one for each. `aRoot` is the
  // repository.
  Fleet(std::string aRoot,
        std::vector<std::string> aZones,
        const std::vector<Address>& aStores,
        Record& aRecord)
    : m_root(std::move(aRoot))
    , m_zones(std::move(aZones))
    , m_record(aRecord)
    , m_pids(m_zones.size(), -1)
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    for (size_t i = 0; i < m_zones.size(); ++i) {
      std::ofstream(SettingsPath(i))
        << MakeSettings(i, aStores[i % aStores.size()]);
    }
  }
  ~Fleet()
  {
    for (size_t i = 0; i < m_pids.size(); ++i) {
      Kill(i);
    }
    std::filesystem::remove_all(m_folder);
  }

  [[nodiscard]] size_t Count() const { return m_zones.size(); }
  [[nodiscard]] std::string Host(size_t aIndex) const
  {
    return LoopbackNetwork() + std::to_string(aIndex + 1);
  }
  [[nodiscard]] const std::string& Zone(size_t aIndex) const
  {
    return m_zones[aIndex];
  }

  // Returns whether the ports of all instances are free.
  [[nodiscard]] bool PortsAreFree() const
  {
    for (size_t i = 0; i < Count(); ++i) {
      for (uint16_t port : { kFrontPort,
                             kReadyPort,
                             kDirectoryPort,
                             kInternalPort,
                             kMetricsPort }) {
        if (!IsFree({ Host(i), port })) {
          return false;
        }
      }
    }
    return true;
  }

  void Start(size_t aIndex)
  {
    std::string settings = SettingsPath(aIndex);
    std::string log = m_folder + "/log-" + std::to_string(aIndex);
    std::vector<std::string> words = Command(settings);
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
      // The instance ends with the case.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(output, 1);
      dup2(output, 2);
      if (getppid() == parent && chdir(m_root.c_str()) == 0) {
        execv(arguments[0], arguments.data());
      }
      _exit(127);
    }
    m_pids[aIndex] = pid;
    m_record.Line("instance " + std::to_string(aIndex) + " starts, process " +
                  std::to_string(pid));
  }

  void Kill(size_t aIndex)
  {
    pid_t& pid = m_pids[aIndex];
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
      m_record.Line("instance " + std::to_string(aIndex) + " killed");
      pid = -1;
    }
  }

  // Returns whether the process still runs.
  [[nodiscard]] bool Runs(size_t aIndex)
  {
    pid_t& pid = m_pids[aIndex];
    if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) {
      m_record.Note("instance " + std::to_string(aIndex) + " ended by itself");
      pid = -1;
    }
    return pid > 0;
  }

  // Asks an instance for its readiness, as the platform does.
  [[nodiscard]] bool IsReady(size_t aIndex) const
  {
    auto connection =
      Connection::Open({ Host(aIndex), kReadyPort }, Milliseconds(500));
    Response response;
    return connection != nullptr &&
           connection->Write(
             Serialize(Request{ .m_target = "/ready",
                                .m_headers = { { "Host", Host(aIndex) } } })) &&
           connection->Read(response, Clock::now() + Milliseconds(500)) &&
           response.m_status == 200;
  }

  [[nodiscard]] bool WaitUntilReady(Milliseconds aTimeout) const
  {
    TimePoint end = Clock::now() + aTimeout;
    size_t ready = 0;
    while (ready < Count() && Clock::now() < end) {
      std::this_thread::sleep_for(Milliseconds(100));
      ready = 0;
      for (size_t i = 0; i < Count(); ++i) {
        ready += IsReady(i) ? 1 : 0;
      }
    }
    return ready == Count();
  }

  [[nodiscard]] std::string LogOf(size_t aIndex) const
  {
    return ReadFile(m_folder + "/log-" + std::to_string(aIndex));
  }

private:
  [[nodiscard]] std::string SettingsPath(size_t aIndex) const
  {
    return m_folder + "/node-" + std::to_string(aIndex) + ".toml";
  }

  // Returns the command of the deploy file for the settings at `aSettings`.
  [[nodiscard]] std::vector<std::string> Command(
    const std::string& aSettings) const
  {
    std::string deploy = ReadFile(m_root + "/deploy/system.toml");
    constexpr std::string_view kKey = "\nrun = \"";
    size_t begin = deploy.find(kKey) + kKey.size();
    std::string run = deploy.substr(begin, deploy.find('"', begin) - begin);
    run = ReplaceAll(run, "/etc/ebonykeel/node.toml", aSettings);
    std::istringstream stream(run);
    return { std::istream_iterator<std::string>(stream), {} };
  }

  // Fills in the template like the platform, with the bounds of the small
  // deployments of the pages.
  [[nodiscard]] std::string MakeSettings(size_t aIndex,
                                         const Address& aStore) const
  {
    auto at = [&](uint16_t aPort) {
      return Address{ Host(aIndex), aPort }.Text();
    };
    std::string seeds;
    for (size_t i = 0; i < std::min<size_t>(3, Count()); ++i) {
      seeds +=
        (seeds.empty() ? "" : ",") + Address{ Host(i), kControlPort }.Text();
    }
    std::map<std::string, std::string> values{
      { "node", "front-" + std::to_string(aIndex) },
      { "zone", m_zones[aIndex] },
      { "ip", Host(aIndex) },
      { "limits.cpuShare", "0.17" },
      { "limits.cores", "1" },
      { "seeds", seeds },
      { "bootstrap|json", "true" },
      { "listen.front", at(kFrontPort) },
      { "listen.directory", at(kDirectoryPort) },
      { "listen.ready", at(kReadyPort) },
      { "internalPortRange.0", std::to_string(kInternalPort) },
      { "platform.address", aStore.Text() },
      { "bounds.retryBudgetRatio", "0.2" },
      { "bounds.retryBudgetSlack", "113" },
      { "bounds.retryWindowS", "10" },
      { "bounds.gracePeriodS", "6" },
    };
    std::string text = ReadFile(m_root + "/deploy/node.toml");
    for (const auto& [name, value] : values) {
      text = ReplaceAll(text, "{{" + name + "}}", value);
    }
    return text;
  }

  std::string m_root;
  std::vector<std::string> m_zones;
  Record& m_record;
  std::string m_folder;
  std::vector<pid_t> m_pids;
};

} // namespace review
