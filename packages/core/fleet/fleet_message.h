// The messages that instances exchange in datagrams.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/store_position.h"
#include "core/base/time.h"

namespace ebonykeel {

// Ordered: a later state overrides an earlier one of the same incarnation.
enum class FleetState : uint8_t
{
  kAlive,
  // Another instance got no answer from it.
  kSuspect,
  // It is shutting down and takes no new callers.
  kLeaving,
  kDead,
};

[[nodiscard]] std::string_view
FleetStateName(FleetState aState);

// What is known about one instance.
struct FleetRecord
{
  // The IP address; all instances use the same ports.
  std::string m_host;
  // Increased by the instance itself to override records about it.
  uint64_t m_incarnation = 0;
  FleetState m_state = FleetState::kAlive;
  DataCentre m_dataCentre;
  // It has a configuration and takes callers.
  bool m_ready = false;
  // It can reach the store.
  bool m_storeReachable = true;
  // The capacity that it offers to callers, in thousandths of a processor; 0
  // while it reaches too few upstreams.
  uint32_t m_capacity = 0;

  friend bool operator==(const FleetRecord&, const FleetRecord&) = default;
};

// The newest change and the age of an instance's feed of one kind of the
// store's objects.
struct FeedWatermark
{
  // The position of the newest change of content.
  StorePosition m_content;
  // The time since the feed was known to be complete.
  Duration m_age = Seconds(3600);
};

enum class FleetMessageKind : uint8_t
{
  kPing,
  kAck,
  // Asks the receiver to ping `m_subject` for the sender.
  kPingRequest,
  // Carries gossip updates; is not answered.
  kNotice,
  // Carries a message of another subsystem; is not answered.
  kPayload,
};

// The subsystem whose message a `kPayload` datagram carries.
enum class PeerTopic : uint8_t
{
  kNone,
  kQuota,
  kRollout,
};

struct FleetMessage
{
  FleetMessageKind m_kind = FleetMessageKind::kPing;
  uint64_t m_sequence = 0;
  // The instance to ping (`kPingRequest`), or the one that answered an indirect
  // ping (`kNotice`).
  std::string m_subject;
  FleetRecord m_sender;
  // The number of other instances that the sender knows.
  uint32_t m_knownInstances = 0;
  std::vector<FleetRecord> m_updates;
  // In the fixed order of the feed kinds.
  std::vector<FeedWatermark> m_feedWatermarks;
  // For `kPayload`: the message, encoded by the subsystem.
  PeerTopic m_topic = PeerTopic::kNone;
  std::string m_payload;
};

} // namespace ebonykeel
