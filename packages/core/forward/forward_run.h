// One request of a caller on its way to one searcher, or to one of each shard.
//
// The run decides which searcher gets what and when: the first sending, hedges,
// repeats after failures, when a gathered answer goes out without the shards
// that are late, and what a request that cannot be served is told. It holds no
// socket and reads no clock:
//
//   ForwardRun run(request, environment, port);
//   run.Start(now);
//   run.OnOutcome(subRequest, attempt, outcome, now);   // from the port's
//   sendings if (run.NextTimer() <= now) run.OnTimer(now);
//
// Each searcher gets only so many requests of one instance at a time. A
// subRequest whose searchers are all full, or shed it, waits here for its turn:
// after a burst, or when everybody comes back at once, requests that pile up at
// the searchers would only be shed there.
//
// A subRequest is the part of the request that goes to one service. A route to
// one service has one subRequest, a gathered route one for each shard.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/forward/extra_budget.h"
#include "core/forward/latency_model.h"
#include "core/replica/replica_catalogue.h"
#include "core/replica/replica_load.h"
#include "core/traffic/traffic_config.h"

namespace ebonykeel {

// How a sending to a searcher ended.
enum class AttemptOutcome
{
  // The searcher answered with success.
  kSuccess,
  // The searcher worked on the request and answered with a failure.
  kFailure,
  // The searcher says that it did not run the request.
  kNotExecuted,
  // Another searcher answers at the address; the request did not run.
  kWrongInstance,
  // No byte of the request left.
  kNotSent,
  // Bytes left and no whole answer came: the request may have run.
  kBroken,
};

// Returns the stable name of `aOutcome`, such as "not-sent".
[[nodiscard]] std::string_view
AttemptOutcomeName(AttemptOutcome aOutcome);

// Why a sending was made.
enum class AttemptReason
{
  kFirst,
  kHedge,
  kRetry,
};

[[nodiscard]] std::string_view
AttemptReasonName(AttemptReason aReason);

enum class ForwardStatus
{
  // The answer of every subRequest is there.
  kWhole,
  // Enough subRequests for a success, not all.
  kPartial,
  // A searcher's own failure is to be passed on.
  kUpstreamFailure,
  // Nothing ran, nothing will; the caller may come back after `m_retryAfter`.
  kRefused,
  // It failed and may have run.
  kFailed,
  // The time ran out and it may have run.
  kTimedOut,
};

[[nodiscard]] std::string_view
ForwardStatusName(ForwardStatus aStatus);

// Names the sending whose answer a subRequest uses.
struct ChosenAnswer
{
  uint32_t m_subRequest = 0;
  uint32_t m_attempt = 0;
};

struct ForwardResult
{
  ForwardStatus m_status = ForwardStatus::kFailed;
  // The answers to use, at most one a subRequest, in the order of the
  // subRequests.
  std::vector<ChosenAnswer> m_answers;
  // Legs without an answer.
  uint32_t m_missing = 0;
  // For `kRefused`.
  Duration m_retryAfter{};
  // A stable word for logs and answers, such as "no-replica".
  std::string_view m_reason;
};

// What a run asks of its surroundings. Calls may not come back into the run.
class ForwardPort
{
public:
  virtual ~ForwardPort() = default;
  // Sends the request to `aReplica`, which may work on it for `aDeadline`.
  virtual void Send(uint32_t aSubRequest,
                    uint32_t aAttempt,
                    const ReplicaPtr& aReplica,
                    AttemptReason aReason,
                    Duration aDeadline) = 0;
  // The answer to this sending is not wanted any more.
  virtual void Cancel(uint32_t aSubRequest, uint32_t aAttempt) = 0;
  // Called once, as the last call.
  virtual void Finish(const ForwardResult& aResult) = 0;
};

struct ForwardOptions
{
  // What an answer needs from here to the caller, and the caller's request on
  // its way here, within the route's target.
  Duration m_answerMargin = Milliseconds(8);
  // Between two looks whether a late request can be hedged.
  Duration m_hedgeRecheckInterval = Milliseconds(6);
  // Between two looks whether a subRequest can be sent whose searchers are all
  // full.
  Duration m_capacityRecheckInterval = Milliseconds(8);
  // A caller whose service has no searcher is told to come back after this.
  Duration m_noReplicaRetryAfter = Milliseconds(500);
  // Switches hedging off, for comparison.
  bool m_hedging = true;
  // Switches answers without late shards off, for comparison.
  bool m_earlyAnswers = true;
};

// What all runs of an instance share. Everything outlives the runs.
struct ForwardEnvironment
{
  const ReplicaCatalogue& m_catalogue;
  ReplicaLoad& m_load;
  LatencyModel& m_latencies;
  ExtraBudget& m_budget;
  ForwardOptions m_options;
};

struct ForwardRequest
{
  // Outlives the run.
  const Route* m_route = nullptr;
  // The services of the subRequests: the route's, or the chosen one of a split.
  std::vector<std::string> m_services;
  // When the request was read.
  TimePoint m_receivedAt;
  // What was left of the caller's time then.
  Duration m_remaining{};
  // What the caller had waited before: for its connection or earlier attempts.
  Duration m_elapsed{};
};

class ForwardRun
{
public:
  ForwardRun(ForwardRequest aRequest,
             ForwardEnvironment& aEnvironment,
             ForwardPort& aPort);

  void Start(TimePoint aNow);
  void OnOutcome(uint32_t aSubRequest,
                 uint32_t aAttempt,
                 AttemptOutcome aOutcome,
                 TimePoint aNow);
  void OnTimer(TimePoint aNow);
  // The caller left: every sending is cancelled and nothing is finished.
  void Abandon();

  // Returns when `OnTimer` is due; nothing once the run ended.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;
  [[nodiscard]] bool Ended() const { return m_ended; }

private:
  struct Attempt
  {
    ReplicaPtr m_replica;
    TimePoint m_sentAt;
    bool m_open = true;
    bool m_mayHaveRun = true;
  };
  struct SubRequest
  {
    std::string m_service;
    std::vector<Attempt> m_attempts;
    std::optional<uint32_t> m_answer;
    // A failure that a searcher answered with, if nothing better comes.
    std::optional<uint32_t> m_failure;
    bool m_failed = false;
    bool m_outcomeUnknown = false;
    TimePoint m_hedgeAt;
    // Set while the subRequest waits for a searcher that may get another
    // request.
    TimePoint m_nextCapacityCheck;
    bool m_waitingForCapacity = false;
  };

  [[nodiscard]] bool IsGathered() const;
  [[nodiscard]] uint32_t Required() const;
  // Returns when an answer has to leave to be there within the target.
  [[nodiscard]] TimePoint EarlyAnswerTime() const;
  bool RefuseIfUnavailable(TimePoint aNow);
  void SendTo(uint32_t aSubRequest,
              const ReplicaPtr& aReplica,
              AttemptReason aReason,
              TimePoint aNow);
  [[nodiscard]] const ReplicaPtr* ChooseReplica(const SubRequest& aSubRequest,
                                                bool aAllowTried,
                                                TimePoint aNow) const;
  [[nodiscard]] bool MayRetry(const SubRequest& aSubRequest,
                              AttemptOutcome aOutcome) const;
  [[nodiscard]] static bool HasOpenAttempt(const SubRequest& aSubRequest);
  void OnFailedAttempt(uint32_t aSubRequest,
                       AttemptOutcome aOutcome,
                       TimePoint aNow);
  // Lets a subRequest wait until a searcher may get another request.
  void WaitForCapacity(SubRequest& aSubRequest, TimePoint aNow);
  void RetryWaiting(TimePoint aNow);
  // Returns whether the service has a searcher that is not down.
  [[nodiscard]] bool HasReachableReplica(const std::string& aService,
                                         TimePoint aNow) const;
  void HedgeLateSubRequests(TimePoint aNow);
  void TryHedge(uint32_t aSubRequest, TimePoint aNow);
  void FinishIfDue(TimePoint aNow);
  void FinishGathered(TimePoint aNow);
  void FinishSingle(TimePoint aNow);
  void FinishWithoutAnswer(bool aTimedOut);
  void Finish(const ForwardResult& aResult);
  void CancelOpenAttempts();

  ForwardRequest m_request;
  ForwardEnvironment* m_environment;
  ForwardPort* m_port;
  std::vector<SubRequest> m_subRequests;
  TimePoint m_earlyAnswerAt;
  TimePoint m_timeoutAt;
  bool m_ended = false;
};

} // namespace ebonykeel
