// Decides which configuration is in force on this instance, and carries out the
// changes that operators request from it.
//
// The tracker is a deterministic state machine without I/O: each event is
// passed with the current time and returns the actions to perform, in order.
//
//   ConfigurationTracker tracker({}, random);
//   for (ConfigurationAction& action : tracker.Start(now)) {
//     std::visit(perform, action);
//   }
//   // Then call the On... method of each event, and OnTimer() at NextTimer().
//
// Guarantees:
// - The generation in force never decreases, whatever the store and peers send.
// - Bytes that are not a valid configuration never replace the one in force.
// - If several changes compete for one generation, the store accepts only one.
//   The others end with a conflict or are applied to the accepted
//   configuration.
// - A newer configuration is fetched from a peer if the store is unavailable.
//
// Only a few instances, the watchers, hold a watch on the store, so that the
// number of store calls does not grow with the number of instances. The others
// receive changes from their peers and read the store rarely. The tracker
// limits the duration of each store call itself, independently of the timeouts
// of the code that performs the calls.
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
  // Timeout of one read or write.
  Duration m_storeTimeout = Milliseconds(1000);
  // How long the instance keeps one watch open. The tracker's own timeout of a
  // watch is the sum of this and `m_storeTimeout`.
  Duration m_storeWatchTimeout = Milliseconds(2000);
  // Time between two regular reads of the store. Jitter extends it by up to
  // one half.
  Duration m_readInterval = Milliseconds(60'000);
  // Time that a peer has to return its configuration. Until it is over, no
  // other peer is asked for the same or an older generation.
  Duration m_fetchTimeout = Milliseconds(1000);
  // The exponential backoff between failed calls grows from the minimum to the
  // maximum.
  Duration m_minBackoff = Milliseconds(100);
  Duration m_maxBackoff = Milliseconds(2000);
  // Timeout of one change, including the time that it waits for earlier
  // changes.
  Duration m_changeTimeout = Milliseconds(8000);
  // Maximum number of changes that wait on this instance.
  size_t m_maxWaitingChanges = 64;
};

// New work uses `m_configuration` from now on.
struct PutInForce
{
  ConfigurationPtr m_configuration;
};

// Announces this generation to peers at once. Peers with an older one then
// fetch it.
struct OfferToPeers
{
  Generation m_generation = 0;
};

// Requests the configuration that is in force on `m_peer`.
struct FetchFromPeer
{
  InstanceId m_peer;
};

// A problem to write to the log for operators.
struct ConfigurationProblem
{
  enum class Kind
  {
    // A body is not a valid configuration.
    kUnreadable,
    // A different configuration has the same generation as the one in force.
    kDivergent,
    // The store returned an older generation than the one in force.
    kStoreBehind,
  };
  Kind m_kind = Kind::kUnreadable;
  // Where the configuration came from: "store" or the id of a peer.
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
  // `aRandom` provides the jitter of intervals and backoff. It must outlive the
  // tracker.
  ConfigurationTracker(const ConfigurationTrackerOptions& aOptions,
                       absl::BitGenRef aRandom);

  // Must be called once, before any other event.
  [[nodiscard]] ConfigurationActions Start(TimePoint aNow);

  // Sets whether this instance holds a watch on the store.
  [[nodiscard]] ConfigurationActions SetWatcher(bool aWatcher, TimePoint aNow);

  // Called with the reply to a ReadStore, WatchStore or WriteStore. Late and
  // duplicate replies are tolerated.
  [[nodiscard]] ConfigurationActions OnStoreReply(const StoreCallReply& aReply,
                                                  TimePoint aNow);

  // Called when a peer reports the generation that is in force there.
  [[nodiscard]] ConfigurationActions OnPeerGeneration(const InstanceId& aPeer,
                                                      Generation aGeneration,
                                                      TimePoint aNow);

  // Called when a peer has sent its configuration, in the encoding of
  // `EncodeConfiguration`.
  [[nodiscard]] ConfigurationActions OnPeerConfiguration(
    const InstanceId& aPeer,
    std::string_view aBody,
    TimePoint aNow);

  // Starts a change, or queues it behind earlier ones. Exactly one ChangeReply
  // follows, at the latest at the first OnTimer() after `m_changeTimeout`.
  [[nodiscard]] ConfigurationActions RequestChange(ChangeRequest aRequest,
                                                   TimePoint aNow);

  // Must be called at the time that `NextTimer` returns. Calls before that time
  // are harmless.
  [[nodiscard]] ConfigurationActions OnTimer(TimePoint aNow);

  // Returns the time at which `OnTimer` must be called next, if any.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  // Returns the configuration in force, or null before the first one.
  [[nodiscard]] const ConfigurationPtr& InForce() const { return m_inForce; }
  [[nodiscard]] Generation InForceGeneration() const;

private:
  // A call to the store whose reply is outstanding.
  struct PendingCall
  {
    StoreToken m_token = 0;
    TimePoint m_timeout;
  };
  // A call that is made repeatedly: the pending call, or the time at which the
  // next one is due.
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
  // The last version of the current configuration that the store returned.
  StoreVersion m_version = 0;
  // The last version that was reported as unreadable or as behind; avoids
  // reporting it again.
  std::optional<StoreVersion> m_reportedVersion;
  // The generation that was last requested from a peer, and the time until
  // which the peer may reply.
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
