#include "core/forward/route_explanation.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/forward/forward_run.h"
#include "core/traffic/caller_access.h"

namespace ebonykeel {
namespace {

constexpr int kUnauthorizedStatus = 401;
constexpr int kNotFoundStatus = 404;
constexpr int kBodyTooLongStatus = 413;
constexpr int kUnavailableStatus = 503;

// The port of a run that is only asked what it would do.
class UnusedPort final : public ForwardPort
{
public:
  void Send(uint32_t /*aSubRequest*/,
            uint32_t /*aAttempt*/,
            const ReplicaPtr& /*aReplica*/,
            AttemptReason /*aReason*/,
            Duration /*aDeadline*/) override
  {
  }
  void Cancel(uint32_t /*aSubRequest*/, uint32_t /*aAttempt*/) override {}
  void RequestTimer() override {}
  void Finish(const ForwardResult& /*aResult*/) override {}
};

RouteAnswer
Problem(int aStatus, std::string_view aCode, std::string aMessage)
{
  return {
    .m_problem = { .m_status = aStatus,
                   .m_code = aCode,
                   .m_message = std::move(aMessage) },
  };
}

const Workspace*
FindByName(const TrafficConfig& aConfig, const std::string& aName)
{
  auto found =
    std::ranges::find(aConfig.m_workspaces, aName, &Workspace::m_name);
  return found == aConfig.m_workspaces.end() ? nullptr : &*found;
}

// Returns what `CheckAccess` decides on a caller of the workspace, which may be
// null. A key of several workspaces counts as the first one's, so a workspace
// without a key of its own is refused like an unknown key.
CallerAccess
AccessOf(const RouteTable& aRoutes,
         const Route& aRoute,
         const Workspace* aWorkspace)
{
  if (aWorkspace == nullptr) {
    return CheckAccess(aRoutes, aRoute, std::nullopt);
  }
  auto key =
    std::ranges::find_if(aWorkspace->m_keys, [&](const KeyDigest& aKey) {
      return aRoutes.FindWorkspace(aKey) == aWorkspace;
    });
  return CheckAccess(
    aRoutes, aRoute, key == aWorkspace->m_keys.end() ? KeyDigest() : *key);
}

// Returns the services that a request goes to.
std::vector<std::string>
ServicesOf(const Route& aRoute,
           const RouteQuestion& aQuestion,
           const RouteContext& aContext)
{
  if (aRoute.m_target != RouteTarget::kSplit) {
    return aRoute.m_services;
  }
  if (!aQuestion.m_service.empty()) {
    return { aQuestion.m_service };
  }
  auto state = aContext.m_splits.find(aRoute.m_name);
  // The next part is taken from a copy, so that the split does not advance.
  WeightedChoice choice =
    state == aContext.m_splits.end() ? WeightedChoice() : state->second;
  return { choice.Next(aRoute.m_split).m_service };
}

bool
IsServiceOf(const Route& aRoute, const std::string& aService)
{
  return std::ranges::find(aRoute.m_services, aService) !=
           aRoute.m_services.end() ||
         std::ranges::find(aRoute.m_split, aService, &SplitPart::m_service) !=
           aRoute.m_split.end();
}

// Explains the parts of one request.
class PartExplainer
{
public:
  PartExplainer(const ForwardEnvironment& aEnvironment,
                const StartPreview& aPreview,
                TimePoint aNow)
    : m_environment(aEnvironment)
    , m_preview(aPreview)
    , m_now(aNow)
  {
  }

  [[nodiscard]] ServiceExplanation Explain(const std::string& aService,
                                           const PartPreview& aPart) const
  {
    ServiceExplanation service{ .m_service = aService };
    service.m_candidates = Candidates(aService, aPart);
    service.m_registered = service.m_candidates.size();
    service.m_eligible =
      static_cast<size_t>(std::ranges::count(service.m_candidates,
                                             CandidateState::kEligible,
                                             &CandidateExplanation::m_state));
    if (!service.m_candidates.empty()) {
      // Sorted: the first one is the chosen or the best one.
      const CandidateExplanation& first = service.m_candidates.front();
      if (first.m_isChosen || first.m_state == CandidateState::kEligible) {
        service.m_predicted = first.m_status.m_predictedLatency;
      }
    }
    SetDecision(service, aPart);
    if (service.m_candidates.size() > RouteExplanation::kMaxCandidates) {
      service.m_candidates.resize(RouteExplanation::kMaxCandidates);
    }
    return service;
  }

private:
  [[nodiscard]] std::vector<CandidateExplanation> Candidates(
    const std::string& aService,
    const PartPreview& aPart) const
  {
    std::vector<CandidateExplanation> candidates;
    for (const ReplicaPtr& replica :
         m_environment.m_catalogue.Registered(aService)) {
      CandidateExplanation candidate{
        .m_replica = replica,
        .m_status =
          m_environment.m_load.Describe(*replica, m_preview.m_typical, m_now),
      };
      candidate.m_state = StateOf(candidate, aPart);
      candidate.m_isChosen =
        aPart.m_plan.m_replica != nullptr && *aPart.m_plan.m_replica == replica;
      candidates.push_back(std::move(candidate));
    }
    std::ranges::stable_sort(
      candidates, {}, [](const CandidateExplanation& aCandidate) {
        return std::tuple(!aCandidate.m_isChosen,
                          aCandidate.m_state,
                          aCandidate.m_status.m_cost);
      });
    return candidates;
  }

  [[nodiscard]] CandidateState StateOf(const CandidateExplanation& aCandidate,
                                       const PartPreview& aPart) const
  {
    const Replica& replica = *aCandidate.m_replica;
    const ReplicaCatalogue& catalogue = m_environment.m_catalogue;
    if (catalogue.IsExcluded(replica.m_dataCentre)) {
      return CandidateState::kExcludedDataCentre;
    }
    if (replica.m_state == ReplicaState::kDraining) {
      return CandidateState::kDraining;
    }
    if (catalogue.IsLeaving(replica)) {
      return CandidateState::kLeaving;
    }
    if (aCandidate.m_status.m_pushesBackUntil) {
      return CandidateState::kPushingBack;
    }
    if (aCandidate.m_status.m_unreachableUntil) {
      return CandidateState::kUnreachable;
    }
    if (!aCandidate.m_status.m_hasQueueCapacity) {
      return CandidateState::kFull;
    }
    bool reserved = std::ranges::find(aPart.m_reserved, aCandidate.m_replica) !=
                    aPart.m_reserved.end();
    return reserved ? CandidateState::kLeftToMoreUrgent
                    : CandidateState::kEligible;
  }

  void SetDecision(ServiceExplanation& aService, const PartPreview& aPart) const
  {
    if (m_preview.m_refusal) {
      aService.m_decision = PartDecision::kNotSent;
      aService.m_reason = "request-refused";
    } else if (aPart.m_plan.m_replica != nullptr) {
      aService.m_decision = PartDecision::kSent;
      aService.m_reason = ChoiceReason(aService);
    } else if (aPart.m_plan.m_waits) {
      aService.m_decision = PartDecision::kWaits;
      aService.m_reason = WaitReason(aService, aPart);
    } else {
      aService.m_decision = PartDecision::kUnavailable;
      aService.m_reason = UnavailableReason(aService);
    }
  }

  static std::string_view ChoiceReason(const ServiceExplanation& aService)
  {
    if (aService.m_eligible < 2) {
      return "only-eligible";
    }
    const CandidateExplanation& chosen = aService.m_candidates[0];
    const CandidateExplanation& next = aService.m_candidates[1];
    return chosen.m_status.m_cost == next.m_status.m_cost
             ? "rotation-among-equals"
             : "lowest-cost";
  }

  static bool HasState(const ServiceExplanation& aService,
                       CandidateState aState)
  {
    return std::ranges::find(
             aService.m_candidates, aState, &CandidateExplanation::m_state) !=
           aService.m_candidates.end();
  }

  static std::string_view WaitReason(const ServiceExplanation& aService,
                                     const PartPreview& aPart)
  {
    if (!aPart.m_mayStart) {
      return "others-wait-first";
    }
    return HasState(aService, CandidateState::kLeftToMoreUrgent)
             ? "places-left-to-more-urgent"
             : "all-full";
  }

  static std::string_view UnavailableReason(const ServiceExplanation& aService)
  {
    if (HasState(aService, CandidateState::kPushingBack)) {
      return "pushing-back";
    }
    return HasState(aService, CandidateState::kUnreachable) ? "unreachable"
                                                            : "no-upstream";
  }

  const ForwardEnvironment& m_environment;
  const StartPreview& m_preview;
  TimePoint m_now;
};

AdmissionExplanation
ExplainAdmission(const StartPreview& aPreview, const PartsSummary& aSummary)
{
  if (aPreview.m_refusal) {
    return { .m_decision = AdmissionDecision::kRefused,
             .m_status = kUnavailableStatus,
             .m_reason = aPreview.m_refusal->m_reason,
             .m_retryAfter = aPreview.m_refusal->m_retryAfter };
  }
  if (aSummary.m_sent == 0 && aSummary.m_waiting > 0) {
    return { .m_decision = AdmissionDecision::kWaits,
             .m_maxWait = aPreview.m_maxUnsentWait };
  }
  return {};
}

void
AddToSummary(PartsSummary& aSummary, const ServiceExplanation& aService)
{
  ++aSummary.m_services;
  aSummary.m_withEligible += aService.m_eligible > 0 ? 1 : 0;
  aSummary.m_sent += aService.m_decision == PartDecision::kSent ? 1 : 0;
  aSummary.m_waiting += aService.m_decision == PartDecision::kWaits ? 1 : 0;
  aSummary.m_unavailable +=
    aService.m_decision == PartDecision::kUnavailable ? 1 : 0;
  if (aService.m_predicted &&
      (aSummary.m_slowest.empty() ||
       *aService.m_predicted > aSummary.m_slowestPredicted)) {
    aSummary.m_slowest = aService.m_service;
    aSummary.m_slowestPredicted = *aService.m_predicted;
  }
}

// Keeps the services to show in detail.
void
SelectServices(std::vector<ServiceExplanation>& aServices,
               const std::string& aNamed)
{
  if (!aNamed.empty()) {
    std::erase_if(aServices, [&](const ServiceExplanation& aService) {
      return aService.m_service != aNamed;
    });
  }
  std::ranges::stable_sort(
    aServices, {}, [](const ServiceExplanation& aService) {
      return std::tuple(aService.m_eligible > 0,
                        -aService.m_predicted.value_or(Duration{}));
    });
  if (aServices.size() > RouteExplanation::kMaxServices) {
    aServices.resize(RouteExplanation::kMaxServices);
  }
}

void
ExplainParts(RouteExplanation& aExplanation,
             const ForwardRequest& aRequest,
             const RouteQuestion& aQuestion,
             const RouteContext& aContext,
             TimePoint aNow)
{
  UnusedPort port;
  ForwardRun run(aRequest, aContext.m_environment, port);
  if (aContext.m_endBy) {
    run.EndBy(*aContext.m_endBy);
  }
  StartPreview preview = run.PreviewStart(aNow);
  if (aExplanation.m_admission.m_decision == AdmissionDecision::kRefused) {
    // The request does not get as far as a run.
    preview.m_refusal = ForwardResult{};
    for (PartPreview& part : preview.m_parts) {
      part.m_plan = {};
    }
  }
  aExplanation.m_typical = preview.m_typical;
  PartExplainer explainer(aContext.m_environment, preview, aNow);
  for (size_t i = 0; i < aRequest.m_services.size(); ++i) {
    aExplanation.m_services.push_back(
      explainer.Explain(aRequest.m_services[i], preview.m_parts[i]));
    AddToSummary(aExplanation.m_summary, aExplanation.m_services.back());
  }
  aExplanation.m_summary.m_required = aRequest.Required();
  if (aExplanation.m_admission.m_decision != AdmissionDecision::kRefused) {
    aExplanation.m_admission =
      ExplainAdmission(preview, aExplanation.m_summary);
  }
  SelectServices(aExplanation.m_services, aQuestion.m_service);
}

// Returns the refusal of a request before it is forwarded, if there is one.
std::optional<AdmissionExplanation>
RefuseBeforeForwarding(const RouteQuestion& aQuestion,
                       const RouteContext& aContext,
                       const CallerAccess& aAccess)
{
  const TrafficConfig& config = *aContext.m_routes->Config();
  if (aQuestion.m_bodyBytes.value_or(0) > config.m_limits.m_bodyBytes) {
    return AdmissionExplanation{ .m_decision = AdmissionDecision::kRefused,
                                 .m_status = kBodyTooLongStatus,
                                 .m_reason = "body-too-long" };
  }
  if (!aAccess.m_refusal) {
    return std::nullopt;
  }
  if (aContext.m_mayLackConfiguration) {
    return AdmissionExplanation{ .m_decision = AdmissionDecision::kRefused,
                                 .m_status = kUnavailableStatus,
                                 .m_reason = "configuration-unknown",
                                 .m_retryAfter = aContext.m_startRetryAfter };
  }
  return AdmissionExplanation{ .m_decision = AdmissionDecision::kRefused,
                               .m_status = kUnauthorizedStatus,
                               .m_reason =
                                 AccessRefusalName(*aAccess.m_refusal) };
}

} // namespace

std::string_view
AdmissionDecisionName(AdmissionDecision aDecision)
{
  switch (aDecision) {
    case AdmissionDecision::kServed:
      return "served";
    case AdmissionDecision::kWaits:
      return "waits";
    case AdmissionDecision::kRefused:
      return "refused";
  }
  return "refused";
}

std::string_view
CandidateStateName(CandidateState aState)
{
  switch (aState) {
    case CandidateState::kEligible:
      return "eligible";
    case CandidateState::kFull:
      return "full";
    case CandidateState::kLeftToMoreUrgent:
      return "left-to-more-urgent";
    case CandidateState::kUnreachable:
      return "unreachable";
    case CandidateState::kPushingBack:
      return "pushing-back";
    case CandidateState::kLeaving:
      return "leaving";
    case CandidateState::kDraining:
      return "draining";
    case CandidateState::kExcludedDataCentre:
      return "excluded-data-centre";
  }
  return "eligible";
}

std::string_view
PartDecisionName(PartDecision aDecision)
{
  switch (aDecision) {
    case PartDecision::kSent:
      return "sent";
    case PartDecision::kWaits:
      return "waits";
    case PartDecision::kUnavailable:
      return "unavailable";
    case PartDecision::kNotSent:
      return "not-sent";
  }
  return "not-sent";
}

RouteAnswer
ExplainRoute(const RouteQuestion& aQuestion,
             const RouteContext& aContext,
             TimePoint aNow)
{
  if (aContext.m_routes == nullptr) {
    return Problem(kUnavailableStatus,
                   "no-configuration",
                   "the instance has no configuration yet");
  }
  const RouteTable& routes = *aContext.m_routes;
  const Route* route = routes.Find(aQuestion.m_host, aQuestion.m_path);
  if (route == nullptr) {
    return aContext.m_mayLackConfiguration
             ? Problem(kUnavailableStatus,
                       "configuration-unknown",
                       "no route for this host and path, but the "
                       "configuration may be out of date")
             : Problem(kNotFoundStatus,
                       "no-route",
                       "no route for this host and path");
  }
  const Workspace* named = FindByName(*routes.Config(), aQuestion.m_workspace);
  if (named == nullptr && !aQuestion.m_workspace.empty()) {
    return Problem(kNotFoundStatus,
                   "no-workspace",
                   "the configuration has no workspace of this name");
  }
  if (!aQuestion.m_service.empty() &&
      !IsServiceOf(*route, aQuestion.m_service)) {
    return Problem(
      kNotFoundStatus, "no-service", "the route has no service of this name");
  }
  CallerAccess access = AccessOf(routes, *route, named);
  RouteExplanation explanation{
    .m_routes = aContext.m_routes,
    .m_route = route,
    .m_priority = EffectivePriority(*route, access.m_workspace),
    .m_isStarting = aContext.m_isStarting,
    .m_placesByWork = aContext.m_environment.m_load.PlacesByWork(),
  };
  if (access.m_workspace != nullptr) {
    explanation.m_workspace = {
      .m_name = access.m_workspace->m_name,
      .m_ratePerSecond = access.m_workspace->m_ratePerSecond,
      .m_burst = access.m_workspace->m_burst,
      .m_tokensHeld = aContext.m_quotas.TokensHeld(*access.m_workspace, aNow),
    };
  }
  std::vector<std::string> services = ServicesOf(*route, aQuestion, aContext);
  if (route->m_target == RouteTarget::kSplit) {
    explanation.m_splitService = services.front();
  }
  if (std::optional<AdmissionExplanation> refusal =
        RefuseBeforeForwarding(aQuestion, aContext, access)) {
    explanation.m_admission = *refusal;
  }
  ForwardRequest request{ .m_route = route,
                          .m_services = std::move(services),
                          .m_receivedAt = aNow,
                          .m_remaining = route->m_timeout,
                          .m_priority = explanation.m_priority,
                          .m_workspace = explanation.m_workspace
                                           ? explanation.m_workspace->m_name
                                           : std::string(),
                          .m_usesWorkspaces =
                            routes.Config()->m_usesWorkspaces };
  ExplainParts(explanation, request, aQuestion, aContext, aNow);
  return { .m_explanation = std::move(explanation) };
}

} // namespace ebonykeel
