#include "core/config/configuration_change.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/config/address.h"
#include "core/config/configuration_json.h"
#include "core/config/limits.h"

namespace ebonykeel {
namespace {

ChangeResult
Refuse(ChangeRefusal aRefusal, std::string aKey, std::string aProblem)
{
  ChangeResult result;
  result.m_refusal = aRefusal;
  result.m_findings.push_back(
    { .m_key = std::move(aKey), .m_problem = std::move(aProblem) });
  return result;
}

// Truncates `aText` to `kMaxMetadataBytes` without splitting a UTF-8 sequence.
std::string
TruncateUtf8(const std::string& aText)
{
  if (aText.size() <= kMaxMetadataBytes) {
    return aText;
  }
  auto continues = [](char aByte) {
    return (static_cast<unsigned char>(aByte) & 0xC0U) == 0x80U;
  };
  size_t end = kMaxMetadataBytes;
  while (end > 0 && continues(aText[end])) {
    --end;
  }
  return aText.substr(0, end);
}

// Adds the history record of the change that produces `aNext`, and removes the
// oldest records beyond `kMaxHistory`.
void
AppendRecord(Configuration& aNext, int64_t aUnixMs)
{
  std::vector<ChangeRecord>& history = aNext.m_history;
  history.push_back({ aNext.m_generation,
                      aNext.m_changeId,
                      aNext.m_author,
                      aNext.m_summary,
                      aUnixMs });
  if (history.size() > kMaxHistory) {
    history.erase(history.begin(),
                  history.end() - static_cast<ptrdiff_t>(kMaxHistory));
  }
}

// Sets the generation and the metadata of `aNext` and appends its history
// record. Refuses a result that is too large or that cannot be decoded again.
ChangeResult
FinalizeChange(const Configuration& aCurrent,
               Configuration aNext,
               const ChangeMetadata& aMetadata,
               const std::string& aSummary)
{
  aNext.m_generation = aCurrent.m_generation + 1;
  aNext.m_changeId = aMetadata.m_changeId;
  aNext.m_author = TruncateUtf8(aMetadata.m_author);
  aNext.m_summary =
    TruncateUtf8(aMetadata.m_summary.empty() ? aSummary : aMetadata.m_summary);
  AppendRecord(aNext, aMetadata.m_unixMs);
  std::string body = EncodeConfiguration(aNext);
  if (body.size() > kMaxConfigurationBytes) {
    return Refuse(ChangeRefusal::kInvalid,
                  "services",
                  absl::StrCat("the configuration would take ",
                               body.size(),
                               " bytes, over the limit of ",
                               kMaxConfigurationBytes));
  }
  // A configuration that instances could not decode must never be written.
  absl::StatusOr<Configuration> readBack = DecodeConfiguration(body);
  if (!readBack.ok() || *readBack != aNext) {
    std::string reason(readBack.status().message());
    return Refuse(
      ChangeRefusal::kInvalid,
      "configuration",
      absl::StrCat("would not be read back as it is: ",
                   reason.empty() ? "a text is not UTF-8" : reason));
  }
  ChangeResult result;
  result.m_next = std::move(aNext);
  return result;
}

template<typename Visit>
void
ForEachUpstream(const ServiceConfig& aService, Visit aVisit)
{
  for (const ShardConfig& shard : aService.m_shards) {
    std::ranges::for_each(shard.m_replicas, aVisit);
  }
}

std::set<UpstreamId>
UpstreamIds(const Configuration& aConfiguration)
{
  std::set<UpstreamId> ids;
  for (const ServiceConfig& service : aConfiguration.m_services) {
    ForEachUpstream(service, [&](const UpstreamConfig& aUpstream) {
      ids.insert(aUpstream.m_id);
    });
  }
  return ids;
}

// Returns the data centres of all upstreams and the withdrawn data centres.
std::set<DataCentre>
DataCentres(const Configuration& aConfiguration)
{
  std::set<DataCentre> found = aConfiguration.m_withdrawnDataCentres;
  for (const ServiceConfig& service : aConfiguration.m_services) {
    ForEachUpstream(service, [&](const UpstreamConfig& aUpstream) {
      found.insert(aUpstream.m_dataCentre);
    });
  }
  return found;
}

// Checks that services do not conflict with each other: upstream ids and
// addresses belong to one service only, and data centres are known.
class CrossServiceCheck
{
public:
  CrossServiceCheck(const Configuration& aCurrent,
                    const Publication& aPublication,
                    Findings& aFindings)
    : m_publication(&aPublication)
    , m_findings(&aFindings)
  {
    if (!aPublication.m_knownDataCentres.empty()) {
      // A data centre whose instances are all down may be missing from
      // `m_knownDataCentres`; its services can still be changed.
      m_known = DataCentres(aCurrent);
      m_known.insert(aPublication.m_knownDataCentres.begin(),
                     aPublication.m_knownDataCentres.end());
    }
    for (const PublishedService& published : aPublication.m_services) {
      m_files[published.m_service.m_name] = published.m_file;
    }
  }

  void CheckService(const ServiceConfig& aService)
  {
    ForEachUpstream(aService, [&](const UpstreamConfig& aUpstream) {
      CheckUnique("upstream id", aUpstream.m_id.Text(), aService.m_name);
      CheckUnique("address",
                  FormatAddress({ aUpstream.m_host, aUpstream.m_port }),
                  aService.m_name);
      CheckDataCentre(aUpstream, aService.m_name);
    });
  }

  void CheckDuplicateNames()
  {
    std::map<ServiceName, std::string> seen;
    for (const PublishedService& published : m_publication->m_services) {
      auto [entry, inserted] =
        seen.try_emplace(published.m_service.m_name, published.m_file);
      if (!inserted) {
        Report(published.m_file,
               "name",
               absl::StrCat("\"",
                            published.m_service.m_name.Text(),
                            "\" is also described by ",
                            entry->second));
      }
    }
  }

private:
  void CheckUnique(std::string_view aWhat,
                   const std::string& aText,
                   const ServiceName& aService)
  {
    auto [entry, inserted] = m_firstServices.try_emplace(
      absl::StrCat(std::string(aWhat), " \"", aText, "\""), aService);
    if (inserted || entry->second == aService) {
      return;
    }
    // Reports the conflict in a published file. The other service may be part
    // of the current configuration and have no file.
    bool published = m_files.contains(aService);
    const ServiceName& reported = published ? aService : entry->second;
    const ServiceName& other = published ? entry->second : aService;
    Report(FileOf(reported),
           "shard.replicas",
           absl::StrCat(
             entry->first, " also belongs to service \"", other.Text(), "\""));
  }

  void CheckDataCentre(const UpstreamConfig& aUpstream,
                       const ServiceName& aService)
  {
    if (m_known.empty() || m_known.contains(aUpstream.m_dataCentre) ||
        !m_files.contains(aService)) {
      return;
    }
    std::string allowed;
    for (const DataCentre& dataCentre : m_known) {
      absl::StrAppend(&allowed, allowed.empty() ? "" : ", ", dataCentre.Text());
    }
    Report(FileOf(aService),
           "shard.replicas.data_centre",
           absl::StrCat("upstream \"",
                        aUpstream.m_id.Text(),
                        "\" is in the unknown data centre \"",
                        aUpstream.m_dataCentre.Text(),
                        "\""),
           std::move(allowed));
  }

  void Report(std::string aFile,
              std::string aKey,
              std::string aProblem,
              std::string aAllowed = {})
  {
    m_findings->push_back({ .m_place = { std::move(aFile) },
                            .m_key = std::move(aKey),
                            .m_problem = std::move(aProblem),
                            .m_allowed = std::move(aAllowed) });
  }

  [[nodiscard]] std::string FileOf(const ServiceName& aService) const
  {
    auto found = m_files.find(aService);
    return found == m_files.end() ? aService.Text() : found->second;
  }

  const Publication* m_publication;
  Findings* m_findings;
  // Known data centres; if empty, every data centre is allowed.
  std::set<DataCentre> m_known;
  // The file of each published service.
  std::map<ServiceName, std::string> m_files;
  // The first service that uses each upstream id and address.
  std::map<std::string, ServiceName> m_firstServices;
};

// Returns the current services with the changes of `aPublication` applied.
std::vector<ServiceConfig>
MergeServices(const Configuration& aCurrent, const Publication& aPublication)
{
  std::map<ServiceName, ServiceConfig> byName;
  for (const ServiceConfig& service : aCurrent.m_services) {
    byName[service.m_name] = service;
  }
  for (const ServiceName& removed : aPublication.m_removed) {
    byName.erase(removed);
  }
  for (const PublishedService& published : aPublication.m_services) {
    byName[published.m_service.m_name] = published.m_service;
  }
  std::vector<ServiceConfig> services;
  services.reserve(byName.size());
  for (auto& [name, service] : byName) {
    services.push_back(std::move(service));
  }
  return services;
}

// Returns the drained upstreams that a service of `aNext` still lists.
std::set<UpstreamId>
RetainKnownUpstreams(const std::set<UpstreamId>& aDrained,
                     const Configuration& aNext)
{
  std::set<UpstreamId> known = UpstreamIds(aNext);
  std::set<UpstreamId> kept;
  std::ranges::set_intersection(
    aDrained, known, std::inserter(kept, kept.end()));
  return kept;
}

// Returns a refusal if a service to remove does not exist, otherwise nullopt.
std::optional<ChangeResult>
CheckRemoved(const Configuration& aCurrent, const Publication& aPublication)
{
  for (const ServiceName& removed : aPublication.m_removed) {
    if (!aCurrent.FindService(removed)) {
      return Refuse(ChangeRefusal::kNotFound,
                    "removed",
                    absl::StrCat("no service \"", removed.Text(), "\""));
    }
  }
  return std::nullopt;
}

} // namespace

ChangeResult
PublishServices(const Configuration& aCurrent,
                const Publication& aPublication,
                const ChangeMetadata& aMetadata)
{
  if (std::optional<ChangeResult> refused =
        CheckRemoved(aCurrent, aPublication)) {
    return *refused;
  }
  Configuration next = aCurrent;
  next.m_services = MergeServices(aCurrent, aPublication);
  ChangeResult checked;
  CrossServiceCheck check(aCurrent, aPublication, checked.m_findings);
  check.CheckDuplicateNames();
  for (const ServiceConfig& service : next.m_services) {
    check.CheckService(service);
  }
  if (!checked.m_findings.empty()) {
    checked.m_refusal = ChangeRefusal::kInvalid;
    return checked;
  }
  if (next.m_services == aCurrent.m_services) {
    return Refuse(ChangeRefusal::kNoChange,
                  "services",
                  "all of these services are in force already");
  }
  next.m_drainedUpstreams =
    RetainKnownUpstreams(aCurrent.m_drainedUpstreams, next);
  return FinalizeChange(aCurrent,
                        std::move(next),
                        aMetadata,
                        absl::StrCat("publish ",
                                     aPublication.m_services.size(),
                                     " services, remove ",
                                     aPublication.m_removed.size()));
}

ChangeResult
SetDataCentre(const Configuration& aCurrent,
              const DataCentre& aDataCentre,
              AvailabilityChange aChange,
              const ChangeMetadata& aMetadata,
              const std::set<DataCentre>& aKnown)
{
  bool withdraw = aChange == AvailabilityChange::kWithdraw;
  bool isWithdrawn = aCurrent.m_withdrawnDataCentres.contains(aDataCentre);
  bool known =
    aKnown.contains(aDataCentre) || DataCentres(aCurrent).contains(aDataCentre);
  if (!known) {
    return Refuse(ChangeRefusal::kNotFound,
                  "data_centre",
                  absl::StrCat("no data centre \"", aDataCentre.Text(), "\""));
  }
  if (withdraw == isWithdrawn) {
    return Refuse(ChangeRefusal::kNoChange,
                  "data_centre",
                  absl::StrCat("\"",
                               aDataCentre.Text(),
                               "\" is ",
                               withdraw ? "out" : "in",
                               " already"));
  }
  Configuration next = aCurrent;
  if (withdraw) {
    next.m_withdrawnDataCentres.insert(aDataCentre);
  } else {
    next.m_withdrawnDataCentres.erase(aDataCentre);
  }
  return FinalizeChange(aCurrent,
                        std::move(next),
                        aMetadata,
                        absl::StrCat("data centre ",
                                     aDataCentre.Text(),
                                     withdraw ? " out" : " in"));
}

ChangeResult
SetUpstreamDrained(const Configuration& aCurrent,
                   const UpstreamId& aUpstream,
                   AvailabilityChange aChange,
                   const ChangeMetadata& aMetadata)
{
  bool drain = aChange == AvailabilityChange::kWithdraw;
  if (!UpstreamIds(aCurrent).contains(aUpstream)) {
    return Refuse(ChangeRefusal::kNotFound,
                  "upstream",
                  absl::StrCat("no upstream \"", aUpstream.Text(), "\""));
  }
  if (drain == aCurrent.m_drainedUpstreams.contains(aUpstream)) {
    return Refuse(
      ChangeRefusal::kNoChange,
      "upstream",
      absl::StrCat("\"",
                   aUpstream.Text(),
                   drain ? "\" is drained already" : "\" is not drained"));
  }
  Configuration next = aCurrent;
  if (drain) {
    next.m_drainedUpstreams.insert(aUpstream);
  } else {
    next.m_drainedUpstreams.erase(aUpstream);
  }
  return FinalizeChange(
    aCurrent,
    std::move(next),
    aMetadata,
    absl::StrCat(drain ? "drain " : "restore ", aUpstream.Text()));
}

ChangeResult
Rollback(const Configuration& aCurrent,
         const Configuration& aOld,
         const ChangeMetadata& aMetadata)
{
  if (aOld.m_generation >= aCurrent.m_generation) {
    return Refuse(ChangeRefusal::kNotFound,
                  "generation",
                  absl::StrCat("generation ",
                               aOld.m_generation,
                               " is not older than the current ",
                               aCurrent.m_generation));
  }
  if (aOld.m_services == aCurrent.m_services) {
    return Refuse(ChangeRefusal::kNoChange,
                  "generation",
                  absl::StrCat("the services of generation ",
                               aOld.m_generation,
                               " are in force already"));
  }
  Configuration next = aCurrent;
  next.m_services = aOld.m_services;
  next.m_drainedUpstreams =
    RetainKnownUpstreams(aCurrent.m_drainedUpstreams, next);
  return FinalizeChange(
    aCurrent,
    std::move(next),
    aMetadata,
    absl::StrCat("roll back to generation ", aOld.m_generation));
}

} // namespace ebonykeel
