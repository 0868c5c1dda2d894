#include "runtime/fleet/fleet_codec.h"

#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

FleetRecord
TestRecord()
{
  return { .m_host = "10.0.0.1",
           .m_incarnation = 77,
           .m_state = FleetState::kLeaving,
           .m_dataCentre = DataCentre("north"),
           .m_ready = true,
           .m_storeReachable = false,
           .m_capacity = 500 };
}

DOCTEST_TEST_CASE("a message is unchanged after encoding and decoding")
{
  FleetMessage message{ .m_kind = FleetMessageKind::kPingRequest,
                        .m_sequence = 9,
                        .m_subject = "10.0.0.3",
                        .m_sender = TestRecord(),
                        .m_knownInstances = 12,
                        .m_updates = { TestRecord(), TestRecord() },
                        .m_feedWatermarks = { { 5, Milliseconds(40) } } };
  auto decoded = DecodeFleetMessage(EncodeFleetMessage(message));
  DOCTEST_REQUIRE(decoded.has_value());
  DOCTEST_CHECK(decoded->m_kind == FleetMessageKind::kPingRequest);
  DOCTEST_CHECK(decoded->m_sequence == 9);
  DOCTEST_CHECK(decoded->m_subject == "10.0.0.3");
  DOCTEST_CHECK(decoded->m_knownInstances == 12);
  DOCTEST_CHECK(decoded->m_sender == TestRecord());
  DOCTEST_CHECK(decoded->m_updates.size() == 2);
  DOCTEST_CHECK(decoded->m_feedWatermarks[0].m_contentRevision == 5);
  DOCTEST_CHECK(decoded->m_feedWatermarks[0].m_age == Milliseconds(40));
}

DOCTEST_TEST_CASE("a payload is unchanged after encoding and decoding")
{
  FleetMessage message{ .m_kind = FleetMessageKind::kPayload,
                        .m_sender = TestRecord(),
                        .m_topic = PeerTopic::kQuota,
                        .m_payload = std::string("\0\xff", 2) };
  auto decoded = DecodeFleetMessage(EncodeFleetMessage(message));
  DOCTEST_REQUIRE(decoded.has_value());
  DOCTEST_CHECK(decoded->m_kind == FleetMessageKind::kPayload);
  DOCTEST_CHECK(decoded->m_topic == PeerTopic::kQuota);
  DOCTEST_CHECK(decoded->m_payload == message.m_payload);
}

DOCTEST_TEST_CASE(
  "deltas with binary payloads are unchanged after encoding and decoding")
{
  std::vector<FeedDelta> deltas{
    { .m_isSnapshot = true,
      .m_completeTo = 8,
      .m_age = Milliseconds(3),
      .m_objects = { { "a", 7, false, std::string("\0\xff", 2) },
                     { "b", 8, true, "" } } },
    {}
  };
  auto decoded = DecodeDeltas(EncodeDeltas(deltas));
  DOCTEST_REQUIRE(decoded.has_value());
  DOCTEST_REQUIRE(decoded->size() == 2);
  DOCTEST_CHECK((*decoded)[0].m_isSnapshot);
  DOCTEST_CHECK((*decoded)[0].m_completeTo == 8);
  DOCTEST_CHECK((*decoded)[0].m_objects == deltas[0].m_objects);
}

DOCTEST_TEST_CASE(
  "truncated messages are decoded safely and invalid bytes are rejected")
{
  std::string bytes = EncodeFleetMessage({ .m_sender = TestRecord() });
  for (size_t length = 0; length < bytes.size(); ++length) {
    // A truncated message may by chance still be valid, so only safe decoding
    // is checked.
    (void)DecodeFleetMessage(bytes.substr(0, length));
  }
  DOCTEST_CHECK_FALSE(DecodeFleetMessage("").has_value());
  DOCTEST_CHECK_FALSE(DecodeDeltas("\xff\xff\xff\xff").has_value());
}

} // namespace
} // namespace ebonykeel
