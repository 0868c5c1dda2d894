// The messages of membership: the record that an instance publishes about
// itself, the suspicion that a monitor publishes about a silent instance, and
// the gossip that carries both.
//
// Messages contain durations only, since the monotonic clocks of two instances
// are not comparable.
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

// The lifecycle state of an instance.
enum class InstanceState
{
  // Has no lease yet, so it owns nothing and serves no callers.
  kJoining,
  kActive,
  // Stops gracefully: finishes its work and accepts no more.
  kLeaving,
  // Announced its own stop, or was declared dead when its lease had expired.
  kDead,
};

// Returns the stable name of `aState`, such as "active".
[[nodiscard]] std::string_view
InstanceStateName(InstanceState aState);

// One incarnation of one instance. A monitor with a new incarnation no longer
// counts under the old reference, because it has lost the votes that it cast.
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

// The published state of one instance. Only the instance itself writes its
// record, except for `kDead`, which other instances set when they declare it
// dead.
//
// Of two records of one instance, the one with the higher incarnation is newer.
// Within an incarnation `kDead` is newer, then the higher sequence.
struct InstanceRecord
{
  InstanceId m_id;
  // Increases with each rejoin. Two processes with the same id must never start
  // with the same incarnation; derive it from the wall clock, so that it
  // usually increases with a restart. An instance that receives a record of its
  // own id with a higher incarnation takes one above it.
  BootId m_incarnation = 0;
  // The addresses for callers, for administration and for other instances, as
  // "host:port" with a numeric IP address.
  std::string m_publicAddress;
  std::string m_adminAddress;
  std::string m_peerAddress;
  DataCentre m_dataCentre;
  Region m_region;
  InstanceState m_state = InstanceState::kJoining;
  // Increases with each change by the instance, except of generation and load.
  uint64_t m_sequence = 0;

  // The monitors, which grant this instance its lease. `m_monitorEpoch` counts
  // the sets. While `m_changingMonitors` is true, the lease also needs a quorum
  // of the previous set.
  uint32_t m_monitorEpoch = 0;
  bool m_changingMonitors = false;
  std::vector<InstanceRef> m_monitors;
  std::vector<InstanceRef> m_previousMonitors;

  // The last received configuration generation and load in [0, 1] of the
  // instance. They are sent separately from the record and may lag behind it.
  uint64_t m_statusSequence = 0;
  Generation m_generation = 0;
  float m_load = 0;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

// A monitor's vote that it has received nothing from its target for a lease and
// the margin. After it, the monitor grants the target no lease under any
// monitor epoch up to `m_toEpoch`.
struct Suspicion
{
  InstanceRef m_monitor;
  InstanceRef m_target;
  // The last epoch that the monitor acknowledged. The vote counts for this
  // epoch to `m_toEpoch`, both included.
  uint32_t m_fromEpoch = 0;
  uint32_t m_toEpoch = 0;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

// The fields of a record that change often.
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
  // The sequence, state and status of the sender's own record.
  uint64_t m_senderSequence = 0;
  InstanceState m_senderState = InstanceState::kJoining;
  uint64_t m_statusSequence = 0;
  Generation m_generation = 0;
  float m_load = 0;
  // Digest of all records of the sender that are not dead.
  uint64_t m_digest = 0;
  // Digests of the parts of the sender's view. Present when the two views
  // differ; the receiver returns its records of the parts that differ.
  std::vector<uint64_t> m_partDigests;
  std::vector<InstanceRecord> m_records;
  std::vector<Suspicion> m_suspicions;
  std::vector<StatusUpdate> m_statuses;

  // What the sender has of the receiver: the incarnation, sequence and monitor
  // epoch of the receiver's record, and the highest of its monitor epochs that
  // the sender has suspected. In an acknowledgement, `m_ackedIncarnation` is
  // the incarnation that is acknowledged.
  BootId m_ackedIncarnation = 0;
  uint64_t m_knownSequence = 0;
  uint32_t m_knownEpoch = 0;
  uint32_t m_suspectedEpoch = 0;
};

// One entry of the platform's list of live and leaving instances. The list lags
// behind the actual state.
struct ListedInstance
{
  InstanceId m_id;
  std::string m_peerAddress;
  DataCentre m_dataCentre;
  Region m_region;
  bool m_leaving = false;
};

// Returns whether `aLeft` is newer than `aRight`, a record of the same
// instance.
[[nodiscard]] bool
IsNewer(const InstanceRecord& aLeft, const InstanceRecord& aRight);

// Returns the estimated size of `aGossip` in bytes in Cap'n Proto's packed
// encoding, without framing and transport.
[[nodiscard]] size_t
EstimateBytes(const Gossip& aGossip);

} // namespace ebonykeel
