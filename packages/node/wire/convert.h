// Conversions between the core's typed messages and their Cap'n Proto form.
//
// Reading never trusts the sender: values out of range are mapped to a safe
// value, such as an unknown reason to `kBadAnswer`.
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

// Returns a Cap'n Proto text of `aText`, valid as long as that is.
[[nodiscard]] capnp::Text::Reader
ToText(const std::string& aText);

// Spans of time travel in whole microseconds.
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
WriteAcquireReply(const AcquireResponse& aReply,
                  wire::AcquireReply::Builder aBuilder);
[[nodiscard]] AcquireResponse
ReadAcquireReply(wire::AcquireReply::Reader aReader);

void
WriteHandOver(const HandOverNotice& aNotice,
              wire::HandOverNotice::Builder aBuilder);
[[nodiscard]] HandOverNotice
ReadHandOver(wire::HandOverNotice::Reader aReader);

void
WriteSubAnswer(const SubAnswer& aAnswer, wire::SubAnswer::Builder aBuilder);
[[nodiscard]] SubAnswer
ReadSubAnswer(wire::SubAnswer::Reader aReader);

// Maps numbers of the wire to enumerators.
[[nodiscard]] MissingReason
ReadMissingReason(uint8_t aNumber);
[[nodiscard]] Outcome
ReadOutcome(uint8_t aNumber);

} // namespace ebonykeel
