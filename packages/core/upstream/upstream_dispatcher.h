// Decides when work may be sent to one upstream: the fleet's slots, its
// connection limit, its cold start and its draining.
//
// One instance owns an upstream and runs its gate. The owner carries out the
// returned actions in order and reports what became of dispatched work:
//
//   UpstreamDispatcher gate(id, limits, settings, permit, std::move(policy),
//   now); gate.OnOwnershipGained({}, now); gate.OnPermitChanged(now); for
//   (const DispatcherAction& action : gate.Enqueue(item, now)) { ... }
//   gate.OnResult(item.m_id, { .m_kind = UpstreamResultKind::kOk }, now);
//
// An upstream may still work on what its owner gave up. Such abandoned work
// holds its slot until the upstream answers, acknowledges the cancellation, or
// cannot be working any more because the deadline that it was told has passed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/query/messages.h"
#include "core/upstream/concurrency_policy.h"
#include "core/upstream/fair_work_queue.h"
#include "core/upstream/work.h"

namespace ebonykeel {

// Says whether this instance may send work to an upstream. The gate asks right
// before each dispatch.
class SendPermit
{
public:
  virtual ~SendPermit() = default;

  // Returns how much work this instance may have at `aUpstream` at `aNow`;
  // 0 when it does not own the upstream or its lease has lapsed.
  [[nodiscard]] virtual uint32_t AllowedSlots(const UpstreamId& aUpstream,
                                              TimePoint aNow) const = 0;

  // Returns how much work a predecessor may still have at `aUpstream`. It
  // counts against what the upstream bears, not against `AllowedSlots`.
  [[nodiscard]] virtual uint32_t PredecessorWork(
    const UpstreamId& /*aUpstream*/,
    TimePoint /*aNow*/) const
  {
    return 0;
  }
};

// What one upstream bears, over the whole fleet.
struct UpstreamLimits
{
  // At least 1.
  uint32_t m_slots = 2;
  uint32_t m_connectionLimit = 60;
};

struct DispatcherSettings
{
  // Work that waits at most; at least 1.
  size_t m_maxQueueLength = 256;
  // The cost by which one caller may be served ahead of another.
  double m_fairnessQuantum = 2;
  // Queued work is refused when less is left before its deadline than the
  // expected latency, and this at least.
  Duration m_refusalMargin = Milliseconds(1);
  // Abandoned work holds its slot for this long after its deadline, which
  // covers the transfer and the upstream's own reaction.
  Duration m_abandonedMargin = Milliseconds(50);
  // The pause after a shed, a refused connection or a reset. It doubles with
  // each in a row, up to `m_maxBackoff`.
  Duration m_minBackoff = Milliseconds(10);
  Duration m_maxBackoff = Seconds(1);
  // How often a leaving upstream is asked whether it came back.
  Duration m_probeInterval = Seconds(1);
  // A probe that takes longer has failed.
  Duration m_probeTimeout = Milliseconds(500);
  // How often it is looked whether a predecessor's work has ended.
  Duration m_predecessorPollInterval = Milliseconds(20);
  // The part of the connection limit that one owner uses, so that the
  // connections of two owners fit during a handover; in (0, 1].
  double m_connectionShare = 0.5;
};

// What an owner tells its successor about an upstream.
struct WarmthHint
{
  BootId m_bootId = 0;
  // The limit that the upstream had earned.
  uint32_t m_limit = 1;
  Duration m_expectedLatency{ 0 };
  // Work that the upstream may still hold, and for how long at most.
  uint32_t m_heldWork = 0;
  Duration m_maxHoldTime{ 0 };
};

// The state in which an owner takes an upstream over.
struct OwnershipStart
{
  // Work that the predecessor may have left at the upstream. It holds slots
  // until `m_inheritedUntil`.
  uint32_t m_inheritedWork = 0;
  TimePoint m_inheritedUntil;
  // Believed only after an answer names the same boot id.
  std::optional<WarmthHint> m_hint;
};

// Send this work now, over an idle connection or over a new one.
struct DispatchWork
{
  WorkId m_work = 0;
  bool m_newConnection = false;
};

// Answer this work as not run. No byte of it has left.
struct RefuseWork
{
  WorkId m_work = 0;
  MissingReason m_reason = MissingReason::kNone;
};

// Nobody waits any more for this dispatched work: cancel it at the upstream
// and close its connection if the cancellation is not acknowledged.
struct CancelWork
{
  WorkId m_work = 0;
};

// Close every idle connection to the upstream, and report how many those were
// by `OnConnectionsClosed`; until then they count as open.
struct CloseIdleConnections
{};

// Ask the upstream for its status, which runs no work, and report it by
// `OnProbe`.
struct ProbeUpstream
{};

using DispatcherAction = std::variant<DispatchWork,
                                      RefuseWork,
                                      CancelWork,
                                      CloseIdleConnections,
                                      ProbeUpstream>;
using DispatcherActions = std::vector<DispatcherAction>;

// What a status request learnt.
struct ProbeResult
{
  bool m_answered = false;
  // 0 when the answer named none.
  BootId m_bootId = 0;
  bool m_draining = false;
};

// Why an upstream gets no new work.
enum class ClosureReason : uint8_t
{
  // Its data centre is taken out.
  kWithdrawn,
  // Operators drain it.
  kDrained,
  // The instance list says that it is leaving.
  kListedAsDraining,
};

// Not thread safe. `aPermit` has to outlive the gate.
class UpstreamDispatcher
{
public:
  UpstreamDispatcher(UpstreamId aUpstream,
                     const UpstreamLimits& aLimits,
                     const DispatcherSettings& aSettings,
                     const SendPermit& aPermit,
                     std::unique_ptr<ConcurrencyPolicy> aPolicy,
                     TimePoint aNow);

  // Starts cold. Call it when the permit begins to allow a dispatch, and then
  // `OnPermitChanged`.
  void OnOwnershipGained(const OwnershipStart& aStart, TimePoint aNow);

  // Tells that the permit may allow another number than before. Without any
  // allowed slot all queued work is refused and idle connections are closed.
  [[nodiscard]] DispatcherActions OnPermitChanged(TimePoint aNow);

  // Queues work, or refuses it when its deadline cannot be met.
  [[nodiscard]] DispatcherActions Enqueue(const WorkItem& aItem,
                                          TimePoint aNow);

  // Drops queued work, or cancels it in flight.
  [[nodiscard]] DispatcherActions Cancel(WorkId aWork, TimePoint aNow);

  // Takes the end of dispatched work; owed once for each dispatch, abandoned
  // work included. Results of unknown work are ignored.
  [[nodiscard]] DispatcherActions OnResult(WorkId aWork,
                                           const UpstreamResult& aResult,
                                           TimePoint aNow);

  [[nodiscard]] DispatcherActions OnProbe(const ProbeResult& aResult,
                                          TimePoint aNow);

  // Sets or lifts one reason for which the upstream gets no new work. It
  // comes back cold.
  [[nodiscard]] DispatcherActions SetClosed(ClosureReason aReason,
                                            bool aClosed,
                                            TimePoint aNow);

  // Tells that connections closed which carried no dispatched work: `aIdle`
  // that were kept or told to be closed, and `aLingering` that were abandoned.
  // More than are known of one kind count for the other.
  [[nodiscard]] DispatcherActions OnConnectionsClosed(uint32_t aIdle,
                                                      uint32_t aLingering,
                                                      TimePoint aNow);

  [[nodiscard]] DispatcherActions OnTimer(TimePoint aNow);

  // Returns when `OnTimer` has to be called, or nothing.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  // Returns what a successor should know.
  [[nodiscard]] WarmthHint Hint(TimePoint aNow) const;

  // Work that the upstream may be working on, abandoned work included.
  [[nodiscard]] uint32_t HeldWork(TimePoint aNow) const;
  [[nodiscard]] uint32_t InFlight() const;
  [[nodiscard]] size_t Queued() const { return m_queue.size(); }
  [[nodiscard]] uint32_t OpenConnections() const;
  // The most work that the upstream may hold now, before the permit.
  [[nodiscard]] uint32_t Limit() const;
  [[nodiscard]] bool Warm() const;
  [[nodiscard]] bool Closed() const;
  // Nothing is sent for a while after a shed, a reset or a refused connection.
  [[nodiscard]] bool BackingOff(TimePoint aNow) const
  {
    return aNow < m_backoffUntil;
  }
  [[nodiscard]] BootId Boot() const { return m_bootId; }

private:
  struct DispatchedWork
  {
    TimePoint m_dispatchedAt;
    TimePoint m_deadline;
    double m_cost = 1;
    // Nobody waits for it any more.
    bool m_abandoned = false;
    // The connection was already accounted for.
    bool m_connectionReleased = false;
  };
  using DispatchedMap = std::map<WorkId, DispatchedWork>;

  void Update(TimePoint aNow, DispatcherActions& aActions);
  void DispatchNext(TimePoint aNow, DispatcherActions& aActions);
  void RefuseAll(MissingReason aReason, DispatcherActions& aActions);
  void RefuseUnmeetable(TimePoint aNow, DispatcherActions& aActions);
  void CloseIdleConnectionsIfAny(DispatcherActions& aActions);
  void AbandonOverdue(TimePoint aNow, DispatcherActions& aActions);
  void ProbeIfDue(TimePoint aNow, DispatcherActions& aActions);
  void Abandon(DispatchedMap::iterator aDispatched,
               DispatcherActions& aActions);
  void ReleaseConnection(DispatchedWork& aDispatched,
                         ConnectionDisposition aDisposition);
  void RecordBoot(BootId aBoot, TimePoint aDispatchedAt, TimePoint aNow);
  void RecordResult(const DispatchedWork& aDispatched,
                    const UpstreamResult& aResult,
                    TimePoint aNow);
  void BackOff(Duration aMinPause, TimePoint aNow);
  void MarkDraining(TimePoint aNow);
  [[nodiscard]] bool HoldsSlot(const DispatchedWork& aDispatched,
                               TimePoint aNow) const;
  // The time that an answer will take with work queued before it; 0 without.
  [[nodiscard]] Duration EstimatedWait(const WorkItem& aItem) const;
  [[nodiscard]] Duration MinRemainingTime() const;
  [[nodiscard]] uint32_t ConnectionsAllowed() const;
  [[nodiscard]] uint32_t InheritedWork(TimePoint aNow) const;

  const UpstreamId m_upstream;
  const UpstreamLimits m_limits;
  const DispatcherSettings m_settings;
  const SendPermit& m_permit;
  const std::unique_ptr<ConcurrencyPolicy> m_policy;

  FairWorkQueue m_queue;
  DispatchedMap m_dispatched;
  uint32_t m_idleConnections = 0;
  uint32_t m_lingeringConnections = 0;

  bool m_owned = false;
  // When the state was last brought up to date.
  TimePoint m_updatedAt;
  // A predecessor's work was still running then.
  bool m_predecessorHadWork = false;
  uint32_t m_inheritedWork = 0;
  TimePoint m_inheritedUntil;
  std::optional<WarmthHint> m_hint;

  BootId m_bootId = 0;
  TimePoint m_bootSince;

  Duration m_backoff{ 0 };
  TimePoint m_backoffUntil;
  MissingReason m_backoffReason = MissingReason::kNone;

  uint8_t m_closures = 0;
  // The upstream itself said that it is leaving.
  bool m_reportedDraining = false;
  TimePoint m_nextProbe;
  std::optional<TimePoint> m_probeSentAt;
};

} // namespace ebonykeel
