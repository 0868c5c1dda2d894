// Sends work to the upstreams that this instance owns, through one dispatcher
// for each.
//
//   service.Submit(upstreamId, { .m_deadline = ..., }, kj::heap<MyTask>());
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <kj/async.h>

#include "core/config/configuration.h"
#include "core/upstream/upstream_dispatcher.h"
#include "node/cluster/ownership_service.h"
#include "runtime/http/client.h"
#include "runtime/loop/alarm.h"

namespace ebonykeel {

// One piece of work for an upstream. Exactly one of `OnRefused` and `OnReply`
// is called, once, unless the work is cancelled first.
class UpstreamTask
{
public:
  virtual ~UpstreamTask() = default;
  // Returns the id that identifies the work at the upstream.
  [[nodiscard]] virtual const std::string& RequestId() const = 0;
  // Returns the request to send; the upstream has `aRemaining` to answer it.
  [[nodiscard]] virtual HttpRequest MakeRequest(Duration aRemaining) const = 0;
  // Called when the work is refused: it has not run and never will.
  virtual void OnRefused(MissingReason aReason) = 0;
  // Called with the reply, or with a failed reply if the work was abandoned at
  // its deadline. Returns the result for the upstream's dispatcher. `aCold` is
  // true if the upstream is in cold start and gets less work than its full
  // slots.
  virtual UpstreamResult OnReply(const HttpReply& aReply, bool aCold) = 0;
};

// The parameters of the work passed to `Submit`.
struct UpstreamWork
{
  TimePoint m_deadline;
  CallerName m_caller;
  WorkPriority m_priority = WorkPriority::kInteractive;
  // A hedge is refused with `kShed` while the upstream is in cold start.
  bool m_hedge = false;
};

// Identifies submitted work for `Cancel`.
struct UpstreamTicket
{
  UpstreamId m_upstream;
  WorkId m_work = 0;
};

struct UpstreamServiceOptions
{
  DispatcherSettings m_dispatcher;
  ColdStartSettings m_coldStart;
  // The timeout of a cancellation request.
  Duration m_cancelTimeout = Milliseconds(200);
};

struct UpstreamCounters
{
  uint64_t m_dispatched = 0;
  uint64_t m_refused = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_badAnswers = 0;
};

// All references must outlive the service.
class UpstreamService final : private kj::TaskSet::ErrorHandler
{
public:
  UpstreamService(Loop& aLoop,
                  HttpClient& aClient,
                  OwnershipService& aOwnership,
                  const UpstreamServiceOptions& aOptions);

  // Sets the configuration in force. It also contains the shards of earlier
  // snapshots that queries may still pin.
  void OnConfiguration(const ConfigurationPtr& aConfiguration);
  // Called when upstreams may have been gained, lost or allowed a different
  // number of slots. Updates the dispatchers.
  void OnOwnershipChanged();

  // Queues work for `aUpstream`. Refuses it with `kNoOwner` if this instance
  // may not send to the upstream.
  UpstreamTicket Submit(const UpstreamId& aUpstream,
                        const UpstreamWork& aWork,
                        kj::Own<UpstreamTask> aTask);
  // Removes queued work, or cancels dispatched work at the upstream. Unknown
  // tickets are ignored.
  void Cancel(const UpstreamTicket& aTicket);

  [[nodiscard]] const UpstreamCounters& Counters() const { return m_counters; }
  [[nodiscard]] size_t Queued() const;
  [[nodiscard]] size_t InFlight() const;
  // Returns the number of upstreams in cold start that this instance may send
  // to.
  [[nodiscard]] size_t ColdUpstreams() const;

private:
  struct ActiveTask
  {
    kj::Own<UpstreamTask> m_task;
    TimePoint m_deadline;
    // The request in flight; null while the work is queued.
    kj::Maybe<kj::Promise<void>> m_sendPromise;
    // The ownership service counts the work as in flight.
    bool m_countedAsSent = false;
    // The submitter has cancelled the work, so its end is not reported.
    bool m_cancelled = false;
  };

  struct OwnedUpstream
  {
    UpstreamConfig m_config;
    std::unique_ptr<UpstreamDispatcher> m_dispatcher;
    std::unique_ptr<Alarm> m_alarm;
    std::map<WorkId, ActiveTask> m_tasks;
    // Whether this instance was allowed any slots at the last check.
    bool m_permitted = false;
    // The state when `SaveColdStartState` last reported a change.
    bool m_savedWarm = false;
    uint32_t m_savedLimit = 0;
    BootId m_savedBootId = 0;
  };

  void taskFailed(kj::Exception&& aException) override;
  OwnedUpstream* FindOwned(const UpstreamId& aUpstream);
  OwnedUpstream& AddOwned(const UpstreamConfig& aConfig,
                          const ServiceConfig& aService);
  void ApplyClosures(OwnedUpstream& aOwned);
  void Perform(OwnedUpstream& aOwned, DispatcherActions aActions);
  // Passes the cold-start state of the upstream to the ownership service if it
  // has changed, for the next owner.
  void SaveColdStartState(OwnedUpstream& aOwned);
  // Returns the state to start from, as passed on by the previous owner.
  [[nodiscard]] OwnershipStart InitialState(const UpstreamId& aUpstream) const;
  void Dispatch(OwnedUpstream& aOwned, WorkId aWork);
  void OnReply(const UpstreamId& aUpstream,
               WorkId aWork,
               const HttpReply& aReply);
  void Refuse(OwnedUpstream& aOwned, WorkId aWork, MissingReason aReason);
  void CancelInFlight(OwnedUpstream& aOwned, WorkId aWork);
  // Counts the work as finished after its deadline and a margin, when the
  // upstream must have stopped working on it.
  void ScheduleFinished(OwnedUpstream& aOwned, ActiveTask& aTask);
  void EndTask(OwnedUpstream& aOwned,
               std::map<WorkId, ActiveTask>::iterator aTask);
  void Probe(OwnedUpstream& aOwned);
  void SetAlarm(OwnedUpstream& aOwned);
  [[nodiscard]] Endpoint EndpointOf(const OwnedUpstream& aOwned) const;

  Loop& m_loop;
  HttpClient& m_client;
  OwnershipService& m_ownership;
  UpstreamServiceOptions m_options;
  ConfigurationPtr m_configuration;
  std::map<UpstreamId, std::unique_ptr<OwnedUpstream>> m_ownedUpstreams;
  WorkId m_lastWork = 0;
  UpstreamCounters m_counters;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
