// What instances tell each other in datagrams.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// In the order in which a later state overrides an earlier one of the same
// incarnation.
enum class FleetState : uint8_t
{
  kAlive,
  // Somebody got no answer from it.
  kSuspect,
  // It stops and takes no new callers.
  kLeaving,
  kDead,
};

[[nodiscard]] std::string_view
FleetStateName(FleetState aState);

// What is known of one instance.
struct FleetRecord
{
  // The IP number; all instances use the same ports.
  std::string m_host;
  // Raised by the instance itself, to override what is said of it.
  uint64_t m_incarnation = 0;
  FleetState m_state = FleetState::kAlive;
  DataCentre m_dataCentre;
  // It has a configuration and takes callers.
  bool m_ready = false;
  // The store answers it.
  bool m_storeReachable = true;
  // What it offers callers, in thousandths of a processor; 0 while it reaches
  // too few searchers.
  uint32_t m_capacity = 0;

  friend bool operator==(const FleetRecord&, const FleetRecord&) = default;
};

// How far an instance's copy of one kind of the store's objects has come.
struct FeedWatermark
{
  // The revision of the newest change of content.
  uint64_t m_contentRevision = 0;
  // How old the knowledge is that nothing newer exists.
  Duration m_age = Seconds(3600);
};

enum class FleetMessageKind : uint8_t
{
  kPing,
  kAck,
  // Asks the receiver to ping `m_subject` for the sender.
  kPingRequest,
  // Tells hasUpdate; is not answered.
  kNotice,
};

struct FleetMessage
{
  FleetMessageKind m_kind = FleetMessageKind::kPing;
  uint64_t m_sequence = 0;
  // For `kPingRequest`.
  std::string m_subject;
  FleetRecord m_sender;
  // How many other instances the sender knows.
  uint32_t m_knownInstances = 0;
  std::vector<FleetRecord> m_updates;
  // In the fixed order of the kinds.
  std::vector<FeedWatermark> m_feedWatermarks;
};

} // namespace ebonykeel
