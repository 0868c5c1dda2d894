// A stand-in for a searcher, as the platform's pages describe it.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "record.h"

namespace review {

// One execution of a request.
struct SearcherRun
{
  std::string m_searcher;
  TimePoint m_at;
};

// What the searchers of a case ran, by `Attempt-Id`.
class Ledger
{
public:
  void Add(const std::string& aAttempt, const std::string& aSearcher)
  {
    std::lock_guard lock(m_mutex);
    m_runs[aAttempt].push_back({ aSearcher, Clock::now() });
  }
  [[nodiscard]] std::vector<SearcherRun> RunsOf(const std::string& aAttempt)
  {
    std::lock_guard lock(m_mutex);
    return m_runs[aAttempt];
  }
  [[nodiscard]] size_t Count()
  {
    std::lock_guard lock(m_mutex);
    return m_runs.size();
  }

private:
  std::mutex m_mutex;
  std::map<std::string, std::vector<SearcherRun>> m_runs;
};

struct SearcherOptions
{
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  size_t m_slots = 2;
  // How many requests wait for a slot; further ones are rejected.
  size_t m_queue = 4;
  Milliseconds m_work{ 40 };
  // The time that a message takes from an instance to the searcher or back.
  // Requests are held for both ways.
  std::chrono::microseconds m_linkDelay{ 900 };
  // The share of the answers of which a second copy is sent: late, where the
  // next answer on the connection is expected.
  double m_extraAnswers = 0;
  // Whether second copies break off somewhere.
  bool m_breaksOffCopies = false;
  // The fault lasts for this long, and comes again after the pause.
  Milliseconds m_faultLength{ 5000 };
  Milliseconds m_faultPause{ 2000 };
};

class Searcher
{
public:
  Searcher(SearcherOptions aOptions, Ledger& aLedger, Record& aRecord)
    : m_options(std::move(aOptions))
    , m_ledger(aLedger)
    , m_record(aRecord)
    , m_random(std::hash<std::string>()(m_options.m_id))
  {
  }

  void Start(const std::string& aHost)
  {
    m_address = m_server.Start(
      aHost, [this](Connection& aConnection) { Serve(aConnection); });
  }

  // Ends the searcher: it closes its connections and runs nothing any more.
  void End() { m_ended = true; }

  [[nodiscard]] const std::string& Id() const { return m_options.m_id; }

  // Returns the entry that the searcher writes to the store.
  [[nodiscard]] std::string Entry() const
  {
    return "{\"service\":\"" + m_options.m_service + "\",\"address\":\"" +
           m_address.Text() + "\",\"zone\":\"" + m_options.m_zone +
           "\",\"version\":\"v1\",\"slots\":" +
           std::to_string(m_options.m_slots) +
           ",\"state\":\"ready\",\"warmupRemainingMs\":0,\"sequence\":1,"
           "\"born\":1700000000000}";
  }

private:
  void Serve(Connection& aConnection)
  {
    Request request;
    std::string secondCopy;
    while (aConnection.Read(request, Clock::now() + std::chrono::hours(1))) {
      if (m_ended) {
        return;
      }
      std::this_thread::sleep_for(m_options.m_linkDelay * 2);
      if (!secondCopy.empty()) {
        m_record.Line(m_options.m_id + " sends its last answer again");
        aConnection.Write(secondCopy);
        secondCopy.clear();
      }
      Response response = Answer(request);
      std::string attempt = FindHeader(request.m_headers, "attempt-id");
      response.m_headers.emplace_back("Attempt-Id", attempt);
      std::string bytes = Serialize(response);
      m_record.Line(m_options.m_id + " answers " + attempt + " " +
                    std::to_string(response.m_status));
      if (!aConnection.Write(bytes)) {
        return;
      }
      if (IsChosenForSecondCopy()) {
        secondCopy = m_options.m_breaksOffCopies ? BreakOff(bytes) : bytes;
      }
    }
  }

  bool IsChosenForSecondCopy()
  {
    auto since = (Clock::now() - m_start) %
                 (m_options.m_faultLength + m_options.m_faultPause);
    std::lock_guard lock(m_mutex);
    return since < m_options.m_faultLength &&
           std::uniform_real_distribution<>(0, 1)(m_random) <
             m_options.m_extraAnswers;
  }

  std::string BreakOff(const std::string& aBytes)
  {
    std::lock_guard lock(m_mutex);
    return aBytes.substr(0, 1 + m_random() % (aBytes.size() - 1));
  }

  Response Answer(const Request& aRequest)
  {
    std::string attempt = FindHeader(aRequest.m_headers, "attempt-id");
    if (FindHeader(aRequest.m_headers, "expected-instance") != m_options.m_id) {
      return { .m_status = 421,
               .m_headers = { { "Instance-Id", m_options.m_id } },
               .m_body = {} };
    }
    if (!TakeSlot()) {
      return { .m_status = 503,
               .m_headers = { { "Not-Executed", "1" } },
               .m_body = {} };
    }
    m_ledger.Add(attempt, m_options.m_id);
    m_record.Line(m_options.m_id + " runs " + attempt);
    std::this_thread::sleep_for(m_options.m_work);
    FreeSlot();
    return { .m_status = 200,
             .m_headers = { { "Server-Stamp",
                              m_options.m_id + "." + attempt } },
             .m_body = "done " + attempt + "\n" };
  }

  // Waits for a slot; returns false if too many requests wait already.
  bool TakeSlot()
  {
    std::unique_lock lock(m_mutex);
    if (m_running + m_waiting >= m_options.m_slots + m_options.m_queue) {
      return false;
    }
    ++m_waiting;
    m_slotFreed.wait(lock, [&]() { return m_running < m_options.m_slots; });
    --m_waiting;
    ++m_running;
    return true;
  }

  void FreeSlot()
  {
    std::lock_guard lock(m_mutex);
    --m_running;
    m_slotFreed.notify_one();
  }

  SearcherOptions m_options;
  Ledger& m_ledger;
  Record& m_record;
  Server m_server;
  Address m_address;
  TimePoint m_start = Clock::now();
  std::atomic<bool> m_ended = false;
  std::mutex m_mutex;
  std::condition_variable m_slotFreed;
  std::mt19937_64 m_random;
  size_t m_running = 0;
  size_t m_waiting = 0;
};

} // namespace review
