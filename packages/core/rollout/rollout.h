// The orders of roll-outs, and what instances tell each other about them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/store_position.h"
#include "core/base/time.h"

namespace ebonykeel {

// The order to move a service's requests to the upstreams of another version.
struct RolloutOrder
{
  std::string m_service;
  std::string m_targetVersion;
  // The time from the order to its deadline.
  Duration m_duration{};

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

// The state of an order in the store. The last two are final.
enum class RolloutState : uint8_t
{
  kOrdered,
  kRunning,
  kCompleted,
  kRolledBack,
};

[[nodiscard]] constexpr bool
IsFinal(RolloutState aState)
{
  return aState >= RolloutState::kCompleted;
}

// An order as the store has it.
struct RolloutEntry
{
  RolloutOrder m_order;
  // The latest state that the store has stated.
  RolloutState m_state = RolloutState::kOrdered;
  // The position of the store's latest statement.
  StorePosition m_position;
  // The store came back from a copy that precedes `m_state`: it has to be
  // written again.
  bool m_isStateLost = false;

  // Returns whether `aNext`, a later entry of the same service, still describes
  // this order. States only advance; an earlier one shows that the entry was
  // removed and ordered again, unless it comes from the copy with which the
  // store returned.
  [[nodiscard]] bool IsSameOrder(const RolloutEntry& aNext) const
  {
    bool advances = m_state <= aNext.m_state &&
                    (!IsFinal(m_state) || m_state == aNext.m_state);
    bool mayBeFromCopy =
      m_isStateLost || m_position.m_era < aNext.m_position.m_era;
    return m_order == aNext.m_order &&
           (advances || (mayBeFromCopy && !IsFinal(aNext.m_state)));
  }
  // Adopts a later entry of the same order.
  void Adopt(const RolloutEntry& aNext)
  {
    m_isStateLost = aNext.m_state < m_state;
    m_state = std::max(m_state, aNext.m_state);
    m_position = aNext.m_position;
  }
};

// Ordered: a later stage gives the target version a greater share.
enum class RolloutStage : uint8_t
{
  // The target version gets nothing yet.
  kWaiting,
  kCanary,
  kRamp,
  kFull,
  kCompleted,
  kRolledBack,
};

[[nodiscard]] std::string_view
RolloutStageName(RolloutStage aStage);

// The limits of the exposure to a version that may be bad.
struct RolloutLimits
{
  // A bad version gets at most this share of the requests, plus the slack.
  double m_exposureShare = 0.1;
  double m_exposureSlack = 50;
};

// How long an instance uses an announcement. A lost controller is replaced and
// the new one announces within about 1.5 s.
inline constexpr Duration kAnnouncementLifetime = Seconds(2);

// The answers of one version. An answer is a failure or slow, not both.
struct AnswerCounts
{
  uint64_t m_answers = 0;
  uint64_t m_failures = 0;
  uint64_t m_slow = 0;

  [[nodiscard]] uint64_t Bad() const { return m_failures + m_slow; }
  friend bool operator==(const AnswerCounts&, const AnswerCounts&) = default;
};

// The answers on one route, of the current and of the target version.
struct RouteCounts
{
  std::string m_route;
  AnswerCounts m_current;
  AnswerCounts m_target;

  friend bool operator==(const RouteCounts&, const RouteCounts&) = default;
};

// What an instance reports to the controller. The counts are totals since the
// instance's process learned of the order, so that lost and repeated reports
// change nothing.
struct RolloutReport
{
  std::string m_service;
  std::string m_targetVersion;
  // The position at which the instance first saw the order.
  StorePosition m_position;
  // Identifies the process run of the instance.
  uint64_t m_processStart = 0;
  // Increases with each report of a process.
  uint64_t m_sequence = 0;
  // The announcement that the instance applies, by the controller's process run
  // and the number; 0 for none.
  uint64_t m_appliedProcess = 0;
  uint64_t m_appliedSequence = 0;
  RolloutStage m_appliedStage = RolloutStage::kWaiting;
  // The age of the order, by which a new controller learns its deadline.
  Duration m_age{};
  // The instance sends nothing more to the target version: its own test found
  // it bad, or a controller announced a roll-back.
  bool m_stopped = false;
  // Attempts that are on their way to upstreams of other versions.
  uint32_t m_inFlightCurrent = 0;
  // The early requests that controllers granted to this process run.
  uint32_t m_grant = 0;
  // First attempts of requests to the service.
  uint64_t m_requests = 0;
  // Attempts that were directed to the target version.
  uint64_t m_targetRequests = 0;
  // May be a part of the routes: those of one sequence belong together.
  std::vector<RouteCounts> m_routes;

  friend bool operator==(const RolloutReport&, const RolloutReport&) = default;
};

// What the controller announces to one instance.
struct RolloutAnnouncement
{
  std::string m_service;
  std::string m_targetVersion;
  // The newest position of the entry that the controller knows.
  StorePosition m_position;
  // Identifies the process run of the controller.
  uint64_t m_controllerProcess = 0;
  // Increases with each announcement of a controller.
  uint64_t m_sequence = 0;
  RolloutStage m_stage = RolloutStage::kWaiting;
  // The share of first attempts that go to the target version.
  double m_share = 0;
  // The age of the order.
  Duration m_age{};
  // The number of early requests to the target version that this instance may
  // send in total, and the process run that they are meant for.
  uint32_t m_grant = 0;
  uint64_t m_grantProcess = 0;

  friend bool operator==(const RolloutAnnouncement&,
                         const RolloutAnnouncement&) = default;
};

} // namespace ebonykeel
