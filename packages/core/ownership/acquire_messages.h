// The typed messages by which an upstream changes hands.
//
// Spans of time are relative to the sending of the message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/membership/records.h"

namespace ebonykeel {

// One upstream in a question.
struct AcquireRequestItem
{
  UpstreamId m_upstream;
  // Distinguishes the asker's attempts; echoed in the answer.
  uint64_t m_attempt = 0;
  // The highest epoch that the asker knows, and the last that it held.
  uint64_t m_epoch = 0;
  uint64_t m_heldEpoch = 0;
};

// Asks whether the receiver holds these upstreams, and to release them.
struct AcquireRequest
{
  InstanceRef m_requester;
  std::string m_requesterPeerAddress;
  // The asker's view version; for logs, since two instances count alone.
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

// An instance that lately asked for the upstream, whom the asker must ask too.
struct OtherRequester
{
  InstanceRef m_instance;
  std::string m_peerAddress;
  // How long ago it asked.
  Duration m_age{};
};

// What a holder knows of an upstream's cold start, for the next holder. Of use
// only while the upstream is still in the same run.
struct ColdStartState
{
  // 0 when nothing is known.
  BootId m_bootId = 0;
  // The slots that the upstream had earned.
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
  // The highest epoch that the responder knows; with kReleased, the one that it
  // held.
  uint64_t m_epoch = 0;
  // The responder's requests that have not finished, and the time in which the
  // last of them must have ended.
  uint32_t m_inFlight = 0;
  Duration m_remaining{};
  // What the responder learnt of the upstream's cold start.
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

// Tells the next owner that it can ask for these upstreams now.
struct HandOverNotice
{
  InstanceRef m_sender;
  std::string m_senderPeerAddress;
  std::vector<UpstreamId> m_upstreams;
};

} // namespace ebonykeel
