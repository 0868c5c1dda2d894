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
                        .m_feedWatermarks = {
                          { { 3, 5 }, Milliseconds(40) } } };
  auto decoded = DecodeFleetMessage(EncodeFleetMessage(message));
  DOCTEST_REQUIRE(decoded.has_value());
  DOCTEST_CHECK(decoded->m_kind == FleetMessageKind::kPingRequest);
  DOCTEST_CHECK(decoded->m_sequence == 9);
  DOCTEST_CHECK(decoded->m_subject == "10.0.0.3");
  DOCTEST_CHECK(decoded->m_knownInstances == 12);
  DOCTEST_CHECK(decoded->m_sender == TestRecord());
  DOCTEST_CHECK(decoded->m_updates.size() == 2);
  DOCTEST_CHECK(decoded->m_feedWatermarks[0].m_content ==
                StorePosition{ 3, 5 });
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
  FeedObject a{ .m_name = "a",
                .m_position = { 3, 7 },
                .m_payload = std::string("\0\xff", 2),
                .m_order = { 1700, 4 } };
  FeedObject b{ .m_name = "b", .m_position = { 3, 8 }, .m_deleted = true };
  std::vector<FeedDelta> deltas{
    { .m_isSnapshot = true,
      .m_completeTo = { 3, 8 },
      .m_age = Milliseconds(3),
      .m_objects = { a, b },
      .m_retained = { { a, { 4, 1 }, Milliseconds(1200) },
                      { a, { 4, 2 }, Milliseconds(0) },
                      { b, { 4, 3 }, std::nullopt } } },
    {}
  };
  auto decoded = DecodeDeltas(EncodeDeltas(deltas));
  DOCTEST_REQUIRE(decoded.has_value());
  DOCTEST_REQUIRE(decoded->size() == 2);
  DOCTEST_CHECK((*decoded)[0].m_isSnapshot);
  DOCTEST_CHECK((*decoded)[0].m_completeTo == StorePosition{ 3, 8 });
  DOCTEST_CHECK((*decoded)[0].m_age == Milliseconds(3));
  DOCTEST_CHECK((*decoded)[0].m_objects == deltas[0].m_objects);
  DOCTEST_CHECK((*decoded)[0].m_retained == deltas[0].m_retained);
}

// Guards against a field that was renumbered. The bytes were written by the
// codec of the release that had revisions without an era.
DOCTEST_TEST_CASE("messages of the earlier release are read with era 0")
{
  constexpr std::string_view kDatagram(
    "\x10\x10\x50\x02\x05\x00\x02\x51\x0c\x02\x02\x00\x00\x11\x19\x17\x00\x02"
    "\x11\x05\x12\x00\x00\x01\x68\x11\x04\x02\x01\x05\x01\x28",
    32);
  auto message = DecodeFleetMessage(kDatagram);
  DOCTEST_REQUIRE(message.has_value());
  DOCTEST_REQUIRE(message->m_feedWatermarks.size() == 1);
  DOCTEST_CHECK(message->m_feedWatermarks[0].m_content ==
                StorePosition{ 0, 5 });
  DOCTEST_CHECK(message->m_feedWatermarks[0].m_age == Milliseconds(40));

  constexpr std::string_view kDeltas(
    "\x10\x12\x40\x01\x11\x01\x1f\x51\x04\x02\x01\x11\x01\x03\x01\x08\x11\x01"
    "\x47\x51\x08\x02\x02\x01\x07\x00\x00\x11\x15\x12\x11\x15\x12\x01\x08\x01"
    "\x01\x11\x0d\x12\x00\x00\x01\x61\x03\x7b\x7d\x01\x62",
    49);
  auto deltas = DecodeDeltas(kDeltas);
  DOCTEST_REQUIRE(deltas.has_value());
  DOCTEST_REQUIRE(deltas->size() == 1);
  const FeedDelta& delta = deltas->front();
  DOCTEST_CHECK(delta.m_isSnapshot);
  DOCTEST_CHECK(delta.m_completeTo == StorePosition{ 0, 8 });
  DOCTEST_CHECK(
    delta.m_objects ==
    std::vector<FeedObject>{
      { .m_name = "a", .m_position = { 0, 7 }, .m_payload = "{}" },
      { .m_name = "b", .m_position = { 0, 8 }, .m_deleted = true } });
  DOCTEST_CHECK(delta.m_retained.empty());
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
