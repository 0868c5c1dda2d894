// Numbered log events, written through glog.
//
// Every event has a number that never changes, a severity and a catalogue
// entry; docs/EVENTS.md is the rendered catalogue and a test compares the two.
//
//   LogEvent(Event::kInstanceStarted, { { "id", "entry-01" } });
//   // EK1001 node_started id=entry-01
#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace ebonykeel {

enum class Event
{
  kInstanceStarted = 1001,
  kInstanceStopping = 1002,
  kInstanceStopped = 1003,
  kSettingsRefused = 1004,
  kListenFailed = 1005,
  kSettingsReloaded = 1006,
  kSuspended = 1007,
  kLinesDropped = 1008,
  kMemberChanged = 1101,
  kLeaseLost = 1102,
  kLeaseGained = 1103,
  kOwnershipChanged = 1201,
  kUpstreamCold = 1202,
  kUpstreamBadAnswer = 1203,
  kReplicaChanged = 1204,
  kReplicaRemoved = 1205,
  kReplicaUnreachable = 1206,
  kDataCentresExcluded = 1207,
  kReplicaSuspended = 1208,
  kReplicaResumed = 1209,
  kRetryAfterUnreadable = 1210,
  kConfigurationInForce = 1301,
  kConfigurationRefused = 1302,
  kConfigurationAccepted = 1303,
  kChangeConflict = 1304,
  kStoreFailed = 1401,
  kStoreRecovered = 1402,
  kReaderRoleChanged = 1403,
  kHistoryLost = 1404,
  kRemovalsReleased = 1405,
  kFeedMerged = 1406,
  kChangesUnseen = 1407,
  kObjectUnreadable = 1408,
  kRevisionBehind = 1409,
  kStoreEraChanged = 1410,
  kRolloutSeen = 1411,
  kRolloutStage = 1412,
  kRolloutStatusWritten = 1413,
  kRolloutStopped = 1414,
  kRolloutEnded = 1415,
  kFeedEraEntered = 1416,
  kRetainedReleased = 1417,
  kPositionGivenUp = 1418,
  kQueryRefused = 1501,
  kQueryPartial = 1502,
  kFilingUnknown = 1601,
  kFilingRefused = 1602,
  kPeerFailed = 1701,
  kBadRequest = 1801,
  kAdminRefused = 1802,
  kForwardEnded = 1901,
  kForwardAbandoned = 1902,
  kForwardNoRoute = 1903,
  kForwardStarted = 1904,
  kReachabilityChanged = 1905,
  kAccessRefused = 1906,
  kGranterRoleChanged = 2001,
};

enum class Severity
{
  kInfo,
  kWarning,
  kError,
};

// The catalogue entry of one event.
struct EventInfo
{
  Event m_event;
  Severity m_severity;
  // The printed name: stable, in snake_case. The enumerator may differ from it.
  std::string_view m_name;
  std::string_view m_meaning;
  // The names of the event's fields, separated by spaces.
  std::string_view m_fields;
};

// Returns every event, in ascending order of numbers.
[[nodiscard]] std::span<const EventInfo>
EventCatalogue();

// Returns the catalogue as a Markdown page.
[[nodiscard]] std::string
RenderEventCatalogue();

struct EventField
{
  std::string_view m_key;
  std::string m_value;
};

// Returns the line that `LogEvent` writes. Values with spaces, quotes, equals
// signs or control characters are quoted and escaped.
[[nodiscard]] std::string
FormatEvent(Event aEvent, std::span<const EventField> aFields);

// Writes one event at its severity.
void
LogEvent(Event aEvent, std::initializer_list<EventField> aFields);

struct LogOptions
{
  std::string m_program;
  // The folder of the log files, which must exist; empty for standard error.
  std::string m_folder;
  // The lowest severity that is written: 0 info, 1 warning, 2 error.
  int m_minLevel = 0;
  int m_verbosity = 0;
};

// Initializes glog. Must be called once, before the first event.
void
InitializeLogging(const LogOptions& aOptions);

} // namespace ebonykeel
