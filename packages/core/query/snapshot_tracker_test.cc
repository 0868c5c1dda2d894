#include "core/query/snapshot_tracker.h"

#include <random>

#include <doctest/doctest.h>

#include "core/query/query_run.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart;
const ServiceName kService("rugs");

ConfigurationPtr
MakeConfiguration(Generation aGeneration, IndexVersion aVersion)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->m_generation = aGeneration;
  ServiceConfig service{ .m_name = kService, .m_indexVersion = aVersion };
  for (const char* name : { "s0", "s1" }) {
    ShardConfig shard{ .m_name = ShardName(name) };
    for (const char* copy : { "-a", "-b" }) {
      shard.m_replicas.push_back(
        { .m_id = UpstreamId(std::string(name) + copy) });
    }
    service.m_shards.push_back(shard);
  }
  configuration->m_services = { service };
  return configuration;
}

SubAnswer
NotHeld()
{
  return { .m_reason = MissingReason::kVersionNotHeld };
}

struct TrackerAfterNewVersion
{
  SnapshotTracker m_tracker;

  TrackerAfterNewVersion()
  {
    m_tracker.OnConfiguration(MakeConfiguration(1, 10));
    m_tracker.OnConfiguration(MakeConfiguration(2, 11));
  }

  IndexVersion Pinned(TimePoint aNow)
  {
    return m_tracker.Pin(kService, aNow)->Version();
  }
};

DOCTEST_TEST_CASE(
  "the newest snapshot is pinned unless a shard has no replica for it")
{
  TrackerAfterNewVersion fixture;
  DOCTEST_CHECK(fixture.Pinned(kStart) == 11);
  fixture.m_tracker.OnSubAnswer(UpstreamId("s0-a"), 11, NotHeld(), kStart);
  DOCTEST_CHECK(fixture.Pinned(kStart) == 11);
  fixture.m_tracker.OnSubAnswer(UpstreamId("s0-b"), 11, NotHeld(), kStart);
  DOCTEST_CHECK(fixture.Pinned(kStart) == 10);
  DOCTEST_CHECK(fixture.Pinned(kStart + Seconds(2)) == 11);
}

DOCTEST_TEST_CASE("a version missing from a list of held versions is not held")
{
  TrackerAfterNewVersion fixture;
  SubAnswer old{ .m_heldVersions = { 10 } };
  fixture.m_tracker.OnSubAnswer(UpstreamId("s0-a"), 10, old, kStart);
  fixture.m_tracker.OnSubAnswer(UpstreamId("s0-b"), 10, old, kStart);
  DOCTEST_CHECK(fixture.Pinned(kStart) == 10);
  SubAnswer both{ .m_heldVersions = { 10, 11 } };
  fixture.m_tracker.OnSubAnswer(UpstreamId("s0-b"), 10, both, kStart);
  DOCTEST_CHECK(fixture.Pinned(kStart) == 11);
}

DOCTEST_TEST_CASE("an older configuration is ignored")
{
  TrackerAfterNewVersion fixture;
  fixture.m_tracker.OnConfiguration(MakeConfiguration(1, 10));
  DOCTEST_CHECK(fixture.m_tracker.InForce()->m_generation == 2);
  DOCTEST_CHECK(fixture.Pinned(kStart) == 11);
}

DOCTEST_TEST_CASE("the earlier snapshot is kept if the service does not change")
{
  TrackerAfterNewVersion fixture;
  fixture.m_tracker.OnConfiguration(MakeConfiguration(3, 11));
  auto newest = fixture.m_tracker.Pin(kService, kStart);
  auto other = fixture.m_tracker.PinOther(*newest, kStart);
  DOCTEST_REQUIRE(other.has_value());
  DOCTEST_CHECK(other->Version() == 10);
  DOCTEST_CHECK(fixture.m_tracker.UsableUpstreams().size() == 4);
}

DOCTEST_TEST_CASE("upstreams of the earlier snapshot stay reachable")
{
  TrackerAfterNewVersion fixture;
  DOCTEST_CHECK(*fixture.m_tracker.WithEarlierShards() ==
                *fixture.m_tracker.InForce());
  auto repartitioned =
    std::make_shared<Configuration>(*MakeConfiguration(3, 12));
  ServiceConfig& service = repartitioned->m_services.front();
  const size_t shards = service.m_shards.size();
  for (ShardConfig& shard : service.m_shards) {
    shard.m_name = ShardName(shard.m_name.Text() + "-new");
    for (UpstreamConfig& replica : shard.m_replicas) {
      replica.m_id = UpstreamId(replica.m_id.Text() + "-new");
    }
  }
  fixture.m_tracker.OnConfiguration(repartitioned);
  ConfigurationPtr reachable = fixture.m_tracker.WithEarlierShards();
  const ServiceConfig* extended = reachable->FindService(kService);
  DOCTEST_REQUIRE(extended != nullptr);
  DOCTEST_CHECK(extended->m_shards.size() == 2 * shards);
  DOCTEST_CHECK(reachable->m_generation == 3);
}

DOCTEST_TEST_CASE("a query whose version is not held restarts its service once")
{
  TrackerAfterNewVersion fixture;
  std::mt19937_64 random(1);
  AdaptiveSelector selector({}, random);
  NoHedging hedges;
  RetryBudget retries = MakeRetryBudget();
  QueryRun run({ .m_services = { kService },
                 .m_arrival = kStart,
                 .m_deadline = kStart + Milliseconds(100) },
               { fixture.m_tracker, selector, hedges, retries },
               SubQueryIds(1, 1));
  std::vector<QueryAction> actions = run.Start(kStart);
  std::vector<IndexVersion> versions;
  QueryAnswer answer;
  for (size_t next = 0; next < actions.size(); ++next) {
    if (const auto* finish = std::get_if<Finish>(&actions[next])) {
      answer = finish->m_answer;
    }
    const auto* send = std::get_if<SendSubQuery>(&actions[next]);
    if (send == nullptr) {
      continue;
    }
    SubQuery subQuery = send->m_subQuery;
    versions.push_back(subQuery.m_indexVersion);
    bool notHeld =
      subQuery.m_indexVersion == 11 && subQuery.m_shard == ShardName("s1");
    auto more =
      run.OnSubAnswer({ .m_id = subQuery.m_id,
                        .m_upstream = subQuery.m_upstream,
                        .m_shard = subQuery.m_shard,
                        .m_indexVersion = subQuery.m_indexVersion,
                        .m_reason = notHeld ? MissingReason::kVersionNotHeld
                                            : MissingReason::kNone },
                      kStart + Milliseconds(5));
    actions.insert(actions.end(), more.begin(), more.end());
  }
  DOCTEST_CHECK(versions == std::vector<IndexVersion>{ 11, 11, 11, 10, 10 });
  DOCTEST_CHECK(run.Counts().m_restarts == 1);
  DOCTEST_CHECK(answer.Whole());
  DOCTEST_CHECK(answer.m_services[0].m_indexVersion == 10);
}

} // namespace
} // namespace ebonykeel
