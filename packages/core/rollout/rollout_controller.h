// The stages and the verdict of one order, on the instance that controls it.
//
//   RolloutController controller(entry, options, seenAt, now);
//   controller.OnReport(host, report, now);
//   controller.OnTimer(surroundings, now);
//   if (auto call = controller.TakeCall(now)) {
//     // Write the status or read the entry; then OnCallAnswered or OnCallLost.
//   }
//   controller.BeginAnnouncements(now);
//   send(host, controller.MakeAnnouncement(host, now));
//
// The status is written under the revision of the entry that the controller
// knows, and the entry is read again whenever the result of a write is unknown.
// So at most one final state is written, whoever else controls the order. A
// store that comes back from a copy gives revisions out again, so that a
// condition on one of an earlier era may hold by accident: then the entry is
// read first, too. A state that the copy lacks is written again.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/rollout/report_collector.h"
#include "core/rollout/rollout.h"
#include "core/rollout/version_comparison.h"

namespace ebonykeel {

struct RolloutControllerOptions
{
  RolloutLimits m_limits;
  // Identifies the process run of the controller.
  uint64_t m_process = 0;
  // The shares of the stages canary and ramp, in multiples of the exposure
  // share. With the default ends, 0.5 * 0.5 + 0.2 * 2.5 = 0.75 of the exposure
  // share is used over the duration.
  double m_canaryPart = 0.5;
  double m_rampPart = 2.5;
  // The part of the exposure slack that is granted in the stage canary, so that
  // the test has answers soon also where requests are few.
  double m_earlyPart = 0.4;
  // The answers of the current version to compare with that must be known
  // before, and the part of the duration after which fewer suffice.
  uint64_t m_minBaseline = 60;
  double m_earlyStart = 0.1;
  // The most requests that are granted to one instance at a time.
  uint32_t m_maxGrant = 4;
  // The ends of the stages canary and ramp, as parts of the duration.
  double m_canaryEnd = 0.5;
  double m_rampEnd = 0.7;
  // How long a new controller of a running order waits for reports.
  Duration m_settleTime = Milliseconds(1500);
  // The delay before a call to the store is repeated.
  Duration m_callRetryDelay = Milliseconds(500);
  // A report counts for the end of the stage full if it applies an announcement
  // that is at most this old: it stays in use for as long again.
  Duration m_maxAppliedAge = kAnnouncementLifetime / 2;
  // How long the stage full is kept while the result of writing "completed" is
  // unknown.
  Duration m_unknownCompletion = Seconds(2);
  // While more instances are lost than are in contact, "completed" is not
  // written before this part of the duration: the others may send requests to
  // the current version.
  double m_minorityWait = 0.9;
  // A target version that got no answer of so many requests to the service is
  // not given all of them.
  uint64_t m_minRequests = 20;
};

// What the controller's instance knows of the fleet, the store and upstreams.
struct RolloutSurroundings
{
  // The instances in contact, this one included.
  std::vector<std::string> m_liveHosts;
  // The number of instances that were lost and may still run.
  size_t m_lostInstances = 0;
  bool m_storeReachable = true;
  // The target version has a usable upstream.
  bool m_hasTarget = true;
  // The newest era of the store that is known.
  uint64_t m_storeEra = 0;
};

// A call to the store that the controller wants.
struct RolloutCall
{
  // Reads the entry if there is none to write.
  std::optional<RolloutState> m_write;
  // That of the entry to write.
  StorePosition m_position;
};

class RolloutController
{
public:
  // `aSeenAt` is when the order was first seen. An order that is running
  // already is taken over from another controller.
  RolloutController(RolloutEntry aEntry,
                    RolloutControllerOptions aOptions,
                    TimePoint aSeenAt,
                    TimePoint aNow);

  // Adopts a later entry of the same order.
  void SetEntry(const RolloutEntry& aEntry);
  void OnReport(const std::string& aHost,
                const RolloutReport& aReport,
                TimePoint aNow);
  void OnTimer(const RolloutSurroundings& aSurroundings, TimePoint aNow);
  // Returns to the stage canary after a time in which the process did not run:
  // others may have found the version bad meanwhile.
  void OnSuspended(TimePoint aNow);

  // Returns the next call to make, at most one at a time.
  [[nodiscard]] std::optional<RolloutCall> TakeCall(TimePoint aNow);
  // The store answered with the entry; `aIsWritten` if it was written.
  void OnCallAnswered(const RolloutEntry& aEntry, bool aIsWritten);
  // The store answered that it has no entry. Whether the order is over is not
  // the controller's decision: the entry may be missing in the copy with which
  // the store returned.
  void OnEntryMissing(TimePoint aNow);
  // The result of the call is unknown.
  void OnCallLost(TimePoint aNow);

  // Returns whether instances have to learn of a change at once.
  [[nodiscard]] bool TakeChanged();
  // Begins a round of announcements.
  void BeginAnnouncements(TimePoint aNow);
  [[nodiscard]] RolloutAnnouncement MakeAnnouncement(const std::string& aHost,
                                                     TimePoint aNow) const;

  [[nodiscard]] const RolloutEntry& Entry() const { return m_entry; }
  [[nodiscard]] RolloutStage Stage() const { return m_stage; }
  [[nodiscard]] double Share() const;
  // Returns why the version is rolled back, a stable word; empty if it is not.
  [[nodiscard]] std::string_view Reason() const { return m_reason; }
  [[nodiscard]] const ReportCollector& Reports() const { return m_reports; }
  [[nodiscard]] const VersionComparison& Comparison() const
  {
    return m_comparison;
  }

private:
  [[nodiscard]] TimePoint At(double aPart) const;
  void Decide(TimePoint aNow);
  void DecideAtRampEnd(bool aHasAnswers);
  void RollBack(std::string_view aReason);
  [[nodiscard]] bool IsStoreAway() const;
  [[nodiscard]] bool IsSettled(TimePoint aNow) const;
  // Returns whether every instance in contact sends everything to the target
  // version and waits for no other.
  [[nodiscard]] bool MayComplete(TimePoint aNow) const;
  void Grant(const std::string& aHost,
             const RolloutReport& aReport,
             TimePoint aNow);
  // Returns how many more requests may be granted.
  [[nodiscard]] uint32_t GrantsLeft(TimePoint aNow) const;
  [[nodiscard]] std::optional<RolloutState> WantedState() const;

  RolloutEntry m_entry;
  RolloutControllerOptions m_options;
  TimePoint m_seenAt;
  TimePoint m_since;
  bool m_takenOver;
  RolloutStage m_stage = RolloutStage::kWaiting;
  std::string_view m_reason;
  RolloutSurroundings m_surroundings;
  ReportCollector m_reports;
  VersionComparison m_comparison;
  bool m_mayComplete = false;
  // Whether the share is 0 for now: until a new controller has had time to get
  // reports, and while the store cannot be called and instances are lost.
  bool m_isHeld = false;

  // Whether this controller wrote "running", so that no other had granted
  // requests before.
  bool m_isFirst = false;
  struct GrantRecord
  {
    uint64_t m_processStart = 0;
    uint32_t m_count = 0;
  };
  std::map<std::string, GrantRecord> m_grants;
  // Granted to process runs that have ended.
  uint32_t m_endedGrants = 0;

  bool m_callOpen = false;
  // Whether the latest call was to write "running" for the first time.
  bool m_isTakingUp = false;
  bool m_mustRead = false;
  bool m_callLost = false;
  TimePoint m_nextCall;
  std::optional<TimePoint> m_completionUnknownSince;

  bool m_changed = true;
  double m_lastShare = 0;
  uint64_t m_sequence = 0;
  // When the latest rounds of announcements with the whole share began.
  std::deque<std::pair<uint64_t, TimePoint>> m_fullRounds;
};

} // namespace ebonykeel
