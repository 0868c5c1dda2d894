// Plays seeded situations without network, asks for an explanation before each
// request, and compares it with what the request's run then does.
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

#include "core/forward/forward_run.h"
#include "core/forward/route_explanation.h"
#include "core/traffic/caller_access.h"

namespace ebonykeel {
namespace {

constexpr int kSeeds = 60;
constexpr int kSteps = 1500;
constexpr int kShards = 6;
constexpr TimePoint kStart{ Seconds(100) };

std::string
ShardName(int aIndex)
{
  return absl::StrCat("shard", aIndex);
}

Route
MakeRoute(const std::string& aName, RouteTarget aTarget, uint32_t aPriority)
{
  Route route{ .m_name = aName,
               .m_host = "h",
               .m_pathPrefix = absl::StrCat("/", aName, "/"),
               .m_target = aTarget,
               .m_idempotent = true,
               .m_maxAttempts = 2,
               .m_timeout = Milliseconds(300),
               .m_targetLatency = Milliseconds(60),
               .m_priority = aPriority };
  return route;
}

std::shared_ptr<const RouteTable>
MakeRoutes(bool aWithWorkspaces)
{
  auto config = std::make_shared<TrafficConfig>();
  config->m_version = 7;
  Route search = MakeRoute("search", RouteTarget::kShards, 2);
  search.m_minShare = 0.7;
  for (int i = 0; i < kShards; ++i) {
    search.m_services.push_back(ShardName(i));
  }
  Route board = MakeRoute("board", RouteTarget::kService, 1);
  board.m_services = { ShardName(0) };
  Route split = MakeRoute("split", RouteTarget::kSplit, 3);
  split.m_split = { { ShardName(1), 2 }, { ShardName(2), 1 } };
  config->m_routes = { search, board, split };
  if (aWithWorkspaces) {
    config->m_requiresKeys = true;
    config->m_usesWorkspaces = true;
    config->m_workspaces = {
      { .m_name = "desk", .m_keys = { "k1" } },
      { .m_name = "floor", .m_keys = { "k2" }, .m_priority = 2 },
      { .m_name = "night", .m_keys = { "k3" }, .m_priority = 5 },
    };
  }
  return std::make_shared<const RouteTable>(std::move(config));
}

// What the played requests covered, so that the comparison is known to mean
// something.
struct Coverage
{
  std::map<std::string, int> m_admissions;
  std::map<std::string, int> m_parts;
  std::map<std::string, int> m_states;
};

class World
{
public:
  World(unsigned aSeed, bool aExplains, Coverage& aCoverage)
    : m_random(aSeed)
    , m_explains(aExplains)
    , m_coverage(aCoverage)
    , m_withWorkspaces(aSeed % 2 == 0)
    , m_load({ .m_dataCentre = DataCentre("here"),
               // With more places than one beyond the slots, some are left to
               // more urgent requests.
               .m_maxQueued = aSeed % 3 == 0 ? 3U : 1U,
               .m_placeByWork = aSeed % 4 < 2 })
    , m_routes(MakeRoutes(m_withWorkspaces))
  {
    for (int i = 0; i < kShards; ++i) {
      for (int replica = 0; replica < 3; ++replica) {
        m_replicas.push_back(
          { .m_id = absl::StrCat("u", i, replica),
            .m_startUnixMs = 1,
            .m_service = ShardName(i),
            .m_dataCentre = DataCentre(replica == 2 ? "there" : "here"),
            .m_slots = 1 });
        m_catalogue.Put(m_replicas.back());
      }
    }
  }
  ~World()
  {
    // Runs leave the queue when they end, and must not start others then.
    for (auto& request : m_requests) {
      request->m_run.Abandon();
    }
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void Play()
  {
    for (int step = 0; step < kSteps; ++step) {
      // Phases with few answers build up load, the others reduce it.
      bool busy = step / 250 % 2 == 0;
      m_now += std::chrono::microseconds(Draw(0, 3000));
      RunTimers();
      int kind = Draw(0, 99);
      if (kind < (busy ? 45 : 20)) {
        Request();
      } else if (kind < 92) {
        EndAttempt();
      } else {
        ChangeUpstreams();
      }
    }
  }
  [[nodiscard]] const std::string& Trace() const { return m_trace; }

private:
  struct Played final : public ForwardPort
  {
    Played(World& aWorld, const ForwardRequest& aRequest)
      : m_world(aWorld)
      , m_run(aRequest, aWorld.m_environment, *this)
    {
    }
    void Send(uint32_t aSubRequest,
              uint32_t aAttempt,
              const ReplicaPtr& aReplica,
              AttemptReason aReason,
              Duration /*aDeadline*/) override
    {
      m_world.m_load.OnSent(
        *aReplica, m_world.m_now, m_run.ExpectedWorkOf(aSubRequest, aAttempt));
      m_world.m_open.push_back(
        { this, aSubRequest, aAttempt, aReplica, m_world.m_now });
      m_sent[aSubRequest] = aReplica->m_id;
      absl::StrAppend(&m_world.m_trace,
                      aSubRequest,
                      ":",
                      std::string(AttemptReasonName(aReason)),
                      ":",
                      aReplica->m_id,
                      " ");
    }
    void Cancel(uint32_t aSubRequest, uint32_t aAttempt) override
    {
      auto found =
        std::ranges::find_if(m_world.m_open, [&](const OpenAttempt& aOpen) {
          return aOpen.m_request == this && aOpen.m_subRequest == aSubRequest &&
                 aOpen.m_attempt == aAttempt;
        });
      if (found != m_world.m_open.end()) {
        m_world.m_load.OnAttemptCancelled(
          *found->m_replica, found->m_sentAt, m_world.m_now);
        m_world.m_open.erase(found);
      }
    }
    void Finish(const ForwardResult& aResult) override
    {
      m_result = aResult;
      absl::StrAppend(&m_world.m_trace,
                      std::string(aResult.m_reason),
                      " ",
                      aResult.m_retryAfter.count(),
                      "\n");
    }

    World& m_world;
    // The upstream of each part that was sent.
    std::map<uint32_t, std::string> m_sent;
    std::optional<ForwardResult> m_result;
    ForwardRun m_run;
  };
  struct OpenAttempt
  {
    Played* m_request;
    uint32_t m_subRequest;
    uint32_t m_attempt;
    ReplicaPtr m_replica;
    TimePoint m_sentAt;
  };

  int Draw(int aMin, int aMax)
  {
    return std::uniform_int_distribution<int>(aMin, aMax)(m_random);
  }

  void RunTimers()
  {
    // A run may wake others, which a later step then calls.
    for (const auto& request : m_requests) {
      std::optional<TimePoint> due = request->m_run.NextTimer();
      if (due && *due <= m_now) {
        request->m_run.OnTimer(m_now);
      }
    }
    std::erase_if(m_requests, [&](const auto& aRequest) {
      return aRequest->m_run.Ended() &&
             std::ranges::find(
               m_open, aRequest.get(), &OpenAttempt::m_request) == m_open.end();
    });
  }

  RouteExplanation Explain(const RouteQuestion& aQuestion)
  {
    QuotaView quotas;
    RouteAnswer answer = ExplainRoute(aQuestion,
                                      { .m_routes = m_routes,
                                        .m_environment = m_environment,
                                        .m_splits = m_splits,
                                        .m_quotas = quotas,
                                        .m_endBy = m_endBy },
                                      m_now);
    DOCTEST_REQUIRE(answer.m_explanation.has_value());
    return *std::move(answer.m_explanation);
  }

  void Request()
  {
    const Route& route = m_routes->Config()->m_routes[Draw(0, 2)];
    const Workspace* workspace =
      m_withWorkspaces ? &m_routes->Config()->m_workspaces[Draw(0, 2)]
                       : nullptr;
    RouteQuestion question{ .m_host = "h",
                            .m_path = route.m_pathPrefix,
                            .m_workspace =
                              workspace == nullptr ? "" : workspace->m_name };
    m_endBy.reset();
    if (Draw(0, 39) == 0) {
      m_endBy = m_now + Milliseconds(Draw(10, 200));
    }
    std::optional<RouteExplanation> whole;
    std::vector<ServiceExplanation> parts;
    if (m_explains) {
      whole = Explain(question);
      parts = whole->m_services;
      if (route.m_target == RouteTarget::kShards) {
        // Each one by name: an explanation shows only some of them.
        parts.clear();
        for (const std::string& service : route.m_services) {
          question.m_service = service;
          parts.push_back(Explain(question).m_services.at(0));
        }
      }
    }
    std::vector<std::string> services = route.m_services;
    if (route.m_target == RouteTarget::kSplit) {
      services = { m_splits[route.m_name].Next(route.m_split).m_service };
    }
    ForwardRequest request{ .m_route = &route,
                            .m_services = services,
                            .m_receivedAt = m_now,
                            .m_remaining = route.m_timeout,
                            .m_priority = EffectivePriority(route, workspace),
                            .m_workspace = question.m_workspace,
                            .m_usesWorkspaces = m_withWorkspaces };
    m_requests.push_back(std::make_unique<Played>(*this, request));
    Played& played = *m_requests.back();
    if (m_endBy) {
      played.m_run.EndBy(*m_endBy);
    }
    played.m_run.Start(m_now);
    if (whole) {
      CheckAdmission(*whole, played);
      DOCTEST_REQUIRE(parts.size() == services.size());
      for (size_t i = 0; i < parts.size(); ++i) {
        DOCTEST_CHECK(parts[i].m_service == services[i]);
        CheckPart(parts[i], played, static_cast<uint32_t>(i));
      }
      CheckSummary(*whole, played, services.size());
    }
  }

  void CheckAdmission(const RouteExplanation& aExplanation,
                      const Played& aPlayed)
  {
    const AdmissionExplanation& admission = aExplanation.m_admission;
    std::string name(AdmissionDecisionName(admission.m_decision));
    bool refused =
      aPlayed.m_result && aPlayed.m_result->m_status == ForwardStatus::kRefused;
    DOCTEST_CHECK((admission.m_decision == AdmissionDecision::kRefused) ==
                  refused);
    if (refused) {
      DOCTEST_CHECK(admission.m_reason == aPlayed.m_result->m_reason);
      DOCTEST_CHECK(admission.m_retryAfter == aPlayed.m_result->m_retryAfter);
      absl::StrAppend(&name, " ", std::string(aPlayed.m_result->m_reason));
    } else {
      DOCTEST_CHECK((admission.m_decision == AdmissionDecision::kServed) ==
                    !aPlayed.m_sent.empty());
    }
    ++m_coverage.m_admissions[name];
  }

  void CheckPart(const ServiceExplanation& aPart,
                 const Played& aPlayed,
                 uint32_t aIndex)
  {
    auto sent = aPlayed.m_sent.find(aIndex);
    auto chosen = std::ranges::find_if(aPart.m_candidates,
                                       &CandidateExplanation::m_isChosen);
    DOCTEST_CHECK((aPart.m_decision == PartDecision::kSent) ==
                  (sent != aPlayed.m_sent.end()));
    DOCTEST_CHECK((chosen != aPart.m_candidates.end()) ==
                  (sent != aPlayed.m_sent.end()));
    if (chosen != aPart.m_candidates.end() && sent != aPlayed.m_sent.end()) {
      DOCTEST_CHECK(chosen->m_replica->m_id == sent->second);
      DOCTEST_CHECK(chosen->m_state == CandidateState::kEligible);
    }
    ++m_coverage
        .m_parts[absl::StrCat(std::string(PartDecisionName(aPart.m_decision)),
                              " ",
                              std::string(aPart.m_reason))];
    for (const CandidateExplanation& candidate : aPart.m_candidates) {
      ++m_coverage.m_states[std::string(CandidateStateName(candidate.m_state))];
    }
  }

  static void CheckSummary(const RouteExplanation& aExplanation,
                           const Played& aPlayed,
                           size_t aServices)
  {
    const PartsSummary& summary = aExplanation.m_summary;
    DOCTEST_CHECK(summary.m_services == aServices);
    DOCTEST_CHECK(summary.m_sent == aPlayed.m_sent.size());
    DOCTEST_CHECK(summary.m_withEligible >= summary.m_sent);
    if (aExplanation.m_admission.m_decision != AdmissionDecision::kRefused) {
      DOCTEST_CHECK(summary.m_sent + summary.m_waiting +
                      summary.m_unavailable ==
                    aServices);
    }
  }

  void EndAttempt()
  {
    if (m_open.empty()) {
      return;
    }
    auto position =
      m_open.begin() + Draw(0, static_cast<int>(m_open.size()) - 1);
    OpenAttempt ended = *position;
    m_open.erase(position);
    const Replica& replica = *ended.m_replica;
    AttemptOutcome outcome = DrawOutcome();
    switch (outcome) {
      case AttemptOutcome::kSuccess:
        m_load.OnAnswered(replica, ended.m_sentAt, Milliseconds(12), m_now);
        break;
      case AttemptOutcome::kNotSent:
        m_load.OnUnreachable(replica, ended.m_sentAt, m_now);
        break;
      case AttemptOutcome::kNotExecuted:
        m_load.OnFailed(replica, ended.m_sentAt, m_now);
        m_load.Pushback().OnRejected(
          replica, Milliseconds(Draw(0, 300)), m_now);
        break;
      default:
        m_load.OnFailed(replica, ended.m_sentAt, m_now);
        break;
    }
    m_environment.m_waiters.OnCapacity(replica.m_service, m_now);
    ended.m_request->m_run.OnOutcome(
      ended.m_subRequest, ended.m_attempt, outcome, m_now);
  }

  AttemptOutcome DrawOutcome()
  {
    int kind = Draw(0, 99);
    if (kind < 80) {
      return AttemptOutcome::kSuccess;
    }
    if (kind < 86) {
      return AttemptOutcome::kFailure;
    }
    return kind < 93 ? AttemptOutcome::kNotExecuted : AttemptOutcome::kNotSent;
  }

  void ChangeUpstreams()
  {
    Replica& replica =
      m_replicas[Draw(0, static_cast<int>(m_replicas.size()) - 1)];
    switch (Draw(0, 6)) {
      case 0:
        m_catalogue.SetLeaving(replica);
        break;
      case 1:
        replica.m_state = ReplicaState::kDraining;
        m_catalogue.Put(replica);
        break;
      case 2:
        m_catalogue.SetExcludedDataCentres({ DataCentre("there") });
        break;
      case 3:
        m_catalogue.SetExcludedDataCentres({});
        break;
      case 4:
        m_load.SetColdUntil(replica, m_now + Milliseconds(Draw(5, 400)));
        break;
      default:
        // A new start, ready.
        ++replica.m_startUnixMs;
        replica.m_state = ReplicaState::kReady;
        m_catalogue.Put(replica);
        break;
    }
  }

  std::mt19937 m_random;
  bool m_explains;
  Coverage& m_coverage;
  bool m_withWorkspaces;
  TimePoint m_now = kStart;
  std::string m_trace;
  std::vector<Replica> m_replicas;
  ReplicaCatalogue m_catalogue;
  ReplicaLoad m_load;
  LatencyModel m_latencies;
  ExtraBudget m_budget{ { .m_share = 0.2, .m_burst = 20 }, "here" };
  ForwardEnvironment m_environment{ .m_catalogue = m_catalogue,
                                    .m_load = m_load,
                                    .m_latencies = m_latencies,
                                    .m_budget = m_budget,
                                    .m_options = {} };
  std::shared_ptr<const RouteTable> m_routes;
  std::map<std::string, WeightedChoice> m_splits;
  std::optional<TimePoint> m_endBy;
  std::vector<std::unique_ptr<Played>> m_requests;
  std::vector<OpenAttempt> m_open;
};

DOCTEST_TEST_CASE("the explained decision is the one that the run then makes")
{
  Coverage coverage;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    DOCTEST_CAPTURE(seed);
    World(seed, true, coverage).Play();
  }
  // Guards against a comparison of situations that are all alike.
  for (const char* admission : { "served",
                                 "waits",
                                 "refused no-replica",
                                 "refused pushed-back",
                                 "refused overloaded",
                                 "refused stopping" }) {
    DOCTEST_CAPTURE(admission);
    DOCTEST_CHECK(coverage.m_admissions[admission] > 0);
  }
  for (const char* part : { "sent lowest-cost",
                            "sent only-eligible",
                            "sent rotation-among-equals",
                            "waits all-full",
                            "waits others-wait-first",
                            "waits places-left-to-more-urgent",
                            "unavailable no-upstream",
                            "unavailable unreachable",
                            "unavailable pushing-back",
                            "not-sent request-refused" }) {
    DOCTEST_CAPTURE(part);
    DOCTEST_CHECK(coverage.m_parts[part] > 0);
  }
  DOCTEST_CHECK(coverage.m_states.size() == 8);
}

// Guards against an explanation that advances a rotation, a split, the spread
// of retry delays or the queue of those that wait.
DOCTEST_TEST_CASE("explanations change nothing that later requests meet")
{
  Coverage unused;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    DOCTEST_CAPTURE(seed);
    World explained(seed, true, unused);
    World undisturbed(seed, false, unused);
    explained.Play();
    undisturbed.Play();
    DOCTEST_CHECK(explained.Trace() == undisturbed.Trace());
  }
}

} // namespace
} // namespace ebonykeel
