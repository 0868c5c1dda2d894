// The forwarding of one caller's request: runs a `ForwardRun`, sends its
// attempts and answers the caller.
//
//   auto job = std::make_shared<RequestJob>(context, exchange, caller, routes,
//                                           *route, workspace, services);
//   job->Start(endBy);
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/forward/caller_deadlines.h"
#include "core/forward/forward_run.h"
#include "node/entry/forward_stats.h"
#include "node/entry/protocol.h"
#include "node/entry/replica_feed_age.h"
#include "node/entry/upstream_sender.h"
#include "runtime/http1/server.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

class RequestJob;

// Returns what upstreams are told about a caller of `aWorkspace`, which may be
// null.
[[nodiscard]] CallerIdentity
IdentityOf(const TrafficConfig& aConfig, const Workspace* aWorkspace);

class RequestJobObserver
{
public:
  virtual ~RequestJobObserver() = default;
  // Called once, when the caller has its answer or has disconnected.
  virtual void OnJobEnded(const RequestJob& aJob) = 0;
};

// What all jobs of an instance share. Must outlive them.
struct RequestJobContext
{
  UvLoop& m_loop;
  const TrafficProtocol& m_protocol;
  UpstreamSender& m_sender;
  ForwardEnvironment& m_environment;
  CallerDeadlines& m_deadlines;
  const ReplicaFeedAge& m_replicaFeedAge;
  ForwardStats& m_stats;
  LineLog& m_log;
  RequestJobObserver& m_observer;
};

class RequestJob final
  : public UpstreamAttemptObserver
  , public std::enable_shared_from_this<RequestJob>
  , private ForwardPort
{
public:
  // `aRoute` and `aWorkspace`, which is null for a caller without one, belong
  // to `aRoutes`. `aServices` are the services of the route, or the one that
  // was chosen from a split.
  RequestJob(RequestJobContext& aContext,
             std::shared_ptr<Http1Exchange> aExchange,
             CallerRequest aCaller,
             std::shared_ptr<const RouteTable> aRoutes,
             const Route& aRoute,
             const Workspace* aWorkspace,
             std::vector<std::string> aServices);

  // Starts the run. It ends at `aEndBy` at the latest, if that has a value.
  void Start(std::optional<TimePoint> aEndBy);
  // Ends the run at `aEnd` at the latest.
  void EndBy(TimePoint aEnd);

  // The request, its caller and its route, by which its access is checked
  // again.
  [[nodiscard]] const Http1Request& Request() const
  {
    return m_exchange->Request();
  }
  [[nodiscard]] const CallerRequest& Caller() const { return m_caller; }
  [[nodiscard]] const Route& ChosenRoute() const { return m_route; }
  // Returns whether an upstream may have run the request, or may still do so
  // without another attempt.
  [[nodiscard]] bool MayHaveRun() const;
  // Sets the identity that upstreams get with further attempts.
  void SetCaller(CallerIdentity aCaller) { m_identity = std::move(aCaller); }
  // Ends a request that no upstream has run with an answer of this instance.
  // `aStatus` is a stable word for metrics.
  void Refuse(std::string_view aStatus, const Http1Response& aAnswer);

  void OnAttemptEnded(uint32_t aSubRequest,
                      uint32_t aAttempt,
                      UpstreamAnswer aAnswer,
                      std::string_view aProblem) override;

private:
  // The job's record of one attempt.
  struct AttemptRecord
  {
    uint32_t m_subRequest = 0;
    uint32_t m_attempt = 0;
    AttemptReason m_reason = AttemptReason::kFirst;
    UpstreamAttemptPtr m_upstreamAttempt;
    std::optional<AttemptOutcome> m_outcome;
    std::string_view m_problem;
    Duration m_took{};
    UpstreamAnswer m_answer;
  };

  void Send(uint32_t aSubRequest,
            uint32_t aAttempt,
            const ReplicaPtr& aReplica,
            AttemptReason aReason,
            Duration aDeadline) override;
  void Cancel(uint32_t aSubRequest, uint32_t aAttempt) override;
  void RequestTimer() override;
  void Finish(const ForwardResult& aResult) override;

  [[nodiscard]] TimePoint Deadline() const;
  // Records the caller's remaining time and returns the estimate of the time
  // that it had used before its request was read.
  [[nodiscard]] Duration ElapsedBeforeRead();
  AttemptRecord& FindAttempt(uint32_t aSubRequest, uint32_t aAttempt);
  // Returns the connections that carried earlier attempts of a sub-request. All
  // attempts have the caller's identifier, by which upstreams mark their
  // answers.
  [[nodiscard]] std::vector<uint64_t> UsedConnections(
    uint32_t aSubRequest) const;
  // Adds the signature of a part; returns false if the request already has it,
  // since each part counts once.
  bool AddSignature(const UpstreamAnswer& aAnswer);
  [[nodiscard]] Http1Response MakeAnswer(const ForwardResult& aResult);
  [[nodiscard]] Http1Response MakeForwardedAnswer(const ForwardResult& aResult);
  [[nodiscard]] Http1Response MakeGatheredAnswer(const ForwardResult& aResult);
  void OnTimer();
  void OnCallerGone();
  void RearmTimer();
  // Ends the job; it may be destroyed on return.
  void Release();
  // Returns the attempts in the form of the log field `sends`.
  [[nodiscard]] std::string DescribeAttempts(TimePoint aNow) const;
  void LogEnd(const ForwardResult& aResult, TimePoint aNow) const;

  RequestJobContext& m_context;
  std::shared_ptr<Http1Exchange> m_exchange;
  CallerRequest m_caller;
  std::shared_ptr<const RouteTable> m_routes;
  const Route& m_route;
  CallerIdentity m_identity;
  Duration m_remaining;
  UvTimer m_timer;
  ForwardRun m_run;
  std::vector<AttemptRecord> m_attempts;
  std::set<std::string> m_signatures;
  bool m_callerGone = false;
};

} // namespace ebonykeel
