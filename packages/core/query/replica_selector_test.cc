#include "core/query/replica_selector.h"

#include <random>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart;
const UpstreamId kLocal("local");
const UpstreamId kRemote("remote");

const ShardConfig kShard{
  .m_name = ShardName("s"),
  .m_replicas = { { .m_id = kLocal, .m_dataCentre = DataCentre("oviedo") },
                  { .m_id = kRemote, .m_dataCentre = DataCentre("bilbao") } }
};

struct Fixture
{
  std::mt19937_64 m_random{ 1 };
  AdaptiveSelector m_selector{ { .m_ownDataCentre = DataCentre("oviedo"),
                                 .m_explorationShare = 0 },
                               m_random };

  UpstreamId Chosen(AttemptKind aKind = AttemptKind::kFirst,
                    TimePoint aNow = kStart,
                    std::vector<UpstreamId> aExcluded = {})
  {
    auto choice = m_selector.Choose(kShard, aExcluded, aKind, aNow);
    return choice.m_replica == nullptr ? UpstreamId() : choice.m_replica->m_id;
  }

  void Answered(const UpstreamId& aUpstream,
                const SubAnswer& aAnswer,
                Duration aLatency = Milliseconds(5))
  {
    m_selector.OnSubAnswer(aUpstream, aAnswer, aLatency, kStart);
  }
};

DOCTEST_TEST_CASE("a local replica is preferred until it is slower")
{
  Fixture fixture;
  DOCTEST_CHECK(fixture.Chosen() == kLocal);
  fixture.Answered(kLocal, {}, Milliseconds(30));
  fixture.Answered(kRemote, {});
  DOCTEST_CHECK(fixture.Chosen() == kRemote);
  DOCTEST_CHECK(fixture.Chosen(AttemptKind::kFirst, kStart + Seconds(120)) ==
                kLocal);
}

DOCTEST_TEST_CASE("work in flight raises the cost of a replica")
{
  Fixture fixture;
  fixture.m_selector.OnSent(kLocal);
  DOCTEST_CHECK(fixture.Chosen() == kRemote);
  fixture.m_selector.OnCancelled(kLocal, Milliseconds(1), kStart);
  DOCTEST_CHECK(fixture.Chosen() == kLocal);
}

DOCTEST_TEST_CASE("a failing replica is avoided until its failures decay")
{
  Fixture fixture;
  fixture.Answered(kLocal, { .m_reason = MissingReason::kUnreachable });
  DOCTEST_CHECK(fixture.Chosen() == kRemote);
  DOCTEST_CHECK(fixture.Chosen(AttemptKind::kFirst, kStart + Seconds(5)) ==
                kLocal);
}

DOCTEST_TEST_CASE("a hedge goes only to an upstream known to be warm")
{
  Fixture fixture;
  DOCTEST_CHECK(fixture.Chosen(AttemptKind::kHedge).empty());
  fixture.Answered(kRemote, { .m_cold = true });
  DOCTEST_CHECK(fixture.Chosen(AttemptKind::kHedge).empty());
  fixture.Answered(kRemote, {});
  DOCTEST_CHECK(fixture.Chosen(AttemptKind::kHedge) == kRemote);
  DOCTEST_CHECK(
    fixture.Chosen(AttemptKind::kHedge, kStart + Seconds(120)).empty());
}

DOCTEST_TEST_CASE("a cold replica is chosen only if there is no other")
{
  Fixture fixture;
  fixture.Answered(kLocal, { .m_cold = true });
  DOCTEST_CHECK(fixture.Chosen() == kRemote);
  DOCTEST_CHECK(fixture.Chosen(AttemptKind::kRetry, kStart, { kRemote }) ==
                kLocal);
}

DOCTEST_TEST_CASE("a drained or withdrawn replica is never chosen")
{
  Fixture fixture;
  auto configuration = std::make_shared<Configuration>();
  configuration->m_withdrawnDataCentres.insert(DataCentre("oviedo"));
  fixture.m_selector.OnConfiguration(configuration);
  DOCTEST_CHECK(fixture.Chosen() == kRemote);
  configuration = std::make_shared<Configuration>(*configuration);
  configuration->m_drainedUpstreams.insert(kRemote);
  fixture.m_selector.OnConfiguration(configuration);
  auto choice =
    fixture.m_selector.Choose(kShard, {}, AttemptKind::kFirst, kStart);
  DOCTEST_CHECK(choice.m_replica == nullptr);
  DOCTEST_CHECK(choice.m_reason == MissingReason::kWithdrawn);
}

} // namespace
} // namespace ebonykeel
