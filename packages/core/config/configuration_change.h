// Makes the next configuration out of the current one: pure functions, one for
// each change that operators can ask for.
//
//   ChangeMetadata metadata{ .m_author = "maite", .m_changeId = id };
//   ChangeResult result = SetDataCentre(current, DataCentre("oviedo"),
//                                       AvailabilityChange::kWithdraw,
//                                       metadata);
//   if (result.m_next) {
//     // Write *result.m_next under the condition that `current` still stands.
//   }
//
// Each result carries generation + 1. A change that would alter nothing is
// refused.
#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/base/finding.h"
#include "core/config/configuration.h"

namespace ebonykeel {

// Who makes a change and how it is recognised later. Author and summary are
// cut after `kMaxMetadataBytes`; a longer change id is refused.
struct ChangeMetadata
{
  std::string m_author;
  // Unique for each change; the same when one change is sent again.
  std::string m_changeId;
  // One line for the history; empty for a generated one.
  std::string m_summary;
  // Wall-clock time in milliseconds since 1970.
  int64_t m_unixMs = 0;
};

// Why a change was not made.
enum class ChangeRefusal
{
  kNone,
  // The current configuration already says so.
  kNoChange,
  // The change names something that does not exist.
  kNotFound,
  // The change was well formed, but its result would not be valid.
  kInvalid,
};

// Either the next configuration, or a refusal with its findings.
struct ChangeResult
{
  std::optional<Configuration> m_next;
  ChangeRefusal m_refusal = ChangeRefusal::kNone;
  Findings m_findings;
};

// A service and the file that describes it.
struct PublishedService
{
  std::string m_file;
  ServiceConfig m_service;
};

// What one publishing step brings.
struct Publication
{
  // Added, or put in the place of the service of the same name.
  std::vector<PublishedService> m_services;
  // Services that leave.
  std::vector<ServiceName> m_removed;
  // When not empty, an upstream in any other data centre is a finding, unless
  // the current configuration names it.
  std::set<DataCentre> m_knownDataCentres;
};

// Whether a data centre or upstream may receive new work.
enum class AvailabilityChange
{
  kRestore,
  kWithdraw,
};

// Returns the configuration with the services of `aPublication`. Findings name
// upstream ids and addresses that stand in two services, unknown data centres,
// and a result over `kMaxConfigurationBytes`. The marks of drained upstreams
// that no service names any more are dropped.
[[nodiscard]] ChangeResult
PublishServices(const Configuration& aCurrent,
                const Publication& aPublication,
                const ChangeMetadata& aMetadata);

// Takes the data centre out or puts it back. Taking out one that no upstream
// lives in is allowed if `aKnown` names it, since instances live there too.
[[nodiscard]] ChangeResult
SetDataCentre(const Configuration& aCurrent,
              const DataCentre& aDataCentre,
              AvailabilityChange aChange,
              const ChangeMetadata& aMetadata,
              const std::set<DataCentre>& aKnown = {});

// Drains the upstream or restores it.
[[nodiscard]] ChangeResult
SetUpstreamDrained(const Configuration& aCurrent,
                   const UpstreamId& aUpstream,
                   AvailabilityChange aChange,
                   const ChangeMetadata& aMetadata);

// Returns the contents of `aOld` under a new generation. Which data centres
// and upstreams are out stays as it is now: those marks follow the state of
// the machines, not the services.
[[nodiscard]] ChangeResult
Rollback(const Configuration& aCurrent,
         const Configuration& aOld,
         const ChangeMetadata& aMetadata);

} // namespace ebonykeel
