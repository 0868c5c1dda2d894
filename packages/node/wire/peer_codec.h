// Conversions between the core's message types and their Cap'n Proto form.
//
// The read functions do not trust the sender. They map a value out of range to
// a safe one, for example an unknown reason to `kBadAnswer`.
#pragma once

#include <string_view>
#include <vector>

#include "core/membership/records.h"
#include "core/ownership/acquire_messages.h"
#include "core/query/messages.h"
#include "runtime/peer/peer.capnp.h"

namespace ebonykeel {

// Returns the text of a Cap'n Proto reader.
[[nodiscard]] inline std::string_view
ToView(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

// Returns a Cap'n Proto view of `aText`, which must outlive it.
[[nodiscard]] capnp::Text::Reader
ToText(const std::string& aText);

// Durations are sent as whole microseconds, negative ones as 0. A count beyond
// the range of `Duration` is read as its maximum.
[[nodiscard]] uint64_t
ToMicroseconds(Duration aDuration);
[[nodiscard]] Duration
FromMicroseconds(uint64_t aCount);

void
WriteGossip(const Gossip& aGossip, wire::Gossip::Builder aBuilder);
[[nodiscard]] Gossip
ReadGossip(wire::Gossip::Reader aReader);

void
WriteAcquireRequest(const AcquireRequest& aRequest,
                    wire::AcquireRequest::Builder aBuilder);
[[nodiscard]] AcquireRequest
ReadAcquireRequest(wire::AcquireRequest::Reader aReader);

void
WriteAcquireResponse(const AcquireResponse& aResponse,
                     wire::AcquireReply::Builder aBuilder);
[[nodiscard]] AcquireResponse
ReadAcquireResponse(wire::AcquireReply::Reader aReader);

void
WriteHandOverNotice(const HandOverNotice& aNotice,
                    wire::HandOverNotice::Builder aBuilder);
[[nodiscard]] HandOverNotice
ReadHandOverNotice(wire::HandOverNotice::Reader aReader);

void
WriteSubAnswer(const SubAnswer& aAnswer, wire::SubAnswer::Builder aBuilder);
[[nodiscard]] SubAnswer
ReadSubAnswer(wire::SubAnswer::Reader aReader);

// Converts a received number to an enumerator.
[[nodiscard]] MissingReason
ReadMissingReason(uint8_t aNumber);
[[nodiscard]] Outcome
ReadOutcome(uint8_t aNumber);

} // namespace ebonykeel
