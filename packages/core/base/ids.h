// Distinct types for the names that travel through the system, so that a
// shard's name cannot be passed where an upstream's is expected.
//
//   UpstreamId id("vd-03-a");
//   std::string_view text = id.View();
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace ebonykeel {

// A string with a type of its own. `Tag` only tells the types apart. Value
// type; ordered and hashable.
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aText)
    : m_text(std::move(aText))
  {
  }
  explicit StrongId(std::string_view aText)
    : m_text(aText)
  {
  }
  explicit StrongId(const char* aText)
    : m_text(aText)
  {
  }

  [[nodiscard]] const std::string& Text() const { return m_text; }
  [[nodiscard]] std::string_view View() const { return m_text; }
  [[nodiscard]] bool empty() const { return m_text.empty(); }

  friend std::strong_ordering operator<=>(const StrongId& aLeft,
                                          const StrongId& aRight)
  {
    return aLeft.m_text <=> aRight.m_text;
  }
  friend bool operator==(const StrongId&, const StrongId&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const StrongId& aId)
  {
    return H::combine(std::move(aState), aId.m_text);
  }

private:
  std::string m_text;
};

// A query service, as named in its service file.
using ServiceName = StrongId<struct ServiceNameTag>;
// A set of services that callers query together.
using GroupName = StrongId<struct GroupNameTag>;
// A shard of a service, unique within one index version of the service.
using ShardName = StrongId<struct ShardNameTag>;
// A searcher: one server process that holds one replica of a shard. Unique
// across all services.
using UpstreamId = StrongId<struct UpstreamIdTag>;
// One process of `ebonykeeld`.
using InstanceId = StrongId<struct InstanceIdTag>;
// A data centre (a zone of the platform).
using DataCentre = StrongId<struct DataCentreTag>;
// A region: data centres that stay connected when regions lose each other.
using Region = StrongId<struct RegionTag>;
// Whoever sends requests, as it names itself.
using CallerName = StrongId<struct CallerNameTag>;
// A caller's own name for one request, unique for that caller.
using RequestId = StrongId<struct RequestIdTag>;

// The number of a configuration. Only grows; 0 means none known yet.
using Generation = uint64_t;
// The number of an index snapshot of one service.
using IndexVersion = uint64_t;
// Distinguishes two runs of the same process name and address.
using BootId = uint64_t;

} // namespace ebonykeel
