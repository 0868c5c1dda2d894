#include "core/forward/route_explanation.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

#include "core/forward/forward_run.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kNow{ Seconds(100) };

class FixedQuota final : public QuotaView
{
public:
  [[nodiscard]] std::optional<uint64_t> TokensHeld(
    const Workspace& aWorkspace,
    TimePoint /*aNow*/) const override
  {
    return aWorkspace.m_name == "desk" ? std::optional<uint64_t>(17)
                                       : std::nullopt;
  }
};

Route
MakeRoute(const std::string& aName, RouteTarget aTarget)
{
  return { .m_name = aName,
           .m_host = "h",
           .m_pathPrefix = absl::StrCat("/", aName, "/"),
           .m_target = aTarget,
           .m_timeout = Milliseconds(600),
           .m_targetLatency = Milliseconds(60),
           .m_priority = 4,
           .m_minShare = 0.75 };
}

// Routes "board" to service "s", "split" to "a" (weight 3) and "b" (weight 1),
// "search" to 40 shards, and the public route "open"; workspaces "desk" and
// "floor", whose only key is also one of "desk".
struct Fixture
{
  Fixture()
  {
    Route board = MakeRoute("board", RouteTarget::kService);
    board.m_services = { "s" };
    Route split = MakeRoute("split", RouteTarget::kSplit);
    split.m_split = { { "a", 3 }, { "b", 1 } };
    Route search = MakeRoute("search", RouteTarget::kShards);
    for (int i = 0; i < 40; ++i) {
      search.m_services.push_back(absl::StrCat("shard", i));
    }
    Route open = MakeRoute("open", RouteTarget::kService);
    open.m_services = { "s" };
    open.m_isPublic = true;
    m_config.m_version = 7;
    m_config.m_routes = { board, split, search, open };
    m_config.m_limits.m_bodyBytes = 1000;
  }

  void UseWorkspaces()
  {
    m_config.m_requiresKeys = true;
    m_config.m_usesWorkspaces = true;
    m_config.m_workspaces = { { .m_name = "desk",
                                .m_keys = { "k1", "k2" },
                                .m_priority = 1,
                                .m_ratePerSecond = 50,
                                .m_burst = 10 },
                              { .m_name = "floor", .m_keys = { "k2" } } };
  }

  Replica Put(const std::string& aService, const std::string& aId)
  {
    Replica replica{ .m_id = aId,
                     .m_startUnixMs = 1,
                     .m_service = aService,
                     .m_address = { "10.0.0.1", 80 },
                     .m_dataCentre = DataCentre("here"),
                     .m_slots = 1 };
    m_catalogue.Put(replica);
    return replica;
  }

  RouteAnswer Ask(const RouteQuestion& aQuestion)
  {
    return ExplainRoute(aQuestion,
                        { .m_routes = std::make_shared<const RouteTable>(
                            std::make_shared<const TrafficConfig>(m_config)),
                          .m_mayLackConfiguration = m_mayLackConfiguration,
                          .m_startRetryAfter = Milliseconds(500),
                          .m_environment = m_environment,
                          .m_splits = m_splits,
                          .m_quotas = m_quotas },
                        kNow);
  }
  RouteExplanation Explain(const RouteQuestion& aQuestion)
  {
    RouteAnswer answer = Ask(aQuestion);
    DOCTEST_REQUIRE_MESSAGE(answer.m_explanation.has_value(),
                            answer.m_problem.m_message);
    return *std::move(answer.m_explanation);
  }
  RouteExplanation ExplainBoard()
  {
    return Explain({ .m_host = "h", .m_path = "/board/1" });
  }

  TrafficConfig m_config;
  ReplicaCatalogue m_catalogue;
  ReplicaLoad m_load{ { .m_dataCentre = DataCentre("here"),
                        .m_maxQueued = 0 } };
  LatencyModel m_latencies;
  ExtraBudget m_budget{ { .m_share = 1, .m_burst = 5 }, "here" };
  ForwardEnvironment m_environment{ .m_catalogue = m_catalogue,
                                    .m_load = m_load,
                                    .m_latencies = m_latencies,
                                    .m_budget = m_budget,
                                    .m_options = {} };
  std::map<std::string, WeightedChoice> m_splits;
  FixedQuota m_quotas;
  bool m_mayLackConfiguration = false;
};

const CandidateExplanation&
Find(const RouteExplanation& aExplanation, const std::string& aId)
{
  const auto& candidates = aExplanation.m_services.at(0).m_candidates;
  auto found =
    std::ranges::find_if(candidates, [&](const CandidateExplanation& aOther) {
      return aOther.m_replica->m_id == aId;
    });
  DOCTEST_REQUIRE(found != candidates.end());
  return *found;
}

DOCTEST_TEST_CASE("questions that cannot be answered get a clear problem")
{
  Fixture fixture;
  RouteQuestion question{ .m_host = "h", .m_path = "/board/1" };
  RouteAnswer none = ExplainRoute(question,
                                  { .m_environment = fixture.m_environment,
                                    .m_splits = fixture.m_splits,
                                    .m_quotas = fixture.m_quotas },
                                  kNow);
  DOCTEST_CHECK(none.m_problem.m_status == 503);
  DOCTEST_CHECK(none.m_problem.m_code == "no-configuration");

  RouteAnswer route = fixture.Ask({ .m_host = "h", .m_path = "/other/" });
  DOCTEST_CHECK(route.m_problem.m_status == 404);
  DOCTEST_CHECK(route.m_problem.m_code == "no-route");
  // A newer configuration may have the route.
  fixture.m_mayLackConfiguration = true;
  route = fixture.Ask({ .m_host = "h", .m_path = "/other/" });
  DOCTEST_CHECK(route.m_problem.m_status == 503);
  DOCTEST_CHECK(route.m_problem.m_code == "configuration-unknown");

  question.m_workspace = "desk";
  DOCTEST_CHECK(fixture.Ask(question).m_problem.m_code == "no-workspace");
  question.m_workspace = "";
  question.m_service = "shard1";
  DOCTEST_CHECK(fixture.Ask(question).m_problem.m_code == "no-service");
}

DOCTEST_TEST_CASE("each state of an upstream is named")
{
  Fixture fixture;
  fixture.m_load.OnSent(fixture.Put("s", "full"), kNow);
  Replica draining = fixture.Put("s", "draining");
  draining.m_state = ReplicaState::kDraining;
  fixture.m_catalogue.Put(draining);
  fixture.m_catalogue.SetLeaving(fixture.Put("s", "leaving"));
  Replica out = fixture.Put("s", "out");
  out.m_dataCentre = DataCentre("there");
  fixture.m_catalogue.Put(out);
  fixture.m_catalogue.SetExcludedDataCentres({ DataCentre("there") });
  fixture.m_load.OnUnreachable(fixture.Put("s", "away"), kNow, kNow);
  fixture.m_load.Pushback().OnRejected(
    fixture.Put("s", "busy"), Seconds(1), kNow);
  fixture.m_load.SetColdUntil(fixture.Put("s", "cold"),
                              kNow + Milliseconds(300));
  fixture.Put("s", "good");

  RouteExplanation board = fixture.ExplainBoard();
  DOCTEST_CHECK(board.m_services.at(0).m_registered == 8);
  DOCTEST_CHECK(board.m_services[0].m_eligible == 2);
  DOCTEST_CHECK(board.m_services[0].m_reason == "lowest-cost");
  DOCTEST_CHECK(Find(board, "full").m_state == CandidateState::kFull);
  DOCTEST_CHECK(Find(board, "draining").m_state == CandidateState::kDraining);
  DOCTEST_CHECK(Find(board, "leaving").m_state == CandidateState::kLeaving);
  DOCTEST_CHECK(Find(board, "out").m_state ==
                CandidateState::kExcludedDataCentre);
  DOCTEST_CHECK(Find(board, "away").m_state == CandidateState::kUnreachable);
  DOCTEST_CHECK(Find(board, "away").m_status.m_unreachableUntil ==
                kNow + Milliseconds(250));
  DOCTEST_CHECK(Find(board, "busy").m_state == CandidateState::kPushingBack);
  DOCTEST_CHECK(Find(board, "cold").m_state == CandidateState::kEligible);
  DOCTEST_CHECK(Find(board, "cold").m_status.m_coldUntil ==
                kNow + Milliseconds(300));
  DOCTEST_CHECK(Find(board, "good").m_isChosen);
  DOCTEST_CHECK(Find(board, "cold").m_status.m_cost ==
                Find(board, "good").m_status.m_cost + Milliseconds(200));
}

DOCTEST_TEST_CASE("a body that is too long is refused before anything else")
{
  Fixture fixture;
  fixture.Put("s", "u");
  RouteQuestion question{ .m_host = "h",
                          .m_path = "/board/1",
                          .m_bodyBytes = 1000 };
  DOCTEST_CHECK(fixture.Explain(question).m_admission.m_decision ==
                AdmissionDecision::kServed);
  question.m_bodyBytes = 1001;
  RouteExplanation refused = fixture.Explain(question);
  DOCTEST_CHECK(refused.m_admission.m_status == 413);
  DOCTEST_CHECK(refused.m_services.at(0).m_decision == PartDecision::kNotSent);
  DOCTEST_CHECK_FALSE(Find(refused, "u").m_isChosen);
}

DOCTEST_TEST_CASE("workspaces give priority, quota and access")
{
  Fixture fixture;
  fixture.UseWorkspaces();
  fixture.Put("s", "u");
  RouteExplanation missing = fixture.ExplainBoard();
  DOCTEST_CHECK(missing.m_admission.m_status == 401);
  DOCTEST_CHECK(missing.m_admission.m_reason == "missing-key");
  RouteExplanation desk = fixture.Explain(
    { .m_host = "h", .m_path = "/board/1", .m_workspace = "desk" });
  DOCTEST_CHECK(desk.m_admission.m_decision == AdmissionDecision::kServed);
  DOCTEST_CHECK(desk.m_priority == 1);
  DOCTEST_REQUIRE(desk.m_workspace.has_value());
  DOCTEST_CHECK(desk.m_workspace->m_tokensHeld == 17U);
  // Requests with its only key count as those of "desk".
  RouteExplanation floor = fixture.Explain(
    { .m_host = "h", .m_path = "/board/1", .m_workspace = "floor" });
  DOCTEST_CHECK(floor.m_admission.m_reason == "unknown-key");
  RouteExplanation open = fixture.Explain(
    { .m_host = "h", .m_path = "/open/", .m_workspace = "desk" });
  DOCTEST_CHECK(open.m_admission.m_decision == AdmissionDecision::kServed);
  DOCTEST_CHECK_FALSE(open.m_workspace.has_value());
  DOCTEST_CHECK(open.m_priority == 4);
  fixture.m_mayLackConfiguration = true;
  missing = fixture.ExplainBoard();
  DOCTEST_CHECK(missing.m_admission.m_status == 503);
  DOCTEST_CHECK(missing.m_admission.m_retryAfter == Milliseconds(500));
}

DOCTEST_TEST_CASE("without an override nothing is known of quotas")
{
  DOCTEST_CHECK_FALSE(QuotaView().TokensHeld({ .m_name = "desk" }, kNow));
}

DOCTEST_TEST_CASE("a split names its next service, or explains the named one")
{
  Fixture fixture;
  fixture.Put("a", "ua");
  fixture.Put("b", "ub");
  const std::vector<SplitPart>& parts = fixture.m_config.m_routes[1].m_split;
  for (int i = 0; i < 8; ++i) {
    RouteExplanation next =
      fixture.Explain({ .m_host = "h", .m_path = "/split/" });
    DOCTEST_CHECK(next.m_splitService ==
                  fixture.m_splits["split"].Next(parts).m_service);
    DOCTEST_CHECK(next.m_services.at(0).m_service == next.m_splitService);
  }
  RouteExplanation named =
    fixture.Explain({ .m_host = "h", .m_path = "/split/", .m_service = "b" });
  DOCTEST_CHECK(named.m_services.at(0).m_service == "b");
  DOCTEST_CHECK(Find(named, "ub").m_isChosen);
}

DOCTEST_TEST_CASE("a gathered route has a summary and a bounded detail")
{
  Fixture fixture;
  for (int i = 0; i < 40; ++i) {
    std::string shard = absl::StrCat("shard", i);
    for (int j = 0; i != 9 && j < (i == 5 ? 300 : 2); ++j) {
      fixture.Put(shard, absl::StrCat(shard, "-", j));
    }
  }
  Replica slow = fixture.Put("shard20", "shard20-0");
  Replica slow2 = fixture.Put("shard20", "shard20-1");
  for (const Replica& replica : { slow, slow2 }) {
    fixture.m_load.OnSent(replica, kNow - Milliseconds(100));
    fixture.m_load.OnAnswered(
      replica, kNow - Milliseconds(100), Milliseconds(12), kNow);
  }
  RouteQuestion question{ .m_host = "h", .m_path = "/search/" };
  RouteExplanation search = fixture.Explain(question);
  DOCTEST_CHECK(search.m_admission.m_decision == AdmissionDecision::kServed);
  DOCTEST_CHECK(search.m_summary.m_services == 40);
  DOCTEST_CHECK(search.m_summary.m_required == 30);
  DOCTEST_CHECK(search.m_summary.m_withEligible == 39);
  DOCTEST_CHECK(search.m_summary.m_sent == 39);
  DOCTEST_CHECK(search.m_summary.m_unavailable == 1);
  DOCTEST_CHECK(search.m_summary.m_slowest == "shard20");
  DOCTEST_REQUIRE(search.m_services.size() == RouteExplanation::kMaxServices);
  DOCTEST_CHECK(search.m_services[0].m_service == "shard9");
  DOCTEST_CHECK(search.m_services[0].m_reason == "no-upstream");
  DOCTEST_CHECK(search.m_services[1].m_service == "shard20");
  question.m_service = "shard5";
  RouteExplanation named = fixture.Explain(question);
  DOCTEST_REQUIRE(named.m_services.size() == 1);
  DOCTEST_CHECK(named.m_services[0].m_registered == 300);
  DOCTEST_CHECK(named.m_services[0].m_candidates.size() ==
                RouteExplanation::kMaxCandidates);
  DOCTEST_CHECK(named.m_services[0].m_candidates[0].m_isChosen);
  DOCTEST_CHECK(named.m_summary.m_services == 40);
}

DOCTEST_TEST_CASE("a request that finds every upstream full waits")
{
  Fixture fixture;
  fixture.m_load.OnSent(fixture.Put("s", "u"), kNow);
  RouteExplanation board = fixture.ExplainBoard();
  DOCTEST_CHECK(board.m_admission.m_decision == AdmissionDecision::kWaits);
  DOCTEST_CHECK(board.m_admission.m_maxWait == Milliseconds(12));
  DOCTEST_CHECK(board.m_services.at(0).m_reason == "all-full");
}

class SilentWaiter final : public CapacityWaiter
{
public:
  void OnTurn(uint64_t /*aTicket*/) override {}
};

class CountingPort final : public ForwardPort
{
public:
  void Send(uint32_t /*aSubRequest*/,
            uint32_t /*aAttempt*/,
            const ReplicaPtr& /*aReplica*/,
            AttemptReason /*aReason*/,
            Duration /*aDeadline*/) override
  {
    ++m_sent;
  }
  void Cancel(uint32_t /*aSubRequest*/, uint32_t /*aAttempt*/) override {}
  void Finish(const ForwardResult& /*aResult*/) override {}

  size_t m_sent = 0;
};

// Guards against a preview that forgets the work of the parts before: each part
// that is sent counts against the workspace where others wait.
DOCTEST_TEST_CASE("a sent part lets others go before the next part")
{
  Fixture fixture;
  fixture.UseWorkspaces();
  Route& search = fixture.m_config.m_routes[2];
  search.m_services = { "s0", "s1" };
  search.m_minShare = 0.5;
  fixture.Put("s0", "u0");
  fixture.Put("s1", "u1");
  CapacityQueue& queue = fixture.m_environment.m_waiters;
  SilentWaiter waiter;
  // Less than the 12 ms that one part of "search" is expected to take.
  queue.OnSent("floor", Milliseconds(10), kNow);
  (void)queue.Enter("s1",
                    { .m_priority = 1,
                      .m_inTimeUntil = kNow + Seconds(1),
                      .m_workspace = "floor" },
                    waiter,
                    kNow);
  RouteExplanation explained = fixture.Explain(
    { .m_host = "h", .m_path = "/search/", .m_workspace = "desk" });
  DOCTEST_CHECK(explained.m_summary.m_sent == 1);
  DOCTEST_CHECK(explained.m_summary.m_waiting == 1);

  CountingPort port;
  ForwardRun run({ .m_route = &search,
                   .m_services = search.m_services,
                   .m_receivedAt = kNow,
                   .m_remaining = search.m_timeout,
                   .m_priority = 1,
                   .m_workspace = "desk",
                   .m_usesWorkspaces = true },
                 fixture.m_environment,
                 port);
  run.Start(kNow);
  DOCTEST_CHECK(port.m_sent == explained.m_summary.m_sent);
  run.Abandon();
}

DOCTEST_TEST_CASE("unfinished work is stated where requests are placed by it")
{
  Fixture fixture;
  ReplicaLoad load(
    { .m_dataCentre = DataCentre("here"), .m_placeByWork = true });
  Replica replica = fixture.Put("s", "u");
  load.OnSent(replica, kNow, { .m_mean = Milliseconds(9) });
  ReplicaStatus status =
    load.Describe(replica, Milliseconds(10), kNow + Milliseconds(2));
  DOCTEST_CHECK(status.m_unfinishedWork == Milliseconds(7));
  DOCTEST_CHECK(status.m_predictedLatency == Milliseconds(17));
  DOCTEST_CHECK(status.m_inFlight == 1);
}

} // namespace
} // namespace ebonykeel
