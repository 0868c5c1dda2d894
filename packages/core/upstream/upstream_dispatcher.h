// Decides when work may be dispatched to one upstream. It respects the slots of
// the upstream over the whole fleet, its connection limit, its cold start and
// its draining.
//
// Each upstream is owned by one instance, which runs its dispatcher. The owner
// carries out the returned actions in order and reports the results of
// dispatched work:
//
//   UpstreamDispatcher dispatcher(
//     id, limits, settings, permit, std::move(policy), now);
//   dispatcher.OnOwnershipGained({}, now);
//   Perform(dispatcher.OnPermitChanged(now));
//   Perform(dispatcher.Enqueue(item, now));
//   Perform(dispatcher.OnResult(
//     item.m_id, { .m_kind = UpstreamResultKind::kOk }, now));
//
// An upstream may still be working on work that its owner has abandoned.
// Abandoned work holds its slot until the upstream answers, acknowledges the
// cancellation, or must have stopped because the deadline that it was sent has
// passed.
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

// Says whether this instance may send work to an upstream. The dispatcher
// checks it directly before each dispatch.
class SendPermit
{
public:
  virtual ~SendPermit() = default;

  // Returns how much work this instance may have at `aUpstream` at `aNow`; 0 if
  // it does not own the upstream or its lease has expired.
  [[nodiscard]] virtual uint32_t AllowedSlots(const UpstreamId& aUpstream,
                                              TimePoint aNow) const = 0;

  // Returns how much work the previous owner may still have at `aUpstream`. It
  // counts towards the limit of the upstream, not towards `AllowedSlots`.
  [[nodiscard]] virtual uint32_t PredecessorWork(
    const UpstreamId& /*aUpstream*/,
    TimePoint /*aNow*/) const
  {
    return 0;
  }
};

// The capacity of one upstream, over the whole fleet.
struct UpstreamLimits
{
  // At least 1.
  uint32_t m_slots = 2;
  uint32_t m_connectionLimit = 60;
};

struct DispatcherSettings
{
  // The maximum number of queued pieces of work; at least 1.
  size_t m_maxQueueLength = 256;
  // The cost by which one caller may be served ahead of another.
  double m_fairnessQuantum = 2;
  // Queued work is refused when its remaining time is less than the expected
  // latency, or less than this margin.
  Duration m_refusalMargin = Milliseconds(1);
  // Abandoned work holds its slot for this long after its deadline. This covers
  // the transfer of the deadline and the reaction time of the upstream.
  Duration m_abandonedMargin = Milliseconds(50);
  // The pause after a shed, a refused connection or a reset. It doubles with
  // each consecutive one, up to `m_maxBackoff`.
  Duration m_minBackoff = Milliseconds(10);
  Duration m_maxBackoff = Seconds(1);
  // The interval at which a draining upstream is asked whether it still drains.
  Duration m_probeInterval = Seconds(1);
  // A probe without an answer for this long has failed.
  Duration m_probeTimeout = Milliseconds(500);
  // The interval at which the dispatcher checks whether the previous owner's
  // work has ended.
  Duration m_predecessorPollInterval = Milliseconds(20);
  // The part of the connection limit that one owner may use, in (0, 1]. Half
  // leaves room for the connections of two owners during a handover.
  double m_connectionShare = 0.5;
};

// The state of an upstream that its owner passes on to the next owner.
struct WarmthHint
{
  BootId m_bootId = 0;
  // The limit that the upstream had reached.
  uint32_t m_limit = 1;
  Duration m_expectedLatency{ 0 };
  // The number of pieces of work that the upstream may still hold, and the
  // maximum time until all of them have ended.
  uint32_t m_heldWork = 0;
  Duration m_maxHoldTime{ 0 };
};

// The state that a new owner starts from.
struct OwnershipStart
{
  // The number of pieces of work that the previous owner may have left at the
  // upstream. They hold slots until `m_inheritedUntil`.
  uint32_t m_inheritedWork = 0;
  TimePoint m_inheritedUntil;
  // Used only if the upstream has the same boot id at its first good answer.
  std::optional<WarmthHint> m_hint;
};

// Send this work now, over an idle connection or over a new one.
struct DispatchWork
{
  WorkId m_work = 0;
  bool m_newConnection = false;
};

// Answer this work as not run. No byte of it was sent.
struct RefuseWork
{
  WorkId m_work = 0;
  MissingReason m_reason = MissingReason::kNone;
};

// Cancel this dispatched work at the upstream, and close its connection if the
// cancellation is not acknowledged. Its result is no longer needed.
struct CancelWork
{
  WorkId m_work = 0;
};

// Close every idle connection to the upstream, and report their number to
// `OnConnectionsClosed`. They count as open until then.
struct CloseIdleConnections
{};

// Request the status of the upstream, which runs no work, and report it to
// `OnProbe`.
struct ProbeUpstream
{};

using DispatcherAction = std::variant<DispatchWork,
                                      RefuseWork,
                                      CancelWork,
                                      CloseIdleConnections,
                                      ProbeUpstream>;
using DispatcherActions = std::vector<DispatcherAction>;

// The result of a status request.
struct ProbeResult
{
  bool m_answered = false;
  // 0 if the answer contained none.
  BootId m_bootId = 0;
  bool m_draining = false;
};

// A reason why an upstream gets no new work.
enum class ClosureReason : uint8_t
{
  // Its data centre is withdrawn.
  kWithdrawn,
  // An operator drains it.
  kDrained,
  // The instance list says that it is draining.
  kListedAsDraining,
};

// Not thread safe. `aPermit` must outlive the dispatcher.
class UpstreamDispatcher
{
public:
  UpstreamDispatcher(UpstreamId aUpstream,
                     const UpstreamLimits& aLimits,
                     const DispatcherSettings& aSettings,
                     const SendPermit& aPermit,
                     std::unique_ptr<ConcurrencyPolicy> aPolicy,
                     TimePoint aNow);

  // Called when the permit begins to allow dispatches; call `OnPermitChanged`
  // afterwards. The upstream starts cold.
  void OnOwnershipGained(const OwnershipStart& aStart, TimePoint aNow);

  // Called when the number of allowed slots may have changed. Without any
  // allowed slot, all queued work is refused and idle connections are closed.
  [[nodiscard]] DispatcherActions OnPermitChanged(TimePoint aNow);

  // Queues work, or refuses it if its deadline cannot be met.
  [[nodiscard]] DispatcherActions Enqueue(const WorkItem& aItem,
                                          TimePoint aNow);

  // Removes queued work, or cancels it in flight.
  [[nodiscard]] DispatcherActions Cancel(WorkId aWork, TimePoint aNow);

  // Records the result of dispatched work. Must be called once for each
  // dispatch, that of abandoned work included. Results of unknown work are
  // ignored.
  [[nodiscard]] DispatcherActions OnResult(WorkId aWork,
                                           const UpstreamResult& aResult,
                                           TimePoint aNow);

  [[nodiscard]] DispatcherActions OnProbe(const ProbeResult& aResult,
                                          TimePoint aNow);

  // Sets or clears one reason why the upstream gets no new work. The upstream
  // is cold afterwards.
  [[nodiscard]] DispatcherActions SetClosed(ClosureReason aReason,
                                            bool aClosed,
                                            TimePoint aNow);

  // Called when connections have closed that carried no dispatched work:
  // `aIdle` that were kept or were closed by `CloseIdleConnections`, and
  // `aLingering` that were abandoned. If one number exceeds the known
  // connections of its kind, the excess is taken from the other kind.
  [[nodiscard]] DispatcherActions OnConnectionsClosed(uint32_t aIdle,
                                                      uint32_t aLingering,
                                                      TimePoint aNow);

  [[nodiscard]] DispatcherActions OnTimer(TimePoint aNow);

  // Returns when `OnTimer` must be called next, or nothing.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  // Returns the state to pass on to the next owner.
  [[nodiscard]] WarmthHint Hint(TimePoint aNow) const;

  // Returns the number of pieces of work that the upstream may be working on,
  // abandoned work included.
  [[nodiscard]] uint32_t HeldWork(TimePoint aNow) const;
  [[nodiscard]] uint32_t InFlight() const;
  [[nodiscard]] size_t Queued() const { return m_queue.size(); }
  [[nodiscard]] uint32_t OpenConnections() const;
  // Returns the maximum number of pieces of work that the upstream may hold
  // now, regardless of the permit.
  [[nodiscard]] uint32_t Limit() const;
  [[nodiscard]] bool Warm() const;
  [[nodiscard]] bool Closed() const;
  // Returns true during the pause after a shed, a reset or a refused
  // connection, in which nothing is sent.
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
    // The result is no longer needed, but the upstream may still be working.
    bool m_abandoned = false;
    // The connection no longer belongs to this work.
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
  // Returns the expected time until the answer to `aItem`; 0 if no queued work
  // would be served before it.
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
  // The time of the last `Update`.
  TimePoint m_updatedAt;
  // The previous owner still had work at the upstream at `m_updatedAt`.
  bool m_predecessorHadWork = false;
  uint32_t m_inheritedWork = 0;
  TimePoint m_inheritedUntil;
  std::optional<WarmthHint> m_hint;

  BootId m_bootId = 0;
  TimePoint m_bootSince;

  Duration m_backoff{ 0 };
  TimePoint m_backoffUntil;
  MissingReason m_backoffReason = MissingReason::kNone;

  // One bit for each `ClosureReason` that is set.
  uint8_t m_closures = 0;
  // The upstream has reported that it is draining.
  bool m_reportedDraining = false;
  TimePoint m_nextProbe;
  std::optional<TimePoint> m_probeSentAt;
};

} // namespace ebonykeel
