// Explains where a request would go now and why, without sending it.
//
// The decisions are those of `CheckAccess`, `WeightedChoice` and `ForwardRun`,
// which are asked for them without changing any state: an explanation has no
// effect on later requests.
//
//   RouteAnswer answer = ExplainRoute(question, context, now);
//   if (answer.m_explanation) { ... } else { ... answer.m_problem ... }
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "core/forward/forward_request.h"
#include "core/forward/quota_view.h"
#include "core/replica/replica_load.h"
#include "core/traffic/traffic_config.h"
#include "core/traffic/weighted_choice.h"

namespace ebonykeel {

// The request that is asked about. It is assumed to state no deadline.
struct RouteQuestion
{
  std::string m_host;
  std::string m_path;
  // The name of its workspace; empty if it has none.
  std::string m_workspace;
  std::optional<uint64_t> m_bodyBytes;
  // The service to show in detail; empty to show a selection. For a split route
  // the request is assumed to go to this service.
  std::string m_service;
};

// What an instance knows. Everything that is passed by reference must outlive
// the call.
struct RouteContext
{
  // Null before a configuration is known.
  std::shared_ptr<const RouteTable> m_routes;
  // Whether requests wait until the instance has started.
  bool m_isStarting = false;
  // Whether other instances may have a newer configuration.
  bool m_mayLackConfiguration = false;
  // The retry delay that is given to callers if that is so.
  Duration m_startRetryAfter{};
  ForwardEnvironment& m_environment;
  // The state of the split routes, by name.
  const std::map<std::string, WeightedChoice>& m_splits;
  const QuotaView& m_quotas;
  // When the process stops, if it does.
  std::optional<TimePoint> m_endBy;
};

enum class AdmissionDecision
{
  // Sent at once, to at least one upstream.
  kServed,
  // Nothing is sent until an upstream has capacity.
  kWaits,
  kRefused,
};

[[nodiscard]] std::string_view
AdmissionDecisionName(AdmissionDecision aDecision);

struct AdmissionExplanation
{
  AdmissionDecision m_decision = AdmissionDecision::kServed;
  // For `kRefused`: the status and the reason that the caller is given.
  int m_status = 0;
  std::string_view m_reason;
  std::optional<Duration> m_retryAfter;
  // For `kWaits`: after which time the request is refused.
  Duration m_maxWait{};
};

// Whether a candidate could be sent the request.
enum class CandidateState
{
  kEligible,
  kFull,
  // It has places, but leaves them to more urgent requests.
  kLeftToMoreUrgent,
  kUnreachable,
  kPushingBack,
  kLeaving,
  kDraining,
  kExcludedDataCentre,
};

[[nodiscard]] std::string_view
CandidateStateName(CandidateState aState);

struct CandidateExplanation
{
  ReplicaPtr m_replica;
  CandidateState m_state = CandidateState::kEligible;
  bool m_isChosen = false;
  ReplicaStatus m_status;
};

// What becomes of the part of the request that goes to one service.
enum class PartDecision
{
  kSent,
  kWaits,
  // No upstream can get it.
  kUnavailable,
  // Not sent because the request is refused.
  kNotSent,
};

[[nodiscard]] std::string_view
PartDecisionName(PartDecision aDecision);

struct ServiceExplanation
{
  std::string m_service;
  PartDecision m_decision = PartDecision::kNotSent;
  // A stable word that says why.
  std::string_view m_reason;
  size_t m_eligible = 0;
  // The expected latency at the chosen candidate, or at the best eligible one;
  // nothing without any.
  std::optional<Duration> m_predicted;
  size_t m_registered = 0;
  // The chosen candidate, then those that are eligible, then the others; at
  // most `kMaxCandidates`.
  std::vector<CandidateExplanation> m_candidates;
};

struct WorkspaceExplanation
{
  std::string m_name;
  // 0 is no limit.
  double m_ratePerSecond = 0;
  double m_burst = 0;
  // Nothing if it is unknown.
  std::optional<uint64_t> m_tokensHeld;
};

struct PartsSummary
{
  size_t m_services = 0;
  // How many have to answer for a success.
  size_t m_required = 0;
  size_t m_withEligible = 0;
  size_t m_sent = 0;
  size_t m_waiting = 0;
  size_t m_unavailable = 0;
  // The service that is expected to answer last; empty if none has an eligible
  // candidate.
  std::string m_slowest;
  Duration m_slowestPredicted{};
};

struct RouteExplanation
{
  static constexpr size_t kMaxCandidates = 24;
  static constexpr size_t kMaxServices = 4;

  std::shared_ptr<const RouteTable> m_routes;
  // Belongs to `m_routes`.
  const Route* m_route = nullptr;
  std::optional<WorkspaceExplanation> m_workspace;
  uint32_t m_priority = 0;
  // Whether requests wait until the instance has started.
  bool m_isStarting = false;
  // Whether upstreams are chosen by work instead of by latency.
  bool m_placesByWork = false;
  // The expected work of a part, or the typical latency of the route.
  Duration m_typical{};
  AdmissionExplanation m_admission;
  // The service that a split route gives the request to.
  std::string m_splitService;
  PartsSummary m_summary;
  // The named service; or at most `kMaxServices`, those without a candidate
  // first and then the slowest.
  std::vector<ServiceExplanation> m_services;
};

// Why a question cannot be answered, with an HTTP status.
struct RouteProblem
{
  int m_status = 0;
  std::string_view m_code;
  std::string m_message;
};

struct RouteAnswer
{
  std::optional<RouteExplanation> m_explanation;
  // Set if there is no explanation.
  RouteProblem m_problem;
};

[[nodiscard]] RouteAnswer
ExplainRoute(const RouteQuestion& aQuestion,
             const RouteContext& aContext,
             TimePoint aNow);

} // namespace ebonykeel
