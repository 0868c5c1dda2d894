#include "core/admission/admission.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart;

AdmissionTicket
Ticket(uint64_t aId,
       const char* aCaller,
       Priority aPriority = Priority::kInteractive,
       TimePoint aDeadline = kStart + Seconds(10))
{
  return { .m_id = aId,
           .m_caller = CallerName(aCaller),
           .m_group = GroupName("desk"),
           .m_priority = aPriority,
           .m_cost = 10,
           .m_deadline = aDeadline };
}

DOCTEST_TEST_CASE("requests run up to the cost limit and then queue")
{
  Admission admission({ .m_maxRunningCost = 20 });
  DOCTEST_CHECK(admission.Offer(Ticket(1, "a"), kStart).m_verdict ==
                AdmissionVerdict::kAdmit);
  DOCTEST_CHECK(admission.Offer(Ticket(2, "b"), kStart).m_verdict ==
                AdmissionVerdict::kAdmit);
  DOCTEST_CHECK(admission.Offer(Ticket(3, "c"), kStart).m_verdict ==
                AdmissionVerdict::kQueue);
  auto events = admission.OnFinished(1, kStart + Milliseconds(5));
  DOCTEST_REQUIRE(events.size() == 1);
  DOCTEST_CHECK(events[0].m_id == 3);
  DOCTEST_CHECK(events[0].m_verdict == AdmissionVerdict::kAdmit);
  DOCTEST_CHECK(events[0].m_waited == Milliseconds(5));
}

DOCTEST_TEST_CASE("a full queue sheds the lowest priority first")
{
  Admission admission({ .m_maxRunningCost = 10, .m_maxQueueLength = 2 });
  (void)admission.Offer(Ticket(1, "a"), kStart);
  (void)admission.Offer(Ticket(2, "b", Priority::kInteractive), kStart);
  (void)admission.Offer(Ticket(3, "c", Priority::kBatch), kStart);
  auto filing = admission.Offer(Ticket(4, "d", Priority::kFiling), kStart);
  DOCTEST_CHECK(filing.m_verdict == AdmissionVerdict::kQueue);
  DOCTEST_REQUIRE(filing.m_otherEvents.size() == 1);
  DOCTEST_CHECK(filing.m_otherEvents[0].m_id == 3);
  DOCTEST_CHECK(filing.m_otherEvents[0].m_reason == RefusalReason::kShed);
  auto batch = admission.Offer(Ticket(5, "e", Priority::kBatch), kStart);
  DOCTEST_CHECK(batch.m_verdict == AdmissionVerdict::kRefuse);
  DOCTEST_CHECK(batch.m_reason == RefusalReason::kQueueFull);
}

DOCTEST_TEST_CASE("a caller's filings are served before its queries")
{
  Admission admission({ .m_maxRunningCost = 10 });
  (void)admission.Offer(Ticket(1, "a"), kStart);
  (void)admission.Offer(Ticket(2, "a", Priority::kBatch), kStart);
  (void)admission.Offer(Ticket(3, "a", Priority::kFiling), kStart);
  DOCTEST_CHECK(admission.OnFinished(1, kStart)[0].m_id == 3);
}

DOCTEST_TEST_CASE(
  "a request whose expected wait exceeds its deadline is refused on arrival")
{
  Admission admission({ .m_maxRunningCost = 10 });
  (void)admission.Offer(Ticket(1, "a"), kStart);
  (void)admission.OnFinished(1, kStart + Milliseconds(100));
  TimePoint now = kStart + Milliseconds(100);
  (void)admission.Offer(Ticket(2, "a"), now);
  (void)admission.Offer(Ticket(3, "a"), now);
  auto late = admission.Offer(
    Ticket(4, "a", Priority::kInteractive, now + Milliseconds(150)), now);
  DOCTEST_CHECK(late.m_verdict == AdmissionVerdict::kRefuse);
  DOCTEST_CHECK(late.m_reason == RefusalReason::kWouldMissDeadline);
  auto other = admission.Offer(
    Ticket(5, "b", Priority::kInteractive, now + Milliseconds(250)), now);
  DOCTEST_CHECK(other.m_verdict == AdmissionVerdict::kQueue);
}

DOCTEST_TEST_CASE("a queued request is refused when its deadline passes")
{
  Admission admission({ .m_maxRunningCost = 10 });
  (void)admission.Offer(Ticket(1, "a"), kStart);
  TimePoint deadline = kStart + Milliseconds(30);
  (void)admission.Offer(Ticket(2, "b", Priority::kFiling, deadline), kStart);
  DOCTEST_CHECK(admission.NextTimer() == deadline);
  auto events = admission.OnTimer(deadline);
  DOCTEST_REQUIRE(events.size() == 1);
  DOCTEST_CHECK(events[0].m_reason == RefusalReason::kDeadlinePassed);
}

DOCTEST_TEST_CASE("one caller cannot fill the queue")
{
  Admission admission({ .m_maxRunningCost = 10, .m_maxQueueLength = 10 });
  (void)admission.Offer(Ticket(1, "a"), kStart);
  uint64_t id = 2;
  for (; id < 30; ++id) {
    (void)admission.Offer(Ticket(id, "a", Priority::kFiling), kStart);
  }
  DOCTEST_CHECK(admission.Queued() == 5);
}

// Whatever is offered, every ticket is admitted or refused exactly once, a
// refused ticket never runs, and the running cost stays within its limit.
DOCTEST_TEST_CASE("refused requests never run under random offers")
{
  DOCTEST_CHECK(rc::check("refused requests never run", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
    AdmissionOptions options{ .m_maxRunningCost = 60, .m_maxQueueLength = 12 };
    Admission admission(options);
    std::map<uint64_t, AdmissionVerdict> last;
    std::map<uint64_t, uint32_t> running;
    TimePoint now = kStart;
    auto apply = [&](uint64_t aId, AdmissionVerdict aVerdict, uint32_t aCost) {
      bool ended = last.contains(aId) && last[aId] != AdmissionVerdict::kQueue;
      RC_ASSERT(!ended);
      last[aId] = aVerdict;
      if (aVerdict == AdmissionVerdict::kAdmit) {
        running[aId] = aCost;
      }
    };
    std::map<uint64_t, uint32_t> costs;
    auto applyEvents = [&](const std::vector<AdmissionEvent>& aEvents) {
      for (const AdmissionEvent& event : aEvents) {
        apply(event.m_id, event.m_verdict, costs[event.m_id]);
      }
    };
    for (uint64_t id = 1; id < 200; ++id) {
      now += std::chrono::microseconds(random() % 4000);
      AdmissionTicket ticket{
        .m_id = id,
        .m_caller = CallerName(absl::StrCat("c", random() % 4)),
        .m_group = GroupName(absl::StrCat("g", random() % 2)),
        .m_priority = static_cast<Priority>(random() % 3),
        .m_cost = static_cast<uint32_t>(1 + random() % 30),
        .m_deadline = now + Milliseconds(random() % 60)
      };
      costs[id] = ticket.m_cost;
      auto decision = admission.Offer(ticket, now);
      apply(id, decision.m_verdict, ticket.m_cost);
      applyEvents(decision.m_otherEvents);
      if (!running.empty() && random() % 2 == 0) {
        uint64_t finished = running.begin()->first;
        running.erase(running.begin());
        applyEvents(admission.OnFinished(finished, now));
      }
      applyEvents(admission.OnTimer(now));
      uint32_t sum = 0;
      for (const auto& [runningId, cost] : running) {
        sum += cost;
      }
      RC_ASSERT(sum == admission.RunningCost());
      RC_ASSERT(sum <= options.m_maxRunningCost);
      RC_ASSERT(admission.Queued() <= options.m_maxQueueLength);
      RC_ASSERT(!admission.NextTimer() || *admission.NextTimer() > now);
    }
    while (!running.empty()) {
      uint64_t finished = running.begin()->first;
      running.erase(running.begin());
      applyEvents(admission.OnFinished(finished, now));
    }
    for (const auto& [id, verdict] : last) {
      RC_ASSERT(verdict != AdmissionVerdict::kQueue);
    }
  }));
}

struct Arrival
{
  TimePoint m_at;
  AdmissionTicket m_ticket;
  Duration m_runTime;
};

// Returns the queueing times of the admitted tickets of all callers but
// "flood", and adds their refusals to `aRefused`.
std::vector<Duration>
QueueTimesWithoutFlood(const std::vector<Arrival>& aArrivals, size_t& aRefused)
{
  Admission admission({ .m_maxRunningCost = 400, .m_maxQueueLength = 400 });
  std::map<uint64_t, const Arrival*> byId;
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<Duration> queueTimes;
  TimePoint now;
  std::function<void(const AdmissionEvent&)> apply;
  apply = [&](const AdmissionEvent& aEvent) {
    const Arrival& arrival = *byId.at(aEvent.m_id);
    bool flood = arrival.m_ticket.m_caller == CallerName("flood");
    if (aEvent.m_verdict == AdmissionVerdict::kRefuse) {
      aRefused += flood ? 0 : 1;
      return;
    }
    if (!flood) {
      queueTimes.push_back(aEvent.m_waited);
    }
    events.emplace(now + arrival.m_runTime, [&, id = aEvent.m_id] {
      std::ranges::for_each(admission.OnFinished(id, now), apply);
    });
  };
  for (const Arrival& arrival : aArrivals) {
    byId[arrival.m_ticket.m_id] = &arrival;
    events.emplace(arrival.m_at, [&] {
      auto decision = admission.Offer(arrival.m_ticket, now);
      std::ranges::for_each(decision.m_otherEvents, apply);
      if (decision.m_verdict != AdmissionVerdict::kQueue) {
        apply(
          { .m_id = arrival.m_ticket.m_id, .m_verdict = decision.m_verdict });
      }
    });
  }
  while (!events.empty()) {
    auto event = events.extract(events.begin());
    now = event.key();
    event.mapped()();
    std::ranges::for_each(admission.OnTimer(now), apply);
  }
  return queueTimes;
}

// Returns the arrivals of nine callers, in two groups, and of a tenth one,
// "flood". Each of the nine sends a tenth of `aLoad` times the capacity; the
// tenth caller sends `aFlood` times as much as one of them.
std::vector<Arrival>
Arrivals(uint64_t aSeed, double aLoad, double aFlood)
{
  constexpr double kRunMilliseconds = 20;
  constexpr uint32_t kCost = 40;
  std::vector<Arrival> arrivals;
  // 10 requests run at once for 20 ms each: 0.5 requests per millisecond at
  // full load.
  double ratePerCaller = aLoad * 0.5 / 10;
  for (int caller = 0; caller < 10; ++caller) {
    std::mt19937_64 random(aSeed + static_cast<uint64_t>(caller) * 7919);
    bool flood = caller == 9;
    std::exponential_distribution<double> gap(flood ? ratePerCaller * aFlood
                                                    : ratePerCaller);
    std::exponential_distribution<double> runTime(1 / kRunMilliseconds);
    std::string name = flood ? "flood" : absl::StrCat("caller", caller);
    double at = 0;
    for (uint64_t number = 0; at < 60'000; ++number) {
      at += gap(random);
      TimePoint time = kStart + Duration(static_cast<int64_t>(at * 1'000'000));
      arrivals.push_back(
        { time,
          { .m_id = number * 16 + static_cast<uint64_t>(caller),
            .m_caller = CallerName(name),
            .m_group = GroupName(caller % 2 == 0 ? "desk" : "portal"),
            .m_cost = kCost,
            .m_deadline = time + Milliseconds(500) },
          Duration(static_cast<int64_t>(runTime(random) * 1'000'000)) });
    }
  }
  return arrivals;
}

Duration
Percentile99(std::vector<Duration> aValues)
{
  std::ranges::sort(aValues);
  return aValues[aValues.size() * 99 / 100];
}

DOCTEST_TEST_CASE(
  "a caller at ten times its share does not starve other callers")
{
  for (double load : { 0.7, 0.9 }) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      size_t refusedBefore = 0;
      size_t refusedDuring = 0;
      Duration before = Percentile99(
        QueueTimesWithoutFlood(Arrivals(seed, load, 1), refusedBefore));
      Duration during = Percentile99(
        QueueTimesWithoutFlood(Arrivals(seed, load, 10), refusedDuring));
      DOCTEST_MESSAGE("load ",
                      load,
                      ": p99 queue time of the other callers ",
                      ToMillisecondsF(before),
                      " ms, with the flood ",
                      ToMillisecondsF(during),
                      " ms, refused ",
                      refusedBefore,
                      " and ",
                      refusedDuring);
      DOCTEST_CHECK(ToMillisecondsF(during) <= 1.2 * ToMillisecondsF(before));
      DOCTEST_CHECK(refusedDuring <= refusedBefore);
    }
  }
}

} // namespace
} // namespace ebonykeel
