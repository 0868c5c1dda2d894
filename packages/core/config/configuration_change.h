// Derives the next configuration from the current one. There is one pure
// function for each kind of change that an operator can request.
//
//   ChangeMetadata metadata{ .m_author = "maite", .m_changeId = id };
//   ChangeResult result = SetDataCentre(current, DataCentre("oviedo"),
//                                       AvailabilityChange::kWithdraw,
//                                       metadata);
//   if (result.m_next) {
//     // Write *result.m_next if `current` is still the current configuration.
//   }
//
// The result has the generation after the current one. A change that would not
// modify the configuration is refused.
#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/base/finding.h"
#include "core/config/configuration.h"

namespace ebonykeel {

// Describes and identifies a change. Author and summary are truncated to
// `kMaxMetadataBytes`; a longer change id is refused.
struct ChangeMetadata
{
  std::string m_author;
  // Unique for each change. A request that is sent again has the same id.
  std::string m_changeId;
  // One line for the history. If empty, a summary is generated.
  std::string m_summary;
  // Wall-clock time in milliseconds since 1970.
  int64_t m_unixMs = 0;
};

// Why a change was not made.
enum class ChangeRefusal
{
  kNone,
  // The change would not modify the current configuration.
  kNoChange,
  // The change refers to something that does not exist.
  kNotFound,
  // The change is well formed, but the resulting configuration would be
  // invalid.
  kInvalid,
};

// Either the next configuration, or a refusal with its findings.
struct ChangeResult
{
  std::optional<Configuration> m_next;
  ChangeRefusal m_refusal = ChangeRefusal::kNone;
  Findings m_findings;
};

// A service and the name of the file that describes it.
struct PublishedService
{
  std::string m_file;
  ServiceConfig m_service;
};

// The services that one change publishes and removes.
struct Publication
{
  // Services to add, or to replace if a service of the same name exists.
  std::vector<PublishedService> m_services;
  // Services to remove.
  std::vector<ServiceName> m_removed;
  // If not empty, an upstream in a data centre that is neither listed here nor
  // named in the current configuration is reported as a finding.
  std::set<DataCentre> m_knownDataCentres;
};

// Whether to stop sending new work to a data centre or upstream, or to resume.
enum class AvailabilityChange
{
  kRestore,
  kWithdraw,
};

// Returns the configuration with the services of `aPublication`. Findings
// report upstream ids and addresses that two services share, services that are
// described twice, unknown data centres, and a result larger than
// `kMaxConfigurationBytes`. Drained upstreams that no service lists any more
// are removed from `m_drainedUpstreams`.
[[nodiscard]] ChangeResult
PublishServices(const Configuration& aCurrent,
                const Publication& aPublication,
                const ChangeMetadata& aMetadata);

// Withdraws the data centre or restores it. A data centre without upstreams can
// be changed if `aKnown` contains it, since instances may run there.
[[nodiscard]] ChangeResult
SetDataCentre(const Configuration& aCurrent,
              const DataCentre& aDataCentre,
              AvailabilityChange aChange,
              const ChangeMetadata& aMetadata,
              const std::set<DataCentre>& aKnown = {});

// Drains the upstream (`kWithdraw`) or restores it.
[[nodiscard]] ChangeResult
SetUpstreamDrained(const Configuration& aCurrent,
                   const UpstreamId& aUpstream,
                   AvailabilityChange aChange,
                   const ChangeMetadata& aMetadata);

// Returns the services of `aOld` under a new generation. Withdrawn data centres
// and drained upstreams stay as in `aCurrent`, since they reflect the present
// state of the hardware and not of the services.
[[nodiscard]] ChangeResult
Rollback(const Configuration& aCurrent,
         const Configuration& aOld,
         const ChangeMetadata& aMetadata);

} // namespace ebonykeel
