// Decides which configuration is in force on this instance, and carries the
// changes that operators ask this instance for.
//
// A deterministic machine: each event comes with the time, and the actions to
// take are returned in their order.
//
//   ConfigurationTracker tracker({}, random);
//   for (ConfigurationAction& action : tracker.Start(now)) {
//     std::visit(perform, action);
//   }
//   // Then one On... call for each event, and OnTimer at NextTimer().
//
// What it promises:
// - the generation in force only grows, whatever the store or peers answer;
// - bytes that are no valid configuration never displace the one in force;
// - of the changes that race for one generation the store takes exactly one,
//   and the others are told;
// - with the store down, a newer configuration is taken from a peer.
//
// Only watchers hold a watch on the store, so that the store's calls do not
// grow with the fleet. The others learn of changes from their peers and read
// the store rarely. Every call has a timeout here, besides the caller's.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/status/statusor.h"

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/change_request.h"
#include "core/config/configuration.h"
#include "core/config/internal/change_commit.h"
#include "core/config/store_call.h"

namespace ebonykeel {

struct ConfigurationTrackerOptions
{
  // The bound of one read or write.
  Duration m_storeTimeout = Milliseconds(1000);
  // How long the node keeps one watch open. The bound here is this much and
  // `m_storeTimeout`.
  Duration m_storeWatchTimeout = Milliseconds(2000);
  // Between two reads by an instance that is no watcher and has a
  // configuration. Spread by up to a half.
  Duration m_readInterval = Milliseconds(60'000);
  // A peer that was asked for its configuration counts as silent after this
  // time; until then no other is asked for the same generation.
  Duration m_fetchTimeout = Milliseconds(1000);
  // Pauses between attempts grow from the first to the second.
  Duration m_minBackoff = Milliseconds(100);
  Duration m_maxBackoff = Milliseconds(2000);
  // The bound of one change.
  Duration m_changeTimeout = Milliseconds(8000);
  // Changes that may wait on this instance.
  size_t m_maxWaitingChanges = 64;
};

// From now on `m_configuration` is the one that new work follows.
struct PutInForce
{
  ConfigurationPtr m_configuration;
};

// Tell peers of this generation at once; those that are behind then ask for
// it.
struct OfferToPeers
{
  Generation m_generation = 0;
};

// Ask `m_peer` for its configuration.
struct FetchFromPeer
{
  InstanceId m_peer;
};

// Something an operator should know; for the log.
struct ConfigurationProblem
{
  enum class Kind
  {
    // A body that is no valid configuration.
    kUnreadable,
    // Another configuration with the generation that is in force.
    kDivergent,
    // The store answers an older generation than the one in force.
    kStoreBehind,
  };
  Kind m_kind = Kind::kUnreadable;
  // "store" or the peer's id.
  std::string m_source;
  std::string m_detail;
};

using ConfigurationAction = std::variant<ReadStore,
                                         WatchStore,
                                         WriteStore,
                                         PutInForce,
                                         OfferToPeers,
                                         FetchFromPeer,
                                         ChangeReply,
                                         ConfigurationProblem>;
using ConfigurationActions = std::vector<ConfigurationAction>;

class ConfigurationTracker
{
public:
  // `aRandom` spreads pauses and must outlive the tracker.
  ConfigurationTracker(const ConfigurationTrackerOptions& aOptions,
                       absl::BitGenRef aRandom);

  // Call once, before any other event.
  [[nodiscard]] ConfigurationActions Start(TimePoint aNow);

  // Whether this instance is among those that hold the store's watch.
  [[nodiscard]] ConfigurationActions SetWatcher(bool aWatcher, TimePoint aNow);

  // The reply to a ReadStore, WatchStore or WriteStore. Late and repeated
  // replies do no harm.
  [[nodiscard]] ConfigurationActions OnStoreReply(const StoreCallReply& aReply,
                                                  TimePoint aNow);

  // A peer's heartbeat said which generation is in force there.
  [[nodiscard]] ConfigurationActions OnPeerGeneration(const InstanceId& aPeer,
                                                      Generation aGeneration,
                                                      TimePoint aNow);

  // A peer sent its configuration, as `EncodeConfiguration` wrote it.
  [[nodiscard]] ConfigurationActions OnPeerConfiguration(
    const InstanceId& aPeer,
    std::string_view aBody,
    TimePoint aNow);

  // Starts a change, or queues it behind earlier ones. Exactly one ChangeReply
  // follows, at once or within `m_changeTimeout` of its start.
  [[nodiscard]] ConfigurationActions RequestChange(ChangeRequest aRequest,
                                                   TimePoint aNow);

  // Call when the time of `NextTimer` has come; calling early does no harm.
  [[nodiscard]] ConfigurationActions OnTimer(TimePoint aNow);

  // Returns when `OnTimer` is due, if at all.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  // Returns the configuration in force; null until one is known.
  [[nodiscard]] const ConfigurationPtr& InForce() const { return m_inForce; }
  [[nodiscard]] Generation InForceGeneration() const;

private:
  // A call to the store that has not been answered.
  struct PendingCall
  {
    StoreToken m_token = 0;
    TimePoint m_timeout;
  };
  // A call that recurs: the pending one, or when the next is due.
  struct RecurringCall
  {
    std::optional<PendingCall> m_pending;
    std::optional<TimePoint> m_due;
    Duration m_backoff{};
  };

  void PutInForceIfNewer(ConfigurationPtr aConfiguration,
                         const std::string& aSource,
                         ConfigurationActions& aActions);
  internal::CurrentRead ProcessReadReply(const StoreCallReply& aReply,
                                         ConfigurationActions& aActions);
  void OnReadDone(const internal::CurrentRead& aRead, TimePoint aNow);
  void OnWatchDone(const StoreCallReply& aReply,
                   const internal::CurrentRead& aRead,
                   TimePoint aNow);
  void OnCommitReply(const StoreCallReply& aReply,
                     const internal::CurrentRead& aRead,
                     TimePoint aNow,
                     ConfigurationActions& aActions);
  void ApplyCommitStep(internal::CommitStep aStep,
                       TimePoint aNow,
                       ConfigurationActions& aActions);
  void StartCommitCall(TimePoint aNow, ConfigurationActions& aActions);
  void EndCommit(TimePoint aNow, ConfigurationActions& aActions);
  void StartNextCommit(TimePoint aNow, ConfigurationActions& aActions);
  void TimeOutCalls(TimePoint aNow, ConfigurationActions& aActions);
  void StartDueCalls(TimePoint aNow, ConfigurationActions& aActions);
  void EndExpiredChanges(TimePoint aNow, ConfigurationActions& aActions);
  void ScheduleRead(TimePoint aNow);
  PendingCall NewCall(TimePoint aNow, Duration aTimeout);
  Duration NextBackoff(RecurringCall& aCall);

  struct WaitingChange
  {
    ChangeRequest m_request;
    TimePoint m_deadline;
  };

  ConfigurationTrackerOptions m_options;
  absl::BitGenRef m_random;
  ConfigurationPtr m_inForce;
  bool m_isWatcher = false;
  StoreToken m_lastToken = 0;
  // The store's version of the current configuration, as last seen.
  StoreVersion m_version = 0;
  // The last version whose body was reported as unreadable or old.
  std::optional<StoreVersion> m_reportedVersion;
  // The newest generation that a peer was asked for, and until when it may
  // answer.
  Generation m_fetchGeneration = 0;
  TimePoint m_fetchDeadline;
  RecurringCall m_read;
  RecurringCall m_watch;
  RecurringCall m_commitCall;
  std::optional<internal::ChangeCommit> m_commit;
  TimePoint m_commitDeadline;
  std::deque<WaitingChange> m_waiting;
};

} // namespace ebonykeel
