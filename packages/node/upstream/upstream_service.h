// Sends work to the upstreams that this instance owns, through one gate for
// each.
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
// is called, and nothing after it, unless the work is cancelled first.
class UpstreamTask
{
public:
  virtual ~UpstreamTask() = default;
  // Returns the name under which the upstream knows the work.
  [[nodiscard]] virtual const std::string& RequestId() const = 0;
  // Returns the request to send; the upstream has `aRemaining` for it.
  [[nodiscard]] virtual HttpRequest MakeRequest(Duration aRemaining) const = 0;
  // Tells that the work was not run and never will be.
  virtual void OnRefused(MissingReason aReason) = 0;
  // Takes what came back, and returns what it says about the upstream.
  // `aCold` tells whether the upstream is held to less than its full slots.
  virtual UpstreamResult OnReply(const HttpReply& aReply, bool aCold) = 0;
};

// What was asked for in `Submit`.
struct UpstreamWork
{
  TimePoint m_deadline;
  CallerName m_caller;
  WorkPriority m_priority = WorkPriority::kInteractive;
  // Refuse it with `kShed` while the upstream is in cold start.
  bool m_hedge = false;
};

// Names submitted work, to cancel it.
struct UpstreamTicket
{
  UpstreamId m_upstream;
  WorkId m_work = 0;
};

struct UpstreamServiceOptions
{
  DispatcherSettings m_dispatcher;
  ColdStartSettings m_coldStart;
  // How long a cancellation may take.
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

  // Takes the configuration in force, with the shards of earlier snapshots that
  // queries may still pin.
  void OnConfiguration(const ConfigurationPtr& aConfiguration);
  // Brings the gates in line with what is owned now.
  void OnOwnershipChanged();

  // Queues work for `aUpstream`; refuses it with `kNoOwner` when this instance
  // does not hold the upstream.
  UpstreamTicket Submit(const UpstreamId& aUpstream,
                        const UpstreamWork& aWork,
                        kj::Own<UpstreamTask> aTask);
  // Drops queued work, or cancels it at the upstream. Unknown tickets are
  // ignored.
  void Cancel(const UpstreamTicket& aTicket);

  [[nodiscard]] const UpstreamCounters& Counters() const { return m_counters; }
  [[nodiscard]] size_t Queued() const;
  [[nodiscard]] size_t InFlight() const;
  // The gates of upstreams held now that are not warm.
  [[nodiscard]] size_t ColdUpstreams() const;

private:
  struct ActiveTask
  {
    kj::Own<UpstreamTask> m_task;
    TimePoint m_deadline;
    // The request on its way; null while queued.
    kj::Maybe<kj::Promise<void>> m_sendPromise;
    // Counted as sent at the holder.
    bool m_countedAsSent = false;
    // Nobody wants to hear of its end.
    bool m_cancelled = false;
  };

  struct OwnedUpstream
  {
    UpstreamConfig m_config;
    std::unique_ptr<UpstreamDispatcher> m_dispatcher;
    std::unique_ptr<Alarm> m_alarm;
    std::map<WorkId, ActiveTask> m_tasks;
    bool m_permitted = false;
    // What was noted last for the next owner.
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
  // Tells the next owner what is known of the upstream's cold start.
  void SaveColdStartState(OwnedUpstream& aOwned);
  // What a predecessor told of it.
  [[nodiscard]] OwnershipStart InitialState(const UpstreamId& aUpstream) const;
  void Dispatch(OwnedUpstream& aOwned, WorkId aWork);
  void OnReply(const UpstreamId& aUpstream,
               WorkId aWork,
               const HttpReply& aReply);
  void Refuse(OwnedUpstream& aOwned, WorkId aWork, MissingReason aReason);
  void CancelInFlight(OwnedUpstream& aOwned, WorkId aWork);
  // Counts the work as finished once the upstream cannot be working on it.
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
  std::map<UpstreamId, std::unique_ptr<OwnedUpstream>> m_owned;
  WorkId m_lastWork = 0;
  UpstreamCounters m_counters;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
