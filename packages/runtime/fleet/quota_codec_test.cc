#include "runtime/fleet/quota_codec.h"

#include <limits>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "runtime/fleet/fleet_codec.h"

namespace ebonykeel {
namespace {

constexpr uint64_t kLargest = std::numeric_limits<uint64_t>::max();

QuotaRequest
LongestRequest()
{
  QuotaRequest request{ .m_group = kQuotaGroups - 1,
                        .m_processStart = kLargest,
                        .m_sequence = kLargest };
  for (size_t i = 0; i < kMaxQuotaEntries; ++i) {
    request.m_entries.push_back({ kLargest - i, 100'000, 100'000 });
  }
  return request;
}

QuotaGrant
LongestGrant()
{
  QuotaGrant grant{ .m_processStart = kLargest,
                    .m_sequence = kLargest,
                    .m_isGranter = true };
  for (size_t i = 0; i < kMaxQuotaEntries; ++i) {
    grant.m_entries.push_back({ kLargest - i, 100'000, Milliseconds(4999) });
  }
  return grant;
}

} // namespace

// Guards against fields that one side writes and the other does not read.
DOCTEST_TEST_CASE("every kind of quota message survives encoding")
{
  std::vector<QuotaMessage> messages = {
    LongestRequest(),
    LongestGrant(),
    QuotaGrant{},
    QuotaVoteRequest{ .m_processStart = 7, .m_sequence = 8, .m_groups = 0x81 },
    QuotaVote{ .m_processStart = 7,
               .m_sequence = 9,
               .m_groups = 0x80,
               .m_knownInstances = 44 },
  };
  for (const QuotaMessage& message : messages) {
    DOCTEST_CHECK(DecodeQuotaMessage(EncodeQuotaMessage(message)) == message);
  }
}

// Guards against datagrams that networks break up and lose.
DOCTEST_TEST_CASE("the longest quota message fits into a datagram")
{
  for (const QuotaMessage& message :
       { QuotaMessage(LongestRequest()), QuotaMessage(LongestGrant()) }) {
    FleetMessage datagram{
      .m_kind = FleetMessageKind::kPayload,
      .m_sender = { .m_host = "255.255.255.255",
                    .m_incarnation = kLargest,
                    .m_dataCentre =
                      DataCentre("a-long-name-of-a-data-centre") },
      .m_feedWatermarks =
        std::vector<FeedWatermark>(4, { .m_content = { kLargest, kLargest } }),
      .m_topic = PeerTopic::kQuota,
      .m_payload = EncodeQuotaMessage(message),
    };
    DOCTEST_CHECK(EncodeFleetMessage(datagram).size() < 1200);
  }
}

// Guards against a crash, or use of unchecked numbers, on bytes of a faulty or
// hostile sender.
DOCTEST_TEST_CASE("invalid quota messages are not decoded")
{
  QuotaRequest wrongGroup{ .m_group = kQuotaGroups };
  DOCTEST_CHECK(!DecodeQuotaMessage(EncodeQuotaMessage(wrongGroup)));
  QuotaRequest tooLong = LongestRequest();
  tooLong.m_entries.push_back({});
  DOCTEST_CHECK(!DecodeQuotaMessage(EncodeQuotaMessage(tooLong)));
  QuotaGrant tooLongGrant = LongestGrant();
  tooLongGrant.m_entries.push_back({});
  DOCTEST_CHECK(!DecodeQuotaMessage(EncodeQuotaMessage(tooLongGrant)));
  DOCTEST_CHECK(!DecodeQuotaMessage(""));
  std::string longest = EncodeQuotaMessage(LongestRequest());
  for (size_t length = 0; length < longest.size(); ++length) {
    (void)DecodeQuotaMessage(longest.substr(0, length));
  }
  std::mt19937_64 random(5);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = longest;
    for (int change = 0; change < 4; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    std::optional<QuotaMessage> message = DecodeQuotaMessage(bytes);
    if (message && std::holds_alternative<QuotaRequest>(*message)) {
      const auto& request = std::get<QuotaRequest>(*message);
      DOCTEST_REQUIRE(request.m_group < kQuotaGroups);
      DOCTEST_REQUIRE(request.m_entries.size() <= kMaxQuotaEntries);
    }
  }
}

} // namespace ebonykeel
