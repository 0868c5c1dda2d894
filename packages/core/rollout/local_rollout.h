// One order as one instance carries it out: which requests go to the target
// version, what their answers were, and when the instance stops by itself.
//
//   LocalRollout rollout(entry, options, now);
//   rollout.OnAnnouncement(host, announcement, now);
//   bool toTarget = rollout.TakeFirst(now);
//
// Up to the stage full the instance sends at most the exposure share of its own
// requests to the target version, plus what the controller granted it. So the
// bound holds over all instances whatever becomes of messages and controllers.
#pragma once

#include <map>
#include <string>

#include "core/rollout/latency_median.h"
#include "core/rollout/rollout.h"
#include "core/rollout/version_comparison.h"

namespace ebonykeel {

struct LocalRolloutOptions
{
  RolloutLimits m_limits;
  // Identifies this process run.
  uint64_t m_processStart = 0;
  // Differs between instances.
  uint64_t m_seed = 0;
  // The probability that this instance stops by itself although the version is
  // good. Small, since hundreds of instances test.
  double m_falseAlarm = 1e-5;
};

// Which requests may go to the target version.
enum class TargetUse
{
  kNone,
  // A share of the first attempts.
  kShare,
  // All attempts.
  kAll,
};

// How an attempt ended.
enum class VersionAnswer
{
  kSuccess,
  kFailure,
  // Cancelled before its answer.
  kCancelled,
  // It did not run at the upstream.
  kNotRun,
};

class LocalRollout
{
public:
  LocalRollout(RolloutEntry aEntry,
               LocalRolloutOptions aOptions,
               TimePoint aNow);

  [[nodiscard]] const RolloutEntry& Entry() const { return m_entry; }
  // Adopts a later entry of the same order.
  void SetEntry(const RolloutEntry& aEntry);
  void OnAnnouncement(const std::string& aHost,
                      const RolloutAnnouncement& aAnnouncement,
                      TimePoint aNow);
  // Discards what was announced, after a time in which the process did not run.
  void DiscardAnnouncements() { m_heard.clear(); }

  [[nodiscard]] TargetUse Use(TimePoint aNow) const;
  // Decides whether the first attempt of a sub-request goes to the target
  // version, and counts it.
  [[nodiscard]] bool TakeFirst(TimePoint aNow);
  // Returns whether an attempt may go to the target version because no other
  // has an upstream, and counts it.
  [[nodiscard]] bool TakeExtra(TimePoint aNow);

  // Records that the first attempt of a sub-request was sent.
  void OnRequest() { ++m_requests; }
  // Records how an attempt ended. Slow answers of upstreams in cold start do
  // not count.
  void OnEnded(const std::string& aRoute,
               bool aIsTarget,
               VersionAnswer aAnswer,
               Duration aLatency,
               bool aIsCold,
               TimePoint aNow);
  // Evaluates the answers so far.
  void OnTimer(TimePoint aNow);

  // Returns the report without its sequence and the attempts in flight.
  [[nodiscard]] RolloutReport MakeReport(TimePoint aNow) const;
  // Returns when the first instance that this one heard of saw the order.
  [[nodiscard]] TimePoint SeenAt() const { return m_seenAt; }
  [[nodiscard]] uint64_t TargetRequests() const { return m_targetRequests; }

private:
  struct Heard
  {
    RolloutAnnouncement m_announcement;
    TimePoint m_at;
    // The earliest start of the order by any announcement of this process run:
    // one that states a later start was delayed.
    TimePoint m_orderStart;
  };
  struct RouteState
  {
    RouteCounts m_counts;
    LatencyMedian m_currentLatencies;
  };

  // Returns the valid announcement with the smallest share; null if there is
  // none. While two instances take themselves for the controller the smaller
  // share is the safe one.
  [[nodiscard]] const RolloutAnnouncement* Effective(TimePoint aNow) const;
  [[nodiscard]] bool IsWithinLimit() const;

  RolloutEntry m_entry;
  StorePosition m_firstPosition;
  LocalRolloutOptions m_options;
  TimePoint m_seenAt;
  // A fixed number in [0, 1) that rounds fractions of a request differently on
  // each instance, so that the sum over all instances is not biased.
  double m_rounding;
  double m_credit;
  uint32_t m_grant = 0;
  uint32_t m_grantUsed = 0;
  uint64_t m_requests = 0;
  uint64_t m_targetRequests = 0;
  bool m_stopped = false;
  // Announced by a controller; final.
  bool m_rolledBack = false;
  bool m_completed = false;
  std::map<std::string, Heard> m_heard;
  std::map<std::string, RouteState> m_routes;
  VersionComparison m_comparison;
};

} // namespace ebonykeel
