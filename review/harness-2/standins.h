// Stand-ins for the platform, searchers and clients, and a starter of
// `ebonykeeld` processes, for the scripts of this review. POSIX and the C++
// standard library only; all addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

// ---------------------------------------------------------------- time, record

inline int64_t
NowMs()
{
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - kStart)
    .count();
}

inline void
SleepMs(int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline void
SleepUntil(int64_t aAtMs)
{
  SleepMs(std::max<int64_t>(0, aAtMs - NowMs()));
}

inline int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Writes the record of a run, one line an event.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(std::fopen(aPath.c_str(), "w"))
  {
    if (m_file == nullptr) {
      std::perror(aPath.c_str());
      std::exit(2);
    }
  }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%7lld ", static_cast<long long>(NowMs()));
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(m_file, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

private:
  std::mutex m_mutex;
  FILE* m_file;
};

// ------------------------------------------------------------------------ HTTP

struct Message
{
  // The request line or the status line.
  std::string m_first;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : m_headers) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Method() const { return m_first.substr(0, m_first.find(' ')); }
  std::string Target() const
  {
    size_t begin = m_first.find(' ') + 1;
    return m_first.substr(begin, m_first.find(' ', begin) - begin);
  }
  std::string Path() const
  {
    std::string target = Target();
    return target.substr(0, target.find('?'));
  }
  std::string Query(const std::string& aKey) const
  {
    std::string target = Target();
    size_t at = target.find('?');
    while (at != std::string::npos) {
      size_t begin = at + 1;
      at = target.find('&', begin);
      std::string pair = target.substr(begin, at - begin);
      size_t equals = pair.find('=');
      if (pair.substr(0, equals) == aKey) {
        return equals == std::string::npos ? "" : pair.substr(equals + 1);
      }
    }
    return "";
  }
  int Status() const
  {
    size_t at = m_first.find(' ');
    return at == std::string::npos ? 0 : std::atoi(m_first.c_str() + at + 1);
  }
};

enum class ReadEnd
{
  kMessage,
  kClosed,
  kReset,
  kTimeout,
};

inline bool
WriteAll(int aSocket, const std::string& aBytes)
{
  size_t done = 0;
  while (done < aBytes.size()) {
    ssize_t count =
      send(aSocket, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<size_t>(count);
  }
  return true;
}

// Reads messages with a `Content-Length` or without a body.
class MessageReader
{
public:
  explicit MessageReader(int aSocket)
    : m_socket(aSocket)
  {
  }

  ReadEnd Read(Message& aMessage, int64_t aUntilMs)
  {
    size_t headEnd = std::string::npos;
    while ((headEnd = m_bytes.find("\r\n\r\n")) == std::string::npos) {
      ReadEnd end = More(aUntilMs);
      if (end != ReadEnd::kMessage) {
        return end;
      }
    }
    aMessage = Message();
    std::string head = m_bytes.substr(0, headEnd);
    size_t at = head.find("\r\n");
    aMessage.m_first = head.substr(0, at);
    while (at != std::string::npos) {
      size_t begin = at + 2;
      at = head.find("\r\n", begin);
      std::string line = head.substr(begin, at - begin);
      size_t colon = line.find(':');
      size_t value = line.find_first_not_of(" ", colon + 1);
      aMessage.m_headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
    size_t length =
      std::strtoull(aMessage.Header("Content-Length").c_str(), nullptr, 10);
    m_bytes.erase(0, headEnd + 4);
    while (m_bytes.size() < length) {
      ReadEnd end = More(aUntilMs);
      if (end != ReadEnd::kMessage) {
        return end;
      }
    }
    aMessage.m_body = m_bytes.substr(0, length);
    m_bytes.erase(0, length);
    return ReadEnd::kMessage;
  }

private:
  ReadEnd More(int64_t aUntilMs)
  {
    int64_t left = aUntilMs - NowMs();
    pollfd wait{ m_socket, POLLIN, 0 };
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) {
      return ReadEnd::kTimeout;
    }
    char buffer[16384];
    ssize_t count = recv(m_socket, buffer, sizeof(buffer), 0);
    if (count == 0) {
      return ReadEnd::kClosed;
    }
    if (count < 0) {
      return ReadEnd::kReset;
    }
    m_bytes.append(buffer, static_cast<size_t>(count));
    return ReadEnd::kMessage;
  }

  int m_socket;
  std::string m_bytes;
};

inline sockaddr_in
ToSocketAddress(const std::string& aHost, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

// Returns a connected socket, or -1.
inline int
Connect(const std::string& aHost, uint16_t aPort)
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToSocketAddress(aHost, aPort);
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(socket);
    return -1;
  }
  int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

// A server with a thread for each connection. The handler gets the socket and
// answers on it; it returns whether the connection stays open.
class Server
{
public:
  using Handler = std::function<bool(int aSocket, const Message& aRequest)>;

  Server(std::string aHost, Handler aHandler)
    : m_host(std::move(aHost))
    , m_handler(std::move(aHandler))
  {
  }

  // Listens on a free port.
  void Start()
  {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = ToSocketAddress(m_host, m_port);
    if (bind(m_listener,
             reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(m_listener, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t length = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_up = true;
    std::thread([this, listener = m_listener]() { Accept(listener); }).detach();
  }

  // Closes the listener and resets all connections, as the end of the process
  // would.
  void Stop()
  {
    m_up = false;
    shutdown(m_listener, SHUT_RDWR);
    close(m_listener);
    CloseConnections();
  }

  void CloseConnections()
  {
    std::lock_guard lock(m_mutex);
    for (int socket : m_sockets) {
      linger reset{ 1, 0 };
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(socket, SHUT_RDWR);
    }
  }

  uint16_t Port() const { return m_port; }
  std::string Address() const { return m_host + ":" + std::to_string(m_port); }
  bool IsUp() const { return m_up; }

private:
  void Accept(int aListener)
  {
    while (true) {
      int socket = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (errno == EINTR || errno == ECONNABORTED) {
          continue;
        }
        return;
      }
      int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, socket]() { Serve(socket); }).detach();
    }
  }

  void Serve(int aSocket)
  {
    {
      std::lock_guard lock(m_mutex);
      m_sockets.push_back(aSocket);
    }
    MessageReader reader(aSocket);
    Message request;
    constexpr int64_t kIdleMs = 60000;
    while (reader.Read(request, NowMs() + kIdleMs) == ReadEnd::kMessage &&
           m_handler(aSocket, request)) {
    }
    std::lock_guard lock(m_mutex);
    std::erase(m_sockets, aSocket);
    close(aSocket);
  }

  std::string m_host;
  Handler m_handler;
  int m_listener = -1;
  uint16_t m_port = 0;
  std::atomic<bool> m_up = false;
  std::mutex m_mutex;
  std::vector<int> m_sockets;
};

inline std::string
Answer(int aStatus, const std::string& aHeaderLines, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " x\r\n" + aHeaderLines +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// -------------------------------------------------------------------- platform

// The platform's metadata store: objects by kind and name, lists, watches and
// changes under a revision.
class Store
{
public:
  explicit Store(Record& aRecord)
    : m_record(aRecord)
    , m_server("127.0.0.1", [this](int aSocket, const Message& aRequest) {
      return OnRequest(aSocket, aRequest);
    })
  {
  }

  void Start() { m_server.Start(); }
  std::string Address() const { return m_server.Address(); }

  // Writes an object's `spec`, as the operator or a searcher does. A write that
  // changes nothing does not raise the revision. Returns the revision.
  uint64_t Put(const std::string& aKind,
               const std::string& aName,
               const std::string& aSpec)
  {
    std::lock_guard lock(m_mutex);
    Object& object = m_state.m_objects[aKind][aName];
    if (object.m_revision != 0 && object.m_spec == aSpec) {
      return object.m_revision;
    }
    object.m_spec = aSpec;
    object.m_revision = ++m_state.m_revision;
    if (object.m_created == 0) {
      object.m_created = object.m_revision;
    }
    m_state.m_history.push_back(
      { m_state.m_revision, aKind, Render(aName, object), false });
    m_changed.notify_all();
    return object.m_revision;
  }

  uint64_t Remove(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(m_mutex);
    auto found = m_state.m_objects[aKind].find(aName);
    if (found == m_state.m_objects[aKind].end()) {
      return m_state.m_revision;
    }
    m_state.m_history.push_back(
      { ++m_state.m_revision, aKind, Render(aName, found->second), true });
    m_state.m_objects[aKind].erase(found);
    m_changed.notify_all();
    return m_state.m_revision;
  }

  uint64_t Revision()
  {
    std::lock_guard lock(m_mutex);
    return m_state.m_revision;
  }
  uint64_t Calls() const { return m_calls; }

  // Keeps a copy of everything, to which `Restore` returns.
  void Copy()
  {
    std::lock_guard lock(m_mutex);
    m_copy = m_state;
    m_record.Line("store: copy at revision %llu",
                  static_cast<unsigned long long>(m_copy.m_revision));
  }
  // Is away: connections are reset and new ones are refused an answer.
  void GoAway()
  {
    {
      std::lock_guard lock(m_mutex);
      m_away = true;
      m_changed.notify_all();
    }
    m_server.CloseConnections();
    m_record.Line("store: away at revision %llu",
                  static_cast<unsigned long long>(Revision()));
  }
  // Comes back, from the copy if asked to.
  void ComeBack(bool aFromCopy)
  {
    std::lock_guard lock(m_mutex);
    if (aFromCopy) {
      m_state = m_copy;
      ++m_era;
    }
    m_away = false;
    m_record.Line("store: back at revision %llu, era %d",
                  static_cast<unsigned long long>(m_state.m_revision),
                  m_era);
  }

private:
  struct Object
  {
    std::string m_spec;
    uint64_t m_revision = 0;
    uint64_t m_created = 0;
  };
  struct Change
  {
    uint64_t m_revision = 0;
    std::string m_kind;
    std::string m_object;
    bool m_deleted = false;
  };
  struct State
  {
    uint64_t m_revision = 10;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
  };

  static std::string Render(const std::string& aName, const Object& aObject)
  {
    return "{\"meta\":{\"name\":\"" + aName +
           "\",\"revision\":" + std::to_string(aObject.m_revision) +
           ",\"createdRevision\":" + std::to_string(aObject.m_created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + aObject.m_spec +
           ",\"status\":{}}";
  }

  bool Contains(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(m_mutex);
    return m_state.m_objects[aKind].contains(aName);
  }

  bool Reply(int aSocket, int aStatus, const std::string& aBody)
  {
    std::string headers =
      "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era) +
      "\r\n";
    return WriteAll(aSocket, Answer(aStatus, headers, aBody));
  }

  bool OnRequest(int aSocket, const Message& aRequest)
  {
    ++m_calls;
    constexpr int64_t kAnswerMs = 4;
    SleepMs(kAnswerMs);
    std::string path = aRequest.Path();
    constexpr std::string_view kPrefix = "/objects/";
    if (!path.starts_with(kPrefix)) {
      return Reply(aSocket, 404, "{}");
    }
    path.erase(0, kPrefix.size());
    std::string kind = path.substr(0, path.find('/'));
    std::string name =
      kind.size() < path.size() ? path.substr(kind.size() + 1) : "";
    if (aRequest.Method() == "POST") {
      return OnCreate(aSocket, kind, aRequest.m_body);
    }
    if (aRequest.Method() == "DELETE") {
      Remove(kind, name);
      return Reply(aSocket, 200, "{}");
    }
    if (!aRequest.Query("watch").empty()) {
      return OnWatch(
        aSocket,
        kind,
        std::strtoull(aRequest.Query("watch").c_str(), nullptr, 10),
        std::atoi(aRequest.Query("waitMs").c_str()));
    }
    std::unique_lock lock(m_mutex);
    if (m_away) {
      return false;
    }
    std::string items;
    for (const auto& [itemName, object] : m_state.m_objects[kind]) {
      if (!name.empty() && itemName != name) {
        continue;
      }
      items += (items.empty() ? "" : ",") + Render(itemName, object);
    }
    std::string body = name.empty() ? "{\"items\":[" + items +
                                        "],\"hasMore\":false,\"asOf\":" +
                                        std::to_string(m_state.m_revision) + "}"
                                    : items;
    lock.unlock();
    return Reply(aSocket, body.empty() ? 404 : 200, body.empty() ? "{}" : body);
  }

  bool OnCreate(int aSocket, const std::string& aKind, const std::string& aBody)
  {
    {
      std::lock_guard lock(m_mutex);
      if (m_away) {
        return false;
      }
    }
    size_t at = aBody.find("\"name\":\"");
    size_t begin = at + std::strlen("\"name\":\"");
    if (at == std::string::npos) {
      return Reply(aSocket, 400, "{}");
    }
    std::string name = aBody.substr(begin, aBody.find('"', begin) - begin);
    if (Contains(aKind, name)) {
      return Reply(aSocket, 409, "{}");
    }
    uint64_t revision = Put(aKind, name, "{\"created\":true}");
    m_record.Line("store: created %s/%s, revision %llu",
                  aKind.c_str(),
                  name.c_str(),
                  static_cast<unsigned long long>(revision));
    return Reply(aSocket, 200, "{}");
  }

  bool OnWatch(int aSocket,
               const std::string& aKind,
               uint64_t aSince,
               int64_t aWaitMs)
  {
    auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(aWaitMs);
    std::unique_lock lock(m_mutex);
    int era = m_era;
    while (true) {
      if (m_away || m_era != era) {
        return false;
      }
      if (aSince > m_state.m_revision) {
        lock.unlock();
        return Reply(aSocket, 410, "{\"error\":\"no such revision\"}");
      }
      std::string events;
      for (const Change& change : m_state.m_history) {
        if (change.m_kind == aKind && change.m_revision > aSince) {
          events += (events.empty() ? "" : ",") +
                    ("{\"object\":" + change.m_object + ",\"deleted\":" +
                     (change.m_deleted ? "true" : "false") + "}");
        }
      }
      bool timedOut = std::chrono::steady_clock::now() >= until;
      if (!events.empty() || timedOut) {
        std::string body = "{\"events\":[" + events +
                           "],\"asOf\":" + std::to_string(m_state.m_revision) +
                           "}";
        lock.unlock();
        return Reply(aSocket, 200, body);
      }
      m_changed.wait_until(lock, until);
    }
  }

  Record& m_record;
  Server m_server;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  State m_state;
  State m_copy;
  bool m_away = false;
  int m_era = 1;
  std::atomic<uint64_t> m_calls = 0;
};

// ------------------------------------------------------------------- searchers

struct Run
{
  std::string m_attempt;
  std::string m_searcher;
  std::string m_service;
  int64_t m_atMs = 0;
};

// What all searchers ran.
class Ledger
{
public:
  void Add(Run aRun)
  {
    std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(aRun));
  }
  std::vector<Run> All()
  {
    std::lock_guard lock(m_mutex);
    return m_runs;
  }

private:
  std::mutex m_mutex;
  std::vector<Run> m_runs;
};

struct SearcherOptions
{
  std::string m_id;
  std::string m_service;
  std::string m_zone = "z1";
  int m_slots = 4;
  int64_t m_workMs = 10;
};

// A searcher that runs each request it accepts and answers with its signature.
class Searcher
{
public:
  Searcher(SearcherOptions aOptions, Ledger& aLedger, Record& aRecord)
    : m_options(std::move(aOptions))
    , m_ledger(aLedger)
    , m_record(aRecord)
    , m_server("127.0.0.1",
               [this](int aSocket, const Message& aRequest) {
                 return OnRequest(aSocket, aRequest);
               })
    , m_born(UnixMs())
  {
  }

  void Start() { m_server.Start(); }
  // Ends like a crashed process.
  void Crash() { m_server.Stop(); }
  bool IsUp() const { return m_server.IsUp(); }
  const SearcherOptions& Options() const { return m_options; }

  // Called before a request runs; returns false if the searcher has crashed.
  std::function<bool(const Message& aRequest)> m_beforeRun;
  // Called before the answer; returns false if it has dealt with the request.
  std::function<bool(int aSocket)> m_beforeAnswer;

  std::string Registration(const std::string& aState, int64_t aColdMs = 0) const
  {
    return "{\"service\":\"" + m_options.m_service + "\",\"address\":\"" +
           m_server.Address() + "\",\"zone\":\"" + m_options.m_zone +
           "\",\"version\":\"v1\",\"slots\":" +
           std::to_string(m_options.m_slots) + ",\"state\":\"" + aState +
           "\",\"warmupRemainingMs\":" + std::to_string(aColdMs) +
           ",\"sequence\":1,\"born\":" + std::to_string(m_born) + "}";
  }

private:
  bool OnRequest(int aSocket, const Message& aRequest)
  {
    std::string attempt = aRequest.Header("Attempt-Id");
    std::string echo = "Attempt-Id: " + attempt + "\r\n";
    std::string expected = aRequest.Header("Expected-Instance");
    if (!expected.empty() && expected != m_options.m_id) {
      return WriteAll(aSocket, Answer(421, echo + "Not-Executed: 1\r\n", ""));
    }
    if (m_beforeRun && !m_beforeRun(aRequest)) {
      return false;
    }
    m_ledger.Add({ attempt, m_options.m_id, m_options.m_service, NowMs() });
    m_record.Line("run    %s at %s", attempt.c_str(), m_options.m_id.c_str());
    SleepMs(m_options.m_workMs);
    if (m_beforeAnswer && !m_beforeAnswer(aSocket)) {
      return false;
    }
    std::string stamp =
      "Server-Stamp: " + m_options.m_id + "." + attempt + "\r\n";
    return WriteAll(aSocket,
                    Answer(200, echo + stamp, "from " + m_options.m_service));
  }

  SearcherOptions m_options;
  Ledger& m_ledger;
  Record& m_record;
  Server m_server;
  int64_t m_born;
};

// ------------------------------------------------------------------- processes

struct NodeOptions
{
  std::string m_program;
  std::string m_folder;
  std::string m_store;
  // The hosts of all instances; the first three are the seeds.
  std::vector<std::string> m_hosts;
  std::vector<std::string> m_zones;
  // Further tables of the settings.
  std::string m_moreSettings;
};

// One `ebonykeeld`, with settings like those that the platform makes of
// `deploy/node.toml`.
class Node
{
public:
  static constexpr uint16_t kCallerPort = 8104;
  static constexpr uint16_t kDirectoryPort = 8100;
  static constexpr uint16_t kReadyPort = 8108;

  Node(const NodeOptions& aOptions, size_t aIndex, Record& aRecord)
    : m_options(aOptions)
    , m_index(aIndex)
    , m_record(aRecord)
  {
  }
  ~Node() { Signal(SIGKILL); }

  const std::string& Host() const { return m_options.m_hosts[m_index]; }
  const std::string& Zone() const
  {
    return m_options.m_zones[m_index % m_options.m_zones.size()];
  }

  void Start(bool aFirstStart)
  {
    std::string settings =
      m_options.m_folder + "/node-" + std::to_string(m_index) + ".toml";
    WriteSettings(settings, aFirstStart);
    std::string log =
      m_options.m_folder + "/node-" + std::to_string(m_index) + ".log";
    std::string argument = "--settings=" + settings;
    m_pid = fork();
    if (m_pid == 0) {
      // The instance ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      FILE* output = std::fopen(log.c_str(), "a");
      dup2(fileno(output), 1);
      dup2(fileno(output), 2);
      execl(m_options.m_program.c_str(),
            m_options.m_program.c_str(),
            argument.c_str(),
            nullptr);
      _exit(127);
    }
    m_record.Line("node %zu started, %s", m_index, Host().c_str());
  }

  void Signal(int aSignal)
  {
    if (m_pid <= 0) {
      return;
    }
    kill(m_pid, aSignal);
    if (aSignal == SIGKILL) {
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }

  // Returns whether the process has ended by itself.
  bool HasEnded()
  {
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_record.Line("node %zu ended, status %d", m_index, status);
      m_pid = -1;
    }
    return m_pid < 0;
  }

  bool IsReady() const
  {
    int socket = Connect(Host(), kReadyPort);
    if (socket < 0) {
      return false;
    }
    WriteAll(socket, "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
    MessageReader reader(socket);
    Message answer;
    bool ready = reader.Read(answer, NowMs() + 1000) == ReadEnd::kMessage &&
                 answer.Status() == 200;
    close(socket);
    return ready;
  }

private:
  void WriteSettings(const std::string& aPath, bool aFirstStart) const
  {
    auto at = [&](uint16_t aPort) {
      return "\"" + Host() + ":" + std::to_string(aPort) + "\"\n";
    };
    std::string seeds;
    for (size_t i = 0; i < std::min<size_t>(3, m_options.m_hosts.size()); ++i) {
      seeds += (seeds.empty() ? "" : ",") + m_options.m_hosts[i] + ":8106";
    }
    std::ofstream file(aPath);
    file << "mode = \"forward\"\nid = \"front-" << Zone() << "-" << m_index
         << "\"\ndata_centre = \"" << Zone() << "\"\nhost = \"" << Host()
         << "\"\nprocessor_share = 0.17\nprocessor_speed = 1\nseeds = \""
         << seeds << "\"\nfirst_start = " << (aFirstStart ? "true" : "false")
         << "\n[listen]\ncallers = " << at(kCallerPort)
         << "directory = " << at(kDirectoryPort)
         << "readiness = " << at(kReadyPort)
         << "peer_port = 7380\nmetrics_port = 9464\n[store]\naddress = \""
         << m_options.m_store
         << "\"\n[forward]\nextra_share = 0.2\nextra_burst = 126\n"
            "extra_window_ms = 10000\ngrace_ms = 6000\n"
         << m_options.m_moreSettings;
  }

  const NodeOptions& m_options;
  size_t m_index;
  Record& m_record;
  pid_t m_pid = -1;
};

// Returns loopback hosts of this run's own.
inline std::vector<std::string>
PickHosts(size_t aCount)
{
  std::random_device random;
  std::string net = "127." + std::to_string(20 + random() % 200) + "." +
                    std::to_string(1 + random() % 250) + ".";
  std::vector<std::string> hosts;
  for (size_t i = 0; i < aCount; ++i) {
    hosts.push_back(net + std::to_string(i + 1));
  }
  return hosts;
}

// Ends the instances and the script.
[[noreturn]] inline void
End(std::vector<std::unique_ptr<Node>>& aNodes, int aStatus)
{
  aNodes.clear();
  // Threads of the stand-ins still run, so nothing is destroyed.
  std::_Exit(aStatus);
}

inline bool
WaitReady(std::vector<std::unique_ptr<Node>>& aNodes, int64_t aUntilMs)
{
  while (NowMs() < aUntilMs) {
    if (std::ranges::all_of(
          aNodes, [](const auto& aNode) { return aNode->IsReady(); })) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

// --------------------------------------------------------------------- clients

struct Sent
{
  std::string m_attempt;
  std::string m_host;
  int64_t m_sentMs = 0;
  int64_t m_endMs = 0;
  // 0 if there was no answer.
  int m_status = 0;
  std::string m_body;
};

inline std::string
NewAttemptId()
{
  static std::atomic<uint64_t> next = [] {
    std::random_device random;
    return (uint64_t{ random() } << 32) & 0x7fffffff00000000ULL;
  }();
  char text[32];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(next++));
  return text;
}

// Sends one request on a new connection and waits for its answer.
inline Sent
SendRequest(const std::string& aHost,
            const std::string& aPath,
            int64_t aDeadlineMs,
            Record& aRecord)
{
  Sent sent;
  sent.m_attempt = NewAttemptId();
  sent.m_host = aHost;
  int socket = Connect(aHost, Node::kCallerPort);
  sent.m_sentMs = NowMs();
  if (socket >= 0) {
    WriteAll(socket,
             "POST " + aPath +
               " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + sent.m_attempt +
               "\r\nDeadline-Milliseconds: " + std::to_string(aDeadlineMs) +
               "\r\nContent-Length: 4\r\n\r\nbody");
    MessageReader reader(socket);
    Message answer;
    if (reader.Read(answer, sent.m_sentMs + aDeadlineMs + 1000) ==
        ReadEnd::kMessage) {
      sent.m_status = answer.Status();
      sent.m_body = answer.m_body;
    }
    close(socket);
  }
  sent.m_endMs = NowMs();
  aRecord.Line("sent   %s to %s at %lld: %d %s",
               sent.m_attempt.c_str(),
               aHost.c_str(),
               static_cast<long long>(sent.m_sentMs),
               sent.m_status,
               sent.m_body.c_str());
  return sent;
}

// Clients that send a request to each instance in turn, `aPerSecond` in all.
class Clients
{
public:
  Clients(std::vector<std::string> aHosts,
          std::string aPath,
          int64_t aDeadlineMs,
          int64_t aPerSecond,
          Record& aRecord)
    : m_hosts(std::move(aHosts))
    , m_path(std::move(aPath))
    , m_deadlineMs(aDeadlineMs)
    , m_perSecond(aPerSecond)
    , m_record(aRecord)
  {
  }

  void Start()
  {
    m_thread = std::thread([this]() { Loop(); });
  }
  // Stops sending, and waits for the last answers.
  std::vector<Sent> Stop()
  {
    m_stop = true;
    m_thread.join();
    for (std::thread& request : m_requests) {
      request.join();
    }
    return m_sent;
  }

private:
  void Loop()
  {
    int64_t begin = NowMs();
    for (int64_t count = 0; !m_stop; ++count) {
      SleepUntil(begin + count * 1000 / m_perSecond);
      const std::string& host =
        m_hosts[static_cast<size_t>(count) % m_hosts.size()];
      m_requests.emplace_back([this, host]() {
        Sent sent = SendRequest(host, m_path, m_deadlineMs, m_record);
        std::lock_guard lock(m_mutex);
        m_sent.push_back(sent);
      });
    }
  }

  std::vector<std::string> m_hosts;
  std::string m_path;
  int64_t m_deadlineMs;
  int64_t m_perSecond;
  Record& m_record;
  std::atomic<bool> m_stop = false;
  std::thread m_thread;
  std::vector<std::thread> m_requests;
  std::mutex m_mutex;
  std::vector<Sent> m_sent;
};

// A case: TROUBLE=0 runs it without the disruption.
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string
MakeFolder()
{
  const char* base = std::getenv("TMPDIR");
  std::string text =
    std::string(base == nullptr ? "/tmp" : base) + "/ebonykeel-review-XXXXXX";
  if (mkdtemp(text.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  return text;
}

} // namespace review
