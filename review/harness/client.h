// A stand-in for a client: asks the directory where to connect, keeps its
// connection, and makes a new attempt where the pages allow one.
#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.h"
#include "record.h"

namespace review {

struct ClientOptions
{
  std::string m_zone;
  std::string m_method = "GET";
  std::string m_path = "/";
  std::string m_body;
  Milliseconds m_deadline{ 5000 };
  // Whether the route's requests may be repeated.
  bool m_safe = true;
  // The instance to which requests are sent directly; the directory's if empty.
  std::string m_instance;
};

// The answer to one attempt; status 0 if there was none.
struct AttemptResult
{
  std::string m_id;
  int m_status = 0;
  Headers m_headers;
};

inline std::string
NewAttemptId()
{
  static std::atomic<uint64_t> next = 1;
  static const uint64_t first = std::random_device()();
  char text[24];
  std::snprintf(text,
                sizeof(text),
                "%08x%08x",
                static_cast<unsigned>(first),
                static_cast<unsigned>(next++));
  return text;
}

class Client
{
public:
  static constexpr std::string_view kHost = "desk.example";

  Client(ClientOptions aOptions,
         const Fleet& aFleet,
         uint64_t aSeed,
         Record& aRecord)
    : m_options(std::move(aOptions))
    , m_fleet(aFleet)
    , m_random(aSeed)
    , m_record(aRecord)
  {
  }

  // Sends a request; returns its attempts, the last one last.
  std::vector<AttemptResult> Send()
  {
    constexpr int kMaxRetries = 1;
    TimePoint deadline = Clock::now() + m_options.m_deadline;
    std::vector<AttemptResult> attempts;
    for (int i = 0; i <= kMaxRetries; ++i) {
      std::chrono::duration<double> retryAfter(0);
      attempts.push_back(TryOnce(deadline, retryAfter));
      int status = attempts.back().m_status;
      bool promised =
        status == 429 || status == 503 || status == 408 || status == 421;
      bool mayRetry = promised || (m_options.m_safe && status != 200);
      auto left = deadline - Clock::now();
      if (!mayRetry || left <= Milliseconds(0)) {
        break;
      }
      m_connection = nullptr;
      std::this_thread::sleep_for(
        std::min(std::chrono::duration_cast<Milliseconds>(retryAfter),
                 std::chrono::duration_cast<Milliseconds>(left / 3)));
    }
    return attempts;
  }

private:
  AttemptResult TryOnce(TimePoint aDeadline,
                        std::chrono::duration<double>& aRetryAfter)
  {
    AttemptResult result{ .m_id = NewAttemptId() };
    if (m_connection == nullptr && !Connect()) {
      m_record.Line("client finds no instance for " + result.m_id);
      std::this_thread::sleep_for(Milliseconds(100));
      return result;
    }
    auto left =
      std::chrono::duration_cast<Milliseconds>(aDeadline - Clock::now());
    m_record.Line("client sends " + result.m_id + " to " + m_connectedTo);
    Request request{ .m_method = m_options.m_method,
                     .m_target = m_options.m_path,
                     .m_headers = { { "Host", std::string(kHost) },
                                    { "Attempt-Id", result.m_id },
                                    { "Deadline-Milliseconds",
                                      std::to_string(left.count()) } },
                     .m_body = m_options.m_body };
    Response response;
    if (m_connection->Write(Serialize(request)) &&
        m_connection->Read(response, aDeadline)) {
      result.m_status = response.m_status;
      result.m_headers = response.m_headers;
      aRetryAfter = std::chrono::duration<double>(
        std::atof(FindHeader(response.m_headers, "retry-after").c_str()));
    }
    m_record.Line(
      "client gets " + result.m_id + " " +
      (result.m_status == 0 ? "no answer" : std::to_string(result.m_status)) +
      " " + response.m_body.substr(0, response.m_body.find('\n')));
    if (result.m_status == 0 ||
        EqualNames(FindHeader(response.m_headers, "connection"), "close")) {
      m_connection = nullptr;
    }
    return result;
  }

  // Asks up to three instances for addresses, as the pages say, and connects to
  // one of them.
  bool Connect()
  {
    if (!m_options.m_instance.empty()) {
      m_connectedTo = Address{ m_options.m_instance, kFrontPort }.Text();
      m_connection = Connection::Open({ m_options.m_instance, kFrontPort },
                                      Milliseconds(1000));
      return m_connection != nullptr;
    }
    constexpr int kMaxDirectories = 3;
    for (int i = 0; i < kMaxDirectories; ++i) {
      std::vector<std::string> addresses =
        Resolve(m_random() % m_fleet.Count());
      if (addresses.empty()) {
        continue;
      }
      m_connectedTo = addresses[m_random() % addresses.size()];
      size_t colon = m_connectedTo.find(':');
      m_connection = Connection::Open(
        { m_connectedTo.substr(0, colon),
          static_cast<uint16_t>(std::atoi(m_connectedTo.c_str() + colon + 1)) },
        Milliseconds(1000));
      if (m_connection != nullptr) {
        return true;
      }
    }
    return false;
  }

  std::vector<std::string> Resolve(size_t aIndex)
  {
    auto connection = Connection::Open({ m_fleet.Host(aIndex), kDirectoryPort },
                                       Milliseconds(1000));
    Response response;
    if (connection == nullptr ||
        !connection->Write(Serialize(
          Request{ .m_target = "/resolve?name=" + std::string(kHost) +
                               "&region=here&zone=" + m_options.m_zone,
                   .m_headers = { { "Host", std::string(kHost) } } })) ||
        !connection->Read(response, Clock::now() + Milliseconds(1000)) ||
        response.m_status != 200) {
      return {};
    }
    auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    return body.is_object() ? body.value("addrs", std::vector<std::string>())
                            : std::vector<std::string>();
  }

  ClientOptions m_options;
  const Fleet& m_fleet;
  std::mt19937_64 m_random;
  Record& m_record;
  std::unique_ptr<Connection> m_connection;
  std::string m_connectedTo;
};

// Whether the case plays its disruption.
inline bool
IsTroubled()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

} // namespace review
