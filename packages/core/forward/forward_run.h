// Forwards one caller request to one upstream, or to one upstream of each
// shard.
//
// A run decides which upstream gets an attempt and when: first attempts,
// hedges, and retries after failures. It also decides when a gathered answer is
// returned without the shards that are late, and how a request that cannot be
// served is refused. It does no I/O and reads no clock:
//
//   ForwardRun run(request, environment, port);
//   run.Start(now);
//   // For each attempt that the port was asked to send:
//   run.OnOutcome(subRequest, attempt, outcome, now);
//   if (run.NextTimer() <= now) run.OnTimer(now);
//
// Each upstream gets a limited number of concurrent requests from one instance.
// A sub-request whose upstreams are all full, or that was shed, waits here for
// capacity: after a burst, or when all callers return at once, requests that
// pile up at the upstreams would only be shed there. `CapacityQueue` decides
// whose turn it is, `RefusalPolicy` which requests are refused.
//
// A sub-request is the part of the request that goes to one service. A route to
// one service has one sub-request, a gathered route one for each shard.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/forward/capacity_queue.h"
#include "core/forward/forward_request.h"
#include "core/forward/forward_result.h"
#include "core/replica/replica.h"

namespace ebonykeel {

// The environment of a run. Its methods must not call back into the run, except
// `ExpectedWorkOf` and `NextTimer`.
class ForwardPort
{
public:
  virtual ~ForwardPort() = default;
  // Sends the request to `aReplica`, which has `aDeadline` to work on it.
  virtual void Send(uint32_t aSubRequest,
                    uint32_t aAttempt,
                    const ReplicaPtr& aReplica,
                    AttemptReason aReason,
                    Duration aDeadline) = 0;
  // Cancels an attempt whose answer is no longer needed.
  virtual void Cancel(uint32_t aSubRequest, uint32_t aAttempt) = 0;
  // Asks for a call of `OnTimer` soon, but not within this call: what
  // `NextTimer` returns has become earlier.
  virtual void RequestTimer() {}
  // Reports the result of the run. Called once, as the last call.
  virtual void Finish(const ForwardResult& aResult) = 0;
};

// How a sub-request starts.
struct StartPlan
{
  // The upstream that it is sent to; null if it is not sent at once.
  const ReplicaPtr* m_replica = nullptr;
  // Whether it waits for capacity. If neither, it fails.
  bool m_waits = false;
};

struct PartPreview
{
  StartPlan m_plan;
  // Whether no other sub-request that waits goes before it.
  bool m_mayStart = false;
  // The upstreams whose places are left to more urgent requests.
  std::vector<ReplicaPtr> m_reserved;
};

// What `ForwardRun::Start` would do.
struct StartPreview
{
  std::optional<ForwardResult> m_refusal;
  // One for each sub-request. Without plans if the request is refused.
  std::vector<PartPreview> m_parts;
  // What is expected of an attempt, as `ReplicaLoad::Choose` takes it.
  Duration m_typical{};
  // How long the request may wait before anything is sent.
  Duration m_maxUnsentWait{};
};

class ForwardRun : private CapacityWaiter
{
public:
  ForwardRun(ForwardRequest aRequest,
             ForwardEnvironment& aEnvironment,
             ForwardPort& aPort);
  ~ForwardRun() override;
  ForwardRun(const ForwardRun&) = delete;
  ForwardRun& operator=(const ForwardRun&) = delete;

  void Start(TimePoint aNow);
  // Returns what `Start` would do, without changing anything. The pointers in
  // it are valid until the next change of the catalogue.
  [[nodiscard]] StartPreview PreviewStart(TimePoint aNow) const;
  void OnOutcome(uint32_t aSubRequest,
                 uint32_t aAttempt,
                 AttemptOutcome aOutcome,
                 TimePoint aNow);
  void OnTimer(TimePoint aNow);
  // Ends the run at `aEnd` at the latest, with the answer that it then has: the
  // process is about to stop. Upstreams get no more time than that. A run that
  // is started later refuses the request if its target latency would not be
  // over by then.
  void EndBy(TimePoint aEnd);
  // Called when the caller disconnected: cancels every open attempt and does
  // not call `Finish`.
  void Abandon();

  // Returns the expected work of an attempt, with which it is sent.
  [[nodiscard]] const ExpectedWork& ExpectedWorkOf(uint32_t aSubRequest,
                                                   uint32_t aAttempt) const
  {
    return m_subRequests[aSubRequest].m_attempts[aAttempt].m_work;
  }

  // Returns when `OnTimer` is due; nothing once the run has ended.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;
  [[nodiscard]] bool Ended() const { return m_ended; }

private:
  struct Attempt
  {
    ReplicaPtr m_replica;
    TimePoint m_sentAt;
    ExpectedWork m_work;
    // When the answer was expected at the time of sending.
    Duration m_predicted{};
    bool m_open = true;
    bool m_mayHaveRun = true;
  };
  struct SubRequest
  {
    std::string m_service;
    VersionChoice m_version = VersionChoice::kUndecided;
    // Nothing is sent: the choice of the version must not count.
    bool m_isPreview = false;
    std::vector<Attempt> m_attempts;
    std::optional<uint32_t> m_answer;
    // The attempt whose failure answer is passed on if no attempt succeeds.
    std::optional<uint32_t> m_failure;
    bool m_failed = false;
    bool m_outcomeUnknown = false;
    TimePoint m_hedgeAt;
    // Set while the sub-request waits for capacity.
    TimePoint m_nextCapacityCheck;
    uint64_t m_ticket = 0;
    bool m_waitingForCapacity = false;
  };

  // Returns when an answer has to be sent in order to arrive within the target
  // latency.
  [[nodiscard]] TimePoint EarlyAnswerTime() const;
  void SendTo(uint32_t aSubRequest,
              const ReplicaPtr& aReplica,
              AttemptReason aReason,
              TimePoint aNow);
  // Returns the upstreams that an attempt may be sent to.
  [[nodiscard]] std::span<const ReplicaPtr> UsableReplicas(
    SubRequest& aSubRequest,
    TimePoint aNow) const;
  // Returns how a sub-request starts. `aMayStart` is false if others that wait
  // go before it.
  [[nodiscard]] StartPlan PlanStart(SubRequest& aSubRequest,
                                    bool aMayStart,
                                    ChoiceRotation& aRotation,
                                    TimePoint aNow) const;
  [[nodiscard]] const ReplicaPtr* ChooseReplica(SubRequest& aSubRequest,
                                                bool aAllowTried,
                                                TimePoint aNow) const
  {
    return ChooseReplica(
      aSubRequest, aAllowTried, m_environment->m_load.Rotation(), aNow);
  }
  // The same with another rotation; nothing else changes.
  [[nodiscard]] const ReplicaPtr* ChooseReplica(SubRequest& aSubRequest,
                                                bool aAllowTried,
                                                ChoiceRotation& aRotation,
                                                TimePoint aNow) const;
  // The same among the upstreams of the version that the sub-request uses.
  [[nodiscard]] const ReplicaPtr* ChooseOfVersion(SubRequest& aSubRequest,
                                                  bool aAllowTried,
                                                  ChoiceRotation& aRotation,
                                                  TimePoint aNow) const;
  // Returns what is expected of an attempt that is sent now, as
  // `ReplicaLoad::Choose` takes it.
  [[nodiscard]] Duration TypicalLatency(TimePoint aNow) const;
  [[nodiscard]] ExpectedWork ExpectWork(TimePoint aNow) const;
  [[nodiscard]] bool MayRetry(const SubRequest& aSubRequest,
                              AttemptOutcome aOutcome) const;
  [[nodiscard]] static bool HasOpenAttempt(const SubRequest& aSubRequest);
  void OnFailedAttempt(uint32_t aSubRequest,
                       AttemptOutcome aOutcome,
                       TimePoint aNow);
  // Returns when a request is refused of which nothing has been sent by then.
  [[nodiscard]] TimePoint UnsentRefusalTime() const;
  // Returns whether the request waits for capacity and nothing has been sent.
  [[nodiscard]] bool WaitsUnsent() const;
  [[nodiscard]] WaitingRank RankAt(TimePoint aNow) const;
  // Returns whether no other sub-request that waits goes before this one.
  [[nodiscard]] bool MayStartBeforeWaiting(const SubRequest& aSubRequest,
                                           TimePoint aNow) const;
  // Returns the upstreams whose places are left to more urgent requests.
  [[nodiscard]] std::vector<ReplicaPtr> ReservedReplicas(
    const SubRequest& aSubRequest,
    TimePoint aNow) const;
  // Returns whether another sub-request to the same service could be sent.
  [[nodiscard]] bool IsCapacityLeft(SubRequest& aSubRequest,
                                    TimePoint aNow) const;
  void OnTurn(uint64_t aTicket) override;
  // Makes a sub-request wait until an upstream may receive another request.
  void WaitForCapacity(SubRequest& aSubRequest, TimePoint aNow);
  void StopWaiting(SubRequest& aSubRequest);
  void SendWaitingSubRequests(TimePoint aNow);
  // Returns whether the service has an upstream that may get requests, now or
  // once it has capacity.
  [[nodiscard]] bool HasAvailableReplica(const std::string& aService,
                                         TimePoint aNow) const;
  void HedgeLateSubRequests(TimePoint aNow);
  void TryHedge(uint32_t aSubRequest, TimePoint aNow);
  void FinishIfDue(TimePoint aNow);
  void FinishGathered(TimePoint aNow);
  void FinishSingle(TimePoint aNow);
  void FinishWithoutAnswer(bool aTimedOut, TimePoint aNow);
  void Finish(const ForwardResult& aResult);
  void End();
  void CancelOpenAttempts();

  ForwardRequest m_request;
  ForwardEnvironment* m_environment;
  ForwardPort* m_port;
  std::vector<SubRequest> m_subRequests;
  // What the answered parts say about the open ones; null unless the request is
  // gathered and placed by work.
  std::shared_ptr<GatheredWork> m_gatheredWork;
  TimePoint m_earlyAnswerAt;
  TimePoint m_timeoutAt;
  TimePoint m_refuseUnsentAt;
  // Set by `EndBy`.
  std::optional<TimePoint> m_endBy;
  bool m_ended = false;
};

} // namespace ebonykeel
