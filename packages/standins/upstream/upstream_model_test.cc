#include <doctest/doctest.h>

#include <random>

#include "standins/upstream/upstream_model.h"

namespace ebonykeel::standins {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(100));

struct Fixture
{
  explicit Fixture(const UpstreamModelOptions& aOptions)
    : m_random(7)
    , m_model(aOptions, m_random)
  {
  }

  OfferResult Offer(WorkId aId, const Work& aWork = {}, TimePoint aNow = kStart)
  {
    m_effects = {};
    return m_model.Offer(aNow, aId, aWork, m_effects);
  }

  void Finish(WorkId aId, TimePoint aNow = kStart)
  {
    m_effects = {};
    m_model.Finish(aNow, aId, m_effects);
  }

  std::mt19937_64 m_random;
  UpstreamModel m_model;
  Effects m_effects;
};

UpstreamModelOptions
WarmOptions()
{
  return { .m_queueLimit = 1, .m_startsCold = false };
}

DOCTEST_TEST_CASE("work fills the slots, then the queue, and is then shed")
{
  Fixture fixture(WarmOptions());
  DOCTEST_CHECK(fixture.Offer(1) == OfferResult::kAccepted);
  DOCTEST_CHECK(fixture.m_effects.m_started.size() == 1);
  DOCTEST_CHECK(fixture.Offer(2) == OfferResult::kAccepted);
  DOCTEST_CHECK(fixture.Offer(3) == OfferResult::kAccepted);
  DOCTEST_CHECK(fixture.m_effects.m_started.empty());
  DOCTEST_CHECK(fixture.Offer(4) == OfferResult::kShed);
  fixture.Finish(1);
  DOCTEST_REQUIRE(fixture.m_effects.m_started.size() == 1);
  DOCTEST_CHECK(fixture.m_effects.m_started[0].m_id == 3);
  DOCTEST_CHECK(fixture.m_model.Counters().m_maxHeld == 3);
}

DOCTEST_TEST_CASE(
  "a cold upstream runs one piece of work at a time until it is warm")
{
  Fixture fixture({ .m_warmUpAnswers = 2 });
  DOCTEST_CHECK(fixture.Offer(1) == OfferResult::kAccepted);
  DOCTEST_CHECK(fixture.Offer(2) == OfferResult::kAccepted);
  DOCTEST_CHECK(fixture.m_model.RunningCount() == 1);
  fixture.Finish(1);
  DOCTEST_CHECK(fixture.m_model.IsCold());
  fixture.Finish(2);
  DOCTEST_CHECK_FALSE(fixture.m_model.IsCold());
  DOCTEST_CHECK(fixture.m_model.Counters().m_maxHeldWhileCold == 2);
}

DOCTEST_TEST_CASE(
  "a cold upstream that gets too much work restarts and loses all of it")
{
  Fixture fixture({ .m_coldWorkLimit = 1 });
  DOCTEST_CHECK(fixture.Offer(1) == OfferResult::kAccepted);
  DOCTEST_CHECK(fixture.Offer(2) == OfferResult::kOverloaded);
  DOCTEST_CHECK(fixture.m_effects.m_reset == std::vector<WorkId>{ 1 });
  DOCTEST_CHECK(fixture.m_model.HeldCount() == 0);
  DOCTEST_CHECK(fixture.m_model.StartCount() == 2);
  DOCTEST_CHECK(fixture.m_model.IsCold());
}

DOCTEST_TEST_CASE("waiting work expires at its deadline without having started")
{
  Fixture fixture({ .m_slots = 1, .m_startsCold = false });
  DOCTEST_CHECK(fixture.Offer(1) == OfferResult::kAccepted);
  Work urgentWork = { .m_deadline = kStart + Milliseconds(1) };
  DOCTEST_CHECK(fixture.Offer(2, urgentWork) == OfferResult::kAccepted);
  fixture.Finish(1, kStart + Milliseconds(1));
  DOCTEST_CHECK(fixture.m_effects.m_expired == std::vector<WorkId>{ 2 });
  DOCTEST_CHECK(fixture.m_effects.m_started.empty());
  DOCTEST_CHECK(fixture.Offer(3, urgentWork, kStart + Seconds(1)) ==
                OfferResult::kDeadlinePassed);
}

DOCTEST_TEST_CASE(
  "work with a side effect can be cancelled only while it waits")
{
  Fixture fixture({ .m_slots = 1, .m_startsCold = false });
  Work filing = { .m_hasSideEffect = true };
  fixture.Offer(1, filing);
  fixture.Offer(2, filing);
  Effects effects;
  DOCTEST_CHECK_FALSE(fixture.m_model.Cancel(kStart, 1, effects));
  DOCTEST_CHECK(fixture.m_model.Cancel(kStart, 2, effects));
  DOCTEST_CHECK_FALSE(fixture.m_model.Cancel(kStart, 2, effects));
  DOCTEST_CHECK(fixture.m_model.HeldCount() == 1);
}

DOCTEST_TEST_CASE("a draining upstream rejects work and counts it")
{
  Fixture fixture(WarmOptions());
  fixture.m_model.SetDraining(true);
  DOCTEST_CHECK(fixture.Offer(1) == OfferResult::kDraining);
  DOCTEST_CHECK(fixture.m_model.Counters().m_afterDrainReceived == 1);
}

DOCTEST_TEST_CASE(
  "service times have the configured mean and share of stragglers")
{
  UpstreamModelOptions options = WarmOptions();
  options.m_stragglerShare = 0.1;
  options.m_stragglerFactor = 20;
  Fixture fixture(options);
  Duration sum = Duration::zero();
  constexpr int kSamples = 20'000;
  int stragglers = 0;
  for (int i = 0; i < kSamples; ++i) {
    fixture.Offer(i);
    sum += fixture.m_effects.m_started[0].m_serviceTime;
    stragglers += fixture.m_effects.m_started[0].m_serviceTime >
                  6 * options.m_meanServiceTime;
    fixture.Finish(i);
  }
  double ratio = ToMillisecondsF(sum) / kSamples /
                 ToMillisecondsF(options.m_meanServiceTime);
  DOCTEST_CHECK(ratio == doctest::Approx(0.9 + 0.1 * 20).epsilon(0.05));
  DOCTEST_CHECK(stragglers == doctest::Approx(0.1 * kSamples).epsilon(0.1));
}

} // namespace
} // namespace ebonykeel::standins
