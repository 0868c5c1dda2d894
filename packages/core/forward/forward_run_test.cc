#include "core/forward/forward_run_fixture.h"

#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

using Fixture = ForwardRunFixture;

DOCTEST_TEST_CASE(
  "a gathered answer is returned at once when every shard has answered")
{
  Fixture fixture(4);
  fixture.Start();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 4);
  for (uint32_t subRequest = 0; subRequest < 4; ++subRequest) {
    DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
    fixture.Succeed(subRequest);
  }
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kWhole);
  DOCTEST_CHECK(fixture.m_port.m_result->m_missing == 0);
}

DOCTEST_TEST_CASE(
  "shortly before the target an answer is returned without late shards")
{
  Fixture fixture(4);
  ForwardRun& run = fixture.Start();
  for (uint32_t subRequest = 0; subRequest < 3; ++subRequest) {
    fixture.Succeed(subRequest);
  }
  fixture.SetTime(Milliseconds(45));
  fixture.RunTimer();
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
  fixture.SetTime(Milliseconds(52));
  DOCTEST_CHECK(*run.NextTimer() <= fixture.m_port.m_now);
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kPartial);
  DOCTEST_CHECK(fixture.m_port.m_result->m_missing == 1);
}

DOCTEST_TEST_CASE("an answer below the minimum share waits beyond the target")
{
  Fixture fixture(4);
  fixture.Start();
  fixture.Succeed(0);
  fixture.Succeed(1);
  fixture.SetTime(Milliseconds(100));
  fixture.RunTimer();
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
  fixture.Succeed(2);
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kPartial);
}

DOCTEST_TEST_CASE("the minimum share is computed without a rounding error")
{
  Fixture fixture(10);
  fixture.m_route.m_minShare = 0.7;
  fixture.Start();
  for (uint32_t subRequest = 0; subRequest < 7; ++subRequest) {
    fixture.Succeed(subRequest);
  }
  fixture.SetTime(Milliseconds(53));
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kPartial);
}

DOCTEST_TEST_CASE("a late shard is hedged once, to its other replica")
{
  Fixture fixture(1);
  fixture.Start();
  DOCTEST_CHECK(fixture.m_port.m_sent[0].m_replica == "s0a");
  fixture.SetTime(Milliseconds(30));
  fixture.RunTimer();
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 2);
  DOCTEST_CHECK(fixture.m_port.m_sent[1].m_replica == "s0b");
  DOCTEST_CHECK(fixture.m_port.m_sent[1].m_reason == AttemptReason::kHedge);
  fixture.SetTime(Milliseconds(50));
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 2);
  fixture.Succeed(0, 1);
  DOCTEST_CHECK(fixture.m_port.m_cancelled.size() == 1);
  DOCTEST_CHECK(fixture.m_port.m_result->m_answers[0].m_attempt == 1);
}

DOCTEST_TEST_CASE("a hedge waits while the other replica has no free slot")
{
  Fixture fixture(1);
  std::vector<ReplicaPtr> replicas(fixture.m_catalogue.Usable("s0").begin(),
                                   fixture.m_catalogue.Usable("s0").end());
  fixture.Start();
  fixture.m_load.OnSent(*replicas[1], kStart);
  fixture.m_load.OnSent(*replicas[1], kStart);
  fixture.SetTime(Milliseconds(30));
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
  fixture.m_load.OnAttemptCancelled(*replicas[1], kStart);
  fixture.SetTime(Milliseconds(40));
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 2);
}

DOCTEST_TEST_CASE("no extra request is sent without budget")
{
  Fixture fixture(1);
  fixture.m_budget = ExtraBudget({ .m_share = 0, .m_burst = 0 }, "here");
  fixture.Start();
  fixture.SetTime(Milliseconds(30));
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
  fixture.Fail(0, 0, AttemptOutcome::kFailure);
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kFailed);
}

DOCTEST_TEST_CASE(
  "a non-idempotent request is not sent again once it may have run")
{
  Fixture fixture(1, RouteTarget::kService);
  fixture.m_route.m_idempotent = false;
  DOCTEST_SUBCASE("late")
  {
    fixture.Start();
    fixture.SetTime(Milliseconds(300));
    fixture.RunTimer();
    DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
    fixture.SetTime(Milliseconds(600));
    fixture.RunTimer();
    DOCTEST_CHECK(fixture.m_port.m_result->m_status ==
                  ForwardStatus::kTimedOut);
  }
  DOCTEST_SUBCASE("connection broken")
  {
    fixture.Start();
    fixture.Fail(0, 0, AttemptOutcome::kBroken);
    DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kFailed);
  }
  DOCTEST_SUBCASE("upstream failure")
  {
    fixture.Start();
    fixture.Fail(0, 0, AttemptOutcome::kFailure);
    DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
    DOCTEST_CHECK(fixture.m_port.m_result->m_status ==
                  ForwardStatus::kUpstreamFailure);
  }
}

DOCTEST_TEST_CASE(
  "a request that was not executed is retried even if not idempotent")
{
  Fixture fixture(1, RouteTarget::kService);
  fixture.m_route.m_idempotent = false;
  for (AttemptOutcome outcome : { AttemptOutcome::kNotExecuted,
                                  AttemptOutcome::kNotSent,
                                  AttemptOutcome::kWrongInstance }) {
    fixture.m_port.m_sent.clear();
    fixture.m_port.m_result.reset();
    fixture.Start();
    fixture.Fail(0, 0, outcome);
    DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 2);
    DOCTEST_CHECK(fixture.m_port.m_sent[1].m_replica == "s0b");
    fixture.Succeed(0, 1);
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kWhole);
  }
}

DOCTEST_TEST_CASE(
  "a request is refused as not run only if no attempt may have run")
{
  Fixture fixture(1, RouteTarget::kService);
  DOCTEST_SUBCASE("every upstream shed it")
  {
    fixture.Start();
    for (uint32_t attempt = 0; attempt < 4; ++attempt) {
      if (!fixture.m_port.m_result) {
        fixture.Fail(0, attempt, AttemptOutcome::kNotExecuted);
      }
    }
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kRefused);
    DOCTEST_CHECK(fixture.m_port.m_result->m_retryAfter > Duration{});
  }
  DOCTEST_SUBCASE("one may have run it")
  {
    fixture.Start();
    fixture.Fail(0, 0, AttemptOutcome::kBroken);
    for (uint32_t attempt = 1; attempt < 4; ++attempt) {
      if (!fixture.m_port.m_result) {
        fixture.Fail(0, attempt, AttemptOutcome::kNotExecuted);
      }
    }
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kFailed);
  }
}

DOCTEST_TEST_CASE(
  "a request without enough available upstreams is refused at once")
{
  Fixture fixture(4);
  DOCTEST_SUBCASE("too many shards have no registered upstream")
  {
    for (const char* id : { "s0a", "s0b", "s1a", "s1b" }) {
      fixture.m_catalogue.Remove(id);
    }
    fixture.Start();
    DOCTEST_CHECK(fixture.m_port.m_sent.empty());
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kRefused);
  }
  DOCTEST_SUBCASE(
    "too many shards are unreachable; the retry delay is their backoff")
  {
    for (const char* shard : { "s0", "s1" }) {
      for (const ReplicaPtr& replica : fixture.m_catalogue.Usable(shard)) {
        fixture.m_load.OnUnreachable(*replica, kStart, kStart);
      }
    }
    fixture.Start();
    DOCTEST_CHECK(fixture.m_port.m_sent.empty());
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kRefused);
    DOCTEST_CHECK(fixture.m_port.m_result->m_retryAfter == Milliseconds(250));
  }
  DOCTEST_SUBCASE("one unavailable shard gives a partial answer")
  {
    fixture.m_catalogue.Remove("s0a");
    fixture.m_catalogue.Remove("s0b");
    fixture.Start();
    for (uint32_t subRequest = 1; subRequest < 4; ++subRequest) {
      fixture.Succeed(subRequest);
    }
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kPartial);
    DOCTEST_CHECK(fixture.m_port.m_result->m_missing == 1);
  }
}

DOCTEST_TEST_CASE("a request ends when too many shards have failed")
{
  Fixture fixture(4);
  fixture.m_route.m_maxAttempts = 1;
  fixture.Start();
  fixture.Fail(0, 0, AttemptOutcome::kFailure);
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
  fixture.Fail(1, 0, AttemptOutcome::kBroken);
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kFailed);
  DOCTEST_CHECK(fixture.m_port.m_cancelled.size() == 2);
}

DOCTEST_TEST_CASE("a removed upstream gets no retry")
{
  Fixture fixture(1);
  fixture.Start();
  fixture.m_catalogue.Remove("s0b");
  fixture.Fail(0, 0, AttemptOutcome::kFailure);
  for (const SentAttempt& sent : fixture.m_port.m_sent) {
    DOCTEST_CHECK(sent.m_replica != "s0b");
  }
}

DOCTEST_TEST_CASE("an upstream's deadline is the caller's remaining time")
{
  Fixture fixture(1);
  fixture.Start(Milliseconds(200));
  DOCTEST_CHECK(fixture.m_port.m_sent[0].m_deadline == Milliseconds(200));
  fixture.SetTime(Milliseconds(30));
  fixture.RunTimer();
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 2);
  DOCTEST_CHECK(fixture.m_port.m_sent[1].m_deadline == Milliseconds(170));
}

DOCTEST_TEST_CASE("every open attempt is cancelled when the caller disconnects")
{
  Fixture fixture(4);
  ForwardRun& run = fixture.Start();
  fixture.Succeed(0);
  run.Abandon();
  DOCTEST_CHECK(fixture.m_port.m_cancelled.size() == 3);
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
  DOCTEST_CHECK_FALSE(run.NextTimer().has_value());
}

DOCTEST_TEST_CASE("a run ends with what it has when the process stops")
{
  constexpr Duration kStop = Milliseconds(200);
  DOCTEST_SUBCASE("enough shards")
  {
    Fixture fixture(4);
    fixture.m_environment.m_options.m_earlyAnswers = false;
    fixture.Start();
    for (uint32_t subRequest : { 0, 1, 2 }) {
      fixture.Succeed(subRequest);
    }
    fixture.m_run->EndBy(kStart + kStop);
    DOCTEST_CHECK(*fixture.m_run->NextTimer() <= kStart + kStop);
    fixture.SetTime(kStop);
    fixture.RunTimer();
    DOCTEST_REQUIRE(fixture.m_port.m_result.has_value());
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kPartial);
  }
  DOCTEST_SUBCASE("no answer to a request that may have run")
  {
    Fixture fixture(1, RouteTarget::kService);
    fixture.m_route.m_idempotent = false;
    fixture.Start();
    fixture.m_run->EndBy(kStart + kStop);
    fixture.SetTime(kStop);
    fixture.RunTimer();
    DOCTEST_REQUIRE(fixture.m_port.m_result.has_value());
    DOCTEST_CHECK(fixture.m_port.m_result->m_status ==
                  ForwardStatus::kTimedOut);
    DOCTEST_CHECK(fixture.m_port.m_cancelled.size() == 1);
  }
}

DOCTEST_TEST_CASE(
  "a request that comes when the process stops is served in time "
  "or refused")
{
  Fixture fixture(1, RouteTarget::kService);
  auto startBefore = [&](Duration aStop) {
    fixture.m_run.emplace(
      ForwardRequest{ .m_route = &fixture.m_route,
                      .m_services = fixture.m_route.m_services,
                      .m_receivedAt = kStart,
                      .m_remaining = Milliseconds(600) },
      fixture.m_environment,
      fixture.m_port);
    fixture.m_run->EndBy(kStart + aStop);
    fixture.m_run->Start(kStart);
  };
  startBefore(Milliseconds(60));
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 1);
  DOCTEST_CHECK(fixture.m_port.m_sent[0].m_deadline == Milliseconds(60));
  startBefore(Milliseconds(59));
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
  DOCTEST_REQUIRE(fixture.m_port.m_result.has_value());
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kRefused);
  DOCTEST_CHECK(fixture.m_port.m_result->m_retryAfter > Duration{});
}

DOCTEST_TEST_CASE("hedges and early answers can be switched off")
{
  Fixture fixture(4);
  fixture.m_environment.m_options.m_hedging = false;
  fixture.m_environment.m_options.m_earlyAnswers = false;
  fixture.Start();
  for (uint32_t subRequest = 0; subRequest < 3; ++subRequest) {
    fixture.Succeed(subRequest);
  }
  fixture.SetTime(Milliseconds(100));
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 4);
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
}

// Regression: where 15 of 100 upstreams were slow, the 0.9 quantile was one of
// their latencies and hedges were sent after the target latency (incident
// inc-9d9c).
DOCTEST_TEST_CASE("slow upstreams do not raise the late threshold")
{
  LatencyModel latencies;
  Route route{ .m_name = "r", .m_targetLatency = Milliseconds(60) };
  for (int i = 0; i < 100; ++i) {
    latencies.Add(route, Milliseconds(i % 100 < 85 ? 10 : 100));
  }
  DOCTEST_CHECK(latencies.LateThreshold(route) < Milliseconds(25));
}

DOCTEST_TEST_CASE(
  "a sub-request whose upstreams are all full waits for capacity")
{
  Fixture fixture(4);
  std::vector<ReplicaPtr> fullReplicas(fixture.m_catalogue.Usable("s0").begin(),
                                       fixture.m_catalogue.Usable("s0").end());
  for (const ReplicaPtr& replica : fullReplicas) {
    for (int i = 0; i < 6; ++i) {
      fixture.m_load.OnSent(*replica, kStart);
    }
  }
  ForwardRun& run = fixture.Start();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 3);
  fixture.SetTime(Milliseconds(8));
  DOCTEST_CHECK(*run.NextTimer() <= fixture.m_port.m_now);
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 3);
  fixture.m_load.OnAttemptCancelled(*fullReplicas[1], kStart);
  fixture.SetTime(Milliseconds(16));
  fixture.RunTimer();
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 4);
  DOCTEST_CHECK(fixture.m_port.m_sent[3].m_replica == "s0b");
  DOCTEST_CHECK(fixture.m_port.m_sent[3].m_reason == AttemptReason::kFirst);
}

DOCTEST_TEST_CASE("a shard that shed a request is retried while time remains")
{
  Fixture fixture(1);
  fixture.m_route.m_minShare = 1;
  fixture.Start();
  fixture.Fail(0, 0, AttemptOutcome::kNotExecuted);
  fixture.Fail(0, 1, AttemptOutcome::kNotExecuted);
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
  fixture.SetTime(Milliseconds(10));
  fixture.RunTimer();
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() >= 3);
  fixture.Succeed(0, static_cast<uint32_t>(fixture.m_port.m_sent.size() - 1));
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kWhole);
}

DOCTEST_TEST_CASE(
  "a request to one service whose upstreams are full is refused early")
{
  Fixture fixture(1, RouteTarget::kService);
  for (const ReplicaPtr& replica : fixture.m_catalogue.Usable("s0")) {
    for (int i = 0; i < 6; ++i) {
      fixture.m_load.OnSent(*replica, kStart);
    }
  }
  fixture.Start();
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
  fixture.SetTime(Milliseconds(16));
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kRefused);
}

DOCTEST_TEST_CASE(
  "an early answer takes the elapsed time of the caller into account")
{
  Fixture fixture(4);
  fixture.Start(Milliseconds(590), Milliseconds(10));
  for (uint32_t subRequest = 0; subRequest < 3; ++subRequest) {
    fixture.Succeed(subRequest);
  }
  fixture.SetTime(Milliseconds(41));
  fixture.RunTimer();
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
  fixture.SetTime(Milliseconds(42));
  fixture.RunTimer();
  DOCTEST_REQUIRE(fixture.m_port.m_result.has_value());
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kPartial);
}

DOCTEST_TEST_CASE(
  "elapsed time beyond the target does not hasten an early answer")
{
  Fixture fixture(4);
  fixture.Start(Milliseconds(500), Milliseconds(100));
  for (uint32_t subRequest = 0; subRequest < 3; ++subRequest) {
    fixture.Succeed(subRequest);
  }
  fixture.SetTime(Milliseconds(51));
  fixture.RunTimer();
  DOCTEST_CHECK_FALSE(fixture.m_port.m_result.has_value());
}

} // namespace
} // namespace ebonykeel
