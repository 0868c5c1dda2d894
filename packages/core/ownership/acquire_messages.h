// The messages with which an upstream changes its owner.
//
// Durations are relative to the sending of the message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/membership/records.h"

namespace ebonykeel {

// One upstream in an acquire request.
struct AcquireRequestItem
{
  UpstreamId m_upstream;
  // The number of the requester's attempt; the response repeats it.
  uint64_t m_attempt = 0;
  // The highest epoch of the upstream that the requester has received, and the
  // last one in which it held the upstream.
  uint64_t m_epoch = 0;
  uint64_t m_heldEpoch = 0;
};

// Requests the receiver to release these upstreams if it holds them.
struct AcquireRequest
{
  InstanceRef m_requester;
  std::string m_requesterPeerAddress;
  // The version of the requester's view. For logs only, since each instance
  // counts the versions of its own view.
  uint64_t m_viewVersion = 0;
  Generation m_generation = 0;
  std::vector<AcquireRequestItem> m_items;
};

enum class AcquireOutcome
{
  kNotHeld,
  kReleased,
  kRefused,
};

// Returns the stable name of `aOutcome`, such as "released".
[[nodiscard]] std::string_view
AcquireOutcomeName(AcquireOutcome aOutcome);

// An instance that recently requested the upstream. The requester must send it
// an acquire request too.
struct OtherRequester
{
  InstanceRef m_instance;
  std::string m_peerAddress;
  // The time since its request.
  Duration m_age{};
};

// What the owner has learned about an upstream's cold start, for the next
// owner. Valid only for the same process run of the upstream.
struct ColdStartState
{
  // 0 if there is no state.
  BootId m_bootId = 0;
  // The slots that the upstream had reached.
  uint32_t m_limit = 0;
  Duration m_expectedLatency{};

  friend bool operator==(const ColdStartState&,
                         const ColdStartState&) = default;
};

struct AcquireResponseItem
{
  UpstreamId m_upstream;
  uint64_t m_attempt = 0;
  AcquireOutcome m_outcome = AcquireOutcome::kNotHeld;
  // The highest epoch of the upstream that the responder has received; with
  // kReleased, the epoch in which it held the upstream.
  uint64_t m_epoch = 0;
  // The number of the responder's requests that have not ended, and the time
  // after which the last of them must have ended.
  uint32_t m_inFlight = 0;
  Duration m_remaining{};
  ColdStartState m_coldStartState;
  std::vector<OtherRequester> m_otherRequesters;
};

struct AcquireResponse
{
  InstanceRef m_responder;
  BootId m_requesterIncarnation = 0;
  uint64_t m_viewVersion = 0;
  std::vector<AcquireResponseItem> m_items;
};

// Notifies the next owner that it can request these upstreams now.
struct HandOverNotice
{
  InstanceRef m_sender;
  std::string m_senderPeerAddress;
  std::vector<UpstreamId> m_upstreams;
};

} // namespace ebonykeel
