#include "core/routing/routing.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/random/distributions.h"

namespace ebonykeel {
namespace {

using Group = std::vector<const InstanceRecord*>;

bool
IsKnownTarget(const Configuration& aConfiguration, std::string_view aTarget)
{
  return std::ranges::any_of(aConfiguration.m_services,
                             [&](const ServiceConfig& aService) {
                               return aService.m_name.View() == aTarget ||
                                      aService.m_group.View() == aTarget;
                             });
}

// Draws two instances at random; removes and returns the less loaded one.
const InstanceRecord*
TakeLessLoadedOfTwo(Group& aGroup, absl::BitGenRef aBitGen)
{
  const size_t first = absl::Uniform<size_t>(aBitGen, 0, aGroup.size());
  const size_t second = absl::Uniform<size_t>(aBitGen, 0, aGroup.size());
  const bool secondIsLess = aGroup[second]->m_load < aGroup[first]->m_load;
  const size_t index = secondIsLess ? second : first;
  const InstanceRecord* taken = aGroup[index];
  aGroup[index] = aGroup.back();
  aGroup.pop_back();
  return taken;
}

// Returns the groups by preference: first the caller's data centre, then the
// others in random order.
std::vector<Group>
OrderByPreference(std::map<DataCentre, Group> aGroups,
                  const DataCentre& aCallerDataCentre,
                  absl::BitGenRef aBitGen)
{
  std::vector<Group> ordered;
  const auto own = aGroups.find(aCallerDataCentre);
  if (own != aGroups.end()) {
    ordered.push_back(std::move(own->second));
    aGroups.erase(own);
  }
  const size_t fixed = ordered.size();
  for (auto& [dataCentre, group] : aGroups) {
    ordered.push_back(std::move(group));
    const size_t other = absl::Uniform<size_t>(aBitGen, fixed, ordered.size());
    std::swap(ordered.back(), ordered[other]);
  }
  return ordered;
}

// Takes one instance from each data centre in turn until there are `aCount`.
std::vector<RoutedAddress>
TakeAcrossDataCentres(std::vector<Group> aGroups,
                      size_t aCount,
                      absl::BitGenRef aBitGen)
{
  std::vector<RoutedAddress> addresses;
  while (addresses.size() < aCount && !aGroups.empty()) {
    for (Group& group : aGroups) {
      if (addresses.size() == aCount) {
        break;
      }
      const InstanceRecord* record = TakeLessLoadedOfTwo(group, aBitGen);
      addresses.push_back({ .m_instance = record->m_id,
                            .m_publicAddress = record->m_publicAddress,
                            .m_dataCentre = record->m_dataCentre });
    }
    std::erase_if(aGroups, [](const Group& aGroup) { return aGroup.empty(); });
  }
  return addresses;
}

} // namespace

std::string_view
RoutingStatusName(RoutingStatus aStatus)
{
  switch (aStatus) {
    case RoutingStatus::kFound:
      return "found";
    case RoutingStatus::kUnknownTarget:
      return "unknown-target";
    case RoutingStatus::kNoConfiguration:
      return "no-configuration";
    case RoutingStatus::kAllWithdrawn:
      return "all-withdrawn";
    case RoutingStatus::kNoInstances:
      return "no-instances";
  }
  return "unknown";
}

RoutingAnswer
ChooseAddresses(const RoutingRequest& aRequest,
                const Configuration& aConfiguration,
                std::span<const RoutingCandidate> aCandidates,
                absl::BitGenRef aBitGen)
{
  RoutingAnswer answer{ .m_generation = aConfiguration.m_generation };
  if (aConfiguration.m_generation == 0) {
    answer.m_status = RoutingStatus::kNoConfiguration;
    return answer;
  }
  if (!IsKnownTarget(aConfiguration, aRequest.m_target)) {
    answer.m_status = RoutingStatus::kUnknownTarget;
    return answer;
  }
  std::map<DataCentre, Group> groups;
  bool anyWithdrawn = false;
  for (const RoutingCandidate& candidate : aCandidates) {
    const InstanceRecord& record = *candidate.m_record;
    if (record.m_state != InstanceState::kActive || candidate.m_suspected) {
      continue;
    }
    if (aConfiguration.m_withdrawnDataCentres.contains(record.m_dataCentre)) {
      anyWithdrawn = true;
      continue;
    }
    groups[record.m_dataCentre].push_back(&record);
  }
  if (groups.empty()) {
    answer.m_status =
      anyWithdrawn ? RoutingStatus::kAllWithdrawn : RoutingStatus::kNoInstances;
    return answer;
  }
  const size_t count =
    std::clamp(aRequest.m_count, size_t{ 1 }, kMaxAddressCount);
  answer.m_status = RoutingStatus::kFound;
  answer.m_lifetime = kAnswerLifetime;
  answer.m_addresses = TakeAcrossDataCentres(
    OrderByPreference(std::move(groups), aRequest.m_callerDataCentre, aBitGen),
    count,
    aBitGen);
  return answer;
}

} // namespace ebonykeel
