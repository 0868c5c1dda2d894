#include "runtime/fleet/rollout_codec.h"

#include <limits>
#include <random>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

RolloutReport
MakeReport(int aRoutes)
{
  RolloutReport report{ .m_service = "seat-search",
                        .m_targetVersion = "v2",
                        .m_position = { 3, 17 },
                        .m_processStart = 1700000000000,
                        .m_sequence = 4,
                        .m_appliedProcess = 5,
                        .m_appliedSequence = 6,
                        .m_appliedStage = RolloutStage::kRamp,
                        .m_age = Milliseconds(8123),
                        .m_stopped = true,
                        .m_inFlightCurrent = 3,
                        .m_grant = 4,
                        .m_requests = 1000,
                        .m_targetRequests = 50 };
  for (int i = 0; i < aRoutes; ++i) {
    report.m_routes.push_back(
      { .m_route = "a-route-with-a-long-name-" + std::to_string(i),
        .m_current = { 123456, 789, 12 },
        .m_target = { 4567, 89, static_cast<uint64_t>(i) } });
  }
  return report;
}

const RolloutAnnouncement kAnnouncement{ .m_service = "seat-search",
                                         .m_targetVersion = "v2",
                                         .m_position = { 3, 18 },
                                         .m_controllerProcess = 7,
                                         .m_sequence = 9,
                                         .m_stage = RolloutStage::kCanary,
                                         .m_share = 0.05,
                                         .m_age = Milliseconds(1500),
                                         .m_grant = 4,
                                         .m_grantProcess = 1700000000000 };

DOCTEST_TEST_CASE("reports and announcements are read as they were written")
{
  std::vector<std::string> messages = EncodeRolloutReport(MakeReport(2));
  DOCTEST_REQUIRE(messages.size() == 1);
  DOCTEST_CHECK(DecodeRolloutMessage(messages.front()) ==
                std::optional<RolloutMessage>(MakeReport(2)));
  DOCTEST_CHECK(
    DecodeRolloutMessage(EncodeRolloutAnnouncement(kAnnouncement)) ==
    std::optional<RolloutMessage>(kAnnouncement));
}

// Guards against a field that was renumbered. The bytes were written by the
// codec of the release that had revisions without an era.
DOCTEST_TEST_CASE("messages of the earlier release are read with era 0")
{
  constexpr std::string_view kReport(
    "\x10\x11\x50\x01\x01\x00\x00\x50\x09\x03\x01\x11\x00\x07\x11\x09\x12\x11"
    "\x09\x1a\x00\x00\x01\x61\x03\x76\x32",
    27);
  DOCTEST_CHECK(
    DecodeRolloutMessage(kReport) ==
    std::optional<RolloutMessage>(RolloutReport{
      .m_service = "a", .m_targetVersion = "v2", .m_position = { 0, 17 } }));
  constexpr std::string_view kOldAnnouncement(
    "\x10\x0e\x50\x01\x01\x01\x01\x50\x07\x02\x01\x12\x00\x02\xff\x9a\x99\x99"
    "\x99\x99\x99\xa9\x3f\x00\x00\x01\x11\x05\x12\x11\x05\x1a\x01\x61\x03\x76"
    "\x32",
    37);
  DOCTEST_CHECK(
    DecodeRolloutMessage(kOldAnnouncement) ==
    std::optional<RolloutMessage>(RolloutAnnouncement{ .m_service = "a",
                                                       .m_targetVersion = "v2",
                                                       .m_position = { 0, 18 },
                                                       .m_share = 0.05 }));
}

// Guards against datagrams that the network drops because of their length.
DOCTEST_TEST_CASE("a report of many routes is divided among messages")
{
  RolloutReport report = MakeReport(60);
  report.m_routes[7].m_route = std::string(2000, 'x');
  std::vector<std::string> messages = EncodeRolloutReport(report);
  DOCTEST_CHECK(messages.size() > 1);
  size_t routes = 0;
  for (const std::string& message : messages) {
    DOCTEST_CHECK(message.size() <= kMaxRolloutMessage);
    auto decoded = DecodeRolloutMessage(message);
    DOCTEST_REQUIRE(decoded.has_value());
    routes += std::get<RolloutReport>(*decoded).m_routes.size();
  }
  DOCTEST_CHECK(routes == 59);
}

DOCTEST_TEST_CASE("a message with impossible values is refused")
{
  RolloutAnnouncement announcement = kAnnouncement;
  for (double share : { -0.1, 1.1, std::numeric_limits<double>::quiet_NaN() }) {
    announcement.m_share = share;
    DOCTEST_CHECK_FALSE(
      DecodeRolloutMessage(EncodeRolloutAnnouncement(announcement)));
  }
  announcement = kAnnouncement;
  announcement.m_stage = static_cast<RolloutStage>(77);
  DOCTEST_CHECK_FALSE(
    DecodeRolloutMessage(EncodeRolloutAnnouncement(announcement)));
  RolloutReport report = MakeReport(1);
  report.m_routes[0].m_target = { 5, 4, 2 };
  DOCTEST_CHECK_FALSE(
    DecodeRolloutMessage(EncodeRolloutReport(report).front()));
}

// Guards against bytes of a peer that take the process down.
DOCTEST_TEST_CASE("no bytes yield a value outside of its range")
{
  std::mt19937 random(20261207);
  std::string report = EncodeRolloutReport(MakeReport(3)).front();
  std::string announcement = EncodeRolloutAnnouncement(kAnnouncement);
  constexpr int kRounds = 20000;
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = round % 2 == 0 ? report : announcement;
    for (size_t change = random() % 4 + 1; change > 0; --change) {
      size_t at = random() % bytes.size();
      if (random() % 8 == 0) {
        bytes.resize(at + 1);
      } else {
        bytes[at] = static_cast<char>(random());
      }
    }
    std::optional<RolloutMessage> decoded = DecodeRolloutMessage(bytes);
    if (!decoded) {
      continue;
    }
    if (const auto* read = std::get_if<RolloutAnnouncement>(&*decoded)) {
      DOCTEST_CHECK(read->m_share >= 0);
      DOCTEST_CHECK(read->m_share <= 1);
      DOCTEST_CHECK(read->m_stage <= RolloutStage::kRolledBack);
    } else {
      for (const RouteCounts& route :
           std::get<RolloutReport>(*decoded).m_routes) {
        DOCTEST_CHECK(route.m_target.Bad() <= route.m_target.m_answers);
      }
    }
  }
}

} // namespace
} // namespace ebonykeel
