// The typed messages of membership: what an instance tells others about
// itself, what a monitor says about a silent instance, and the gossip that
// carries both.
//
// All spans of time in messages are relative, since monotonic clocks of two
// instances have nothing in common.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// Where an instance stands in its life.
enum class InstanceState
{
  // Runs, but holds no lease yet, so it owns nothing and answers no callers.
  kJoining,
  kActive,
  // Serves what it has, takes nothing new; on its way to a graceful stop.
  kLeaving,
  // Stopped by its own word, or its lease has certainly expired.
  kDead,
};

// Returns the stable name of `aState`, such as "active".
[[nodiscard]] std::string_view
InstanceStateName(InstanceState aState);

// One run of one instance. A monitor that took a new incarnation has forgotten
// what it promised, so it no longer counts under the old reference.
struct InstanceRef
{
  InstanceId m_id;
  BootId m_incarnation = 0;

  friend std::strong_ordering operator<=>(const InstanceRef& aLeft,
                                          const InstanceRef& aRight)
  {
    return std::tie(aLeft.m_id, aLeft.m_incarnation) <=>
           std::tie(aRight.m_id, aRight.m_incarnation);
  }
  friend bool operator==(const InstanceRef&, const InstanceRef&) = default;
};

// What the fleet knows of one instance. Only the instance itself writes its
// record, apart from `kDead`, which its monitors' votes can set.
//
// Of two records of one instance the one with the higher incarnation is newer;
// under the same incarnation `kDead` wins, then the higher sequence.
struct InstanceRecord
{
  InstanceId m_id;
  // Grows with each rejoin. Two processes must never start with the same one
  // under one name; derive it from the wall clock, so that it usually grows
  // over restarts. An instance that finds a higher one under its own name goes
  // above it by itself.
  BootId m_incarnation = 0;
  // "host:port" with an IP number: for callers, for administration and for
  // other instances.
  std::string m_publicAddress;
  std::string m_adminAddress;
  std::string m_peerAddress;
  DataCentre m_dataCentre;
  Region m_region;
  InstanceState m_state = InstanceState::kJoining;
  // Grows with each change by the instance, except of generation and load.
  uint64_t m_sequence = 0;

  // The instances that grant this one its lease. `m_monitorEpoch` counts the
  // sets; while `m_changingMonitors`, the lease needs a quorum of the previous
  // set as well.
  uint32_t m_monitorEpoch = 0;
  bool m_changingMonitors = false;
  std::vector<InstanceRef> m_monitors;
  std::vector<InstanceRef> m_previousMonitors;

  // The configuration in force there and its load in [0, 1], as last heard.
  // They travel apart from the rest and may lag.
  uint64_t m_statusSequence = 0;
  Generation m_generation = 0;
  float m_load = 0;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

// A monitor's word that it has heard nothing from a target for the length of
// a lease and the margin, and a promise: it will not acknowledge the target
// under any of its monitor epochs up to `m_toEpoch` again.
struct Suspicion
{
  InstanceRef m_monitor;
  InstanceRef m_target;
  // The last epoch that the monitor acknowledged. The vote counts for the
  // epochs from this one to `m_toEpoch`.
  uint32_t m_fromEpoch = 0;
  uint32_t m_toEpoch = 0;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

// The part of a record that changes often.
struct StatusUpdate
{
  InstanceRef m_instance;
  uint64_t m_statusSequence = 0;
  Generation m_generation = 0;
  float m_load = 0;
};

// A ping or its acknowledgement.
struct Gossip
{
  InstanceRef m_sender;
  // The sender's own record's sequence, and its status.
  uint64_t m_senderSequence = 0;
  InstanceState m_senderState = InstanceState::kJoining;
  uint64_t m_statusSequence = 0;
  Generation m_generation = 0;
  float m_load = 0;
  // Digest of all records that the sender knows.
  uint64_t m_digest = 0;
  // Digests of the parts of its view; present when the two views differ, and
  // asks the receiver for its records of the parts that differ.
  std::vector<uint64_t> m_partDigests;
  std::vector<InstanceRecord> m_records;
  std::vector<Suspicion> m_suspicions;
  std::vector<StatusUpdate> m_statuses;

  // The rest is set in acknowledgements only: the incarnation of the pinging
  // instance that is acknowledged, what the sender knows of its record, and the
  // highest of its monitor epochs that the sender has suspected.
  BootId m_ackedIncarnation = 0;
  uint64_t m_knownSequence = 0;
  uint32_t m_knownEpoch = 0;
  uint32_t m_suspectedEpoch = 0;
};

// One line of the platform's list of live and leaving instances, which lags.
struct ListedInstance
{
  InstanceId m_id;
  std::string m_peerAddress;
  DataCentre m_dataCentre;
  Region m_region;
  bool m_leaving = false;
};

// Returns whether `aLeft` supersedes `aRight`, a record of the same instance.
[[nodiscard]] bool
IsNewer(const InstanceRecord& aLeft, const InstanceRecord& aRight);

// Returns the bytes that `aGossip` takes in Cap'n Proto's packed encoding,
// estimated from the sizes of its fields; without framing and transport.
[[nodiscard]] size_t
EstimateBytes(const Gossip& aGossip);

} // namespace ebonykeel
