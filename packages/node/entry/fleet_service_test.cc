#include "node/entry/fleet_service.h"

#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include <doctest/doctest.h>

#include "runtime/fleet/fleet_codec.h"
#include "runtime/http1/server.h"
#include "runtime/uv/datagram_socket.h"

namespace ebonykeel {
namespace {

constexpr uint16_t kPort = 27651;
constexpr Duration kDeadline = Seconds(10);

// Returns a loopback address of this process, so that runs side by side can use
// the same port.
std::string
HostOf(size_t aIndex)
{
  auto process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(process / 256 % 255 + 1) + "." +
         std::to_string(process % 256) + "." + std::to_string(aIndex + 1);
}

FeedObject
Object(StorePosition aPosition, std::string aPayload)
{
  return { .m_name = "main",
           .m_position = aPosition,
           .m_payload = std::move(aPayload) };
}

struct Instance final : FleetObserver
{
  Instance(UvLoop& aLoop, Http1Client& aClient, LineLog& aLog, size_t aIndex)
    : m_service(
        aLoop,
        aClient,
        m_feeds,
        aLog,
        { .m_self = { .m_host = HostOf(aIndex), .m_incarnation = aIndex + 1 },
          .m_seeds = { HostOf(1 - aIndex) },
          .m_port = kPort },
        *this)
  {
  }

  void OnFleetChanged() override {}
  void OnObjectMerged(FeedKind /*aKind*/, const FeedObject& aObject) override
  {
    m_merged.push_back(aObject.m_payload);
  }
  void OnMergeCompleted() override {}
  void OnPeerPayload(const FleetRecord& /*aSender*/,
                     PeerTopic /*aTopic*/,
                     std::string_view /*aPayload*/) override
  {
  }

  ObjectFeed& Feed() { return m_feeds[0]; }

  std::array<ObjectFeed, kFeedKinds> m_feeds;
  std::vector<std::string> m_merged;
  FleetService m_service;
};

// Two instances of one data centre on loopback addresses.
struct Fixture
{
  Fixture()
  {
    for (size_t i = 0; i < 2; ++i) {
      m_instances.push_back(
        std::make_unique<Instance>(m_loop, m_client, m_log, i));
    }
  }
  ~Fixture() { (void)std::fclose(m_logFile); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  void Fill(size_t aIndex, const FeedObject& aObject, StorePosition aCompleteTo)
  {
    ObjectFeed& feed = m_instances[aIndex]->Feed();
    (void)feed.Apply(aObject, aCompleteTo);
    feed.MarkCompleteTo(aCompleteTo, m_loop.Now());
  }
  // Returns whether the condition held before the deadline.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    UvTimer wake(m_loop, []() {});
    TimePoint end = m_loop.Now() + kDeadline;
    while (!aCondition() && m_loop.Now() < end) {
      wake.Set(m_loop.Now() + Milliseconds(10));
      m_loop.RunOnce(true);
    }
    return aCondition();
  }
  // Returns the answer of the first instance for the first kind of objects.
  std::optional<FeedDelta> Fetch(const std::string& aSince)
  {
    std::optional<FeedDelta> delta;
    bool isAnswered = false;
    Http1Request request{ .m_target = "/feeds?since=" + aSince,
                          .m_headers = { { "Host", HostOf(0) } } };
    m_client.Send({ .m_address = { HostOf(0), kPort },
                    .m_bytes = SerializeRequest(request),
                    .m_timeout = kDeadline },
                  [&](const Http1Result& aResult) {
                    isAnswered = true;
                    auto deltas = DecodeDeltas(aResult.m_response.m_body);
                    if (deltas && !deltas->empty()) {
                      delta = deltas->front();
                    }
                  });
    (void)RunUntil([&]() { return isAnswered; });
    return delta;
  }

  UvLoop m_loop;
  std::FILE* m_logFile = std::tmpfile();
  LineLog m_log{ [this]() { return m_loop.Now(); },
                 { .m_descriptor = fileno(m_logFile) } };
  Http1Client m_client{ m_loop, {} };
  std::vector<std::unique_ptr<Instance>> m_instances;
};

} // namespace

// Guards against the feed of an old era that replaces the new one, or stays,
// because the restored store has given fewer revisions.
DOCTEST_TEST_CASE("the feed of the later era with lower revisions is fetched")
{
  Fixture fixture;
  fixture.Fill(0, Object({ 2, 100 }, "new"), { 2, 105 });
  fixture.Fill(1, Object({ 1, 118 }, "old"), { 1, 120 });
  for (auto& instance : fixture.m_instances) {
    DOCTEST_REQUIRE(instance->m_service.Start().empty());
  }
  Instance& behind = *fixture.m_instances[1];
  DOCTEST_CHECK(fixture.RunUntil([&]() {
    return behind.Feed().CompleteTo() == StorePosition{ 2, 105 };
  }));
  DOCTEST_CHECK(behind.m_merged == std::vector<std::string>{ "new" });
  DOCTEST_CHECK(behind.m_service.StoreEra() == 2);
  DOCTEST_CHECK(fixture.m_instances[0]->m_merged.empty());
  fixture.m_log.Flush();
  std::rewind(fixture.m_logFile);
  std::string text(4096, '\0');
  text.resize(std::fread(text.data(), 1, text.size(), fixture.m_logFile));
  DOCTEST_CHECK(text.find("2.105") != std::string::npos);
}

// Guards against an instance that lacks objects, since a position that cannot
// be parsed was taken for one.
DOCTEST_TEST_CASE("changes are those since a position, else all objects")
{
  Fixture fixture;
  fixture.Fill(0, Object({ 2, 100 }, "new"), { 2, 105 });
  DOCTEST_REQUIRE(fixture.m_instances[0]->m_service.Start().empty());
  auto changes = fixture.Fetch("2.100,2.100,2.100,2.100");
  DOCTEST_REQUIRE(changes.has_value());
  DOCTEST_CHECK_FALSE(changes->m_isSnapshot);
  DOCTEST_CHECK(changes->m_objects.empty());
  for (const char* since : { "120,120,120,120", "2.x", "2.", "", "-1.5" }) {
    DOCTEST_CAPTURE(since);
    auto all = fixture.Fetch(since);
    DOCTEST_REQUIRE(all.has_value());
    DOCTEST_CHECK(all->m_isSnapshot);
    DOCTEST_CHECK(all->m_objects ==
                  std::vector<FeedObject>{ Object({ 2, 100 }, "new") });
  }
}

// Guards against instances that learn of no change while those of an earlier
// release, which states no eras, read the store for all.
DOCTEST_TEST_CASE("an instance that states no era is not followed")
{
  Fixture fixture;
  Instance& newer = *fixture.m_instances[0];
  fixture.Fill(0, Object({ 2, 100 }, "new"), { 2, 105 });
  DOCTEST_REQUIRE(newer.m_service.Start().empty());
  DatagramSocket earlier(fixture.m_loop,
                         [](const std::string&, std::string_view) {});
  DOCTEST_REQUIRE(earlier.Bind({ HostOf(1), kPort }).empty());
  auto tell = [&](StorePosition aContent) {
    FleetMessage message{ .m_kind = FleetMessageKind::kNotice,
                          .m_sender = { .m_host = HostOf(1),
                                        .m_incarnation = 1 },
                          .m_feedWatermarks = { { aContent, {} } } };
    earlier.Send({ HostOf(0), kPort }, EncodeFleetMessage(message));
  };
  auto followed = [&]() { return newer.m_service.FollowedMembers().size(); };
  // It has started and knows nothing yet.
  tell({ 0, 0 });
  DOCTEST_CHECK(fixture.RunUntil([&]() { return followed() == 2; }));
  tell({ 0, 120 });
  DOCTEST_CHECK(fixture.RunUntil([&]() { return followed() == 1; }));
  // It has been replaced by this release.
  tell({ 2, 100 });
  DOCTEST_CHECK(fixture.RunUntil([&]() { return followed() == 2; }));
}

namespace {

// A peer in a later era whose feeds take a while to arrive.
struct SlowPeer final : Http1Handler
{
  explicit SlowPeer(UvLoop& aLoop)
    : m_timer(aLoop,
              [this]() {
                m_exchange->Answer(
                  { .m_status = 200,
                    .m_body = EncodeDeltas(std::vector{ m_delta }) });
              })
    , m_loop(aLoop)
  {
  }

  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override
  {
    m_exchange = std::move(aExchange);
    m_timer.Set(m_loop.Now() + Seconds(2));
  }

  FeedDelta m_delta{ .m_isSnapshot = true,
                     .m_completeTo = { 3, 90 },
                     .m_objects = { Object({ 3, 80 }, "later") } };
  std::shared_ptr<Http1Exchange> m_exchange;
  UvTimer m_timer;
  UvLoop& m_loop;
};

} // namespace

// Guards against a large fleet whose instances all give up the feeds of a later
// era because several fetch them over one narrow link.
DOCTEST_TEST_CASE("many objects have the time that they take over narrow links")
{
  constexpr uint64_t kObjects = 3200;
  Fixture fixture;
  Instance& behind = *fixture.m_instances[0];
  for (uint64_t i = 0; i < kObjects; ++i) {
    FeedObject object = Object({ 2, i + 1 }, "known");
    object.m_name = "u" + std::to_string(i);
    (void)behind.Feed().Apply(object, { 2, kObjects });
  }
  fixture.Fill(0, Object({ 2, 100 }, "old"), { 2, kObjects });
  SlowPeer peer(fixture.m_loop);
  Http1Server server(fixture.m_loop, peer, {});
  DOCTEST_REQUIRE(server.Listen({ HostOf(1), kPort }).empty());
  DatagramSocket socket(fixture.m_loop,
                        [](const std::string&, std::string_view) {});
  DOCTEST_REQUIRE(socket.Bind({ HostOf(1), kPort }).empty());
  DOCTEST_REQUIRE(behind.m_service.Start().empty());
  socket.Send({ HostOf(0), kPort },
              EncodeFleetMessage(
                { .m_kind = FleetMessageKind::kNotice,
                  .m_sender = { .m_host = HostOf(1), .m_incarnation = 1 },
                  .m_feedWatermarks = { { { 3, 80 }, {} } } }));
  DOCTEST_CHECK(fixture.RunUntil([&]() {
    return behind.Feed().CompleteTo() == StorePosition{ 3, 90 };
  }));
}

} // namespace ebonykeel
