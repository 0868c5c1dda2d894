// Distinct types for identifiers, so that a shard's name cannot be passed where
// an upstream's ID is expected.
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

// A string with a type of its own. `Tag` only distinguishes the types. Value
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

// A query service, by the name in its service file.
using ServiceName = StrongId<struct ServiceNameTag>;
// A set of services that callers query together.
using GroupName = StrongId<struct GroupNameTag>;
// A shard of a service, unique within one index version of the service.
using ShardName = StrongId<struct ShardNameTag>;
// An upstream: one server process that holds one replica of a shard. Unique
// across all services.
using UpstreamId = StrongId<struct UpstreamIdTag>;
// One process of `ebonykeeld`.
using InstanceId = StrongId<struct InstanceIdTag>;
// A data centre (a zone of the platform).
using DataCentre = StrongId<struct DataCentreTag>;
// A region: data centres that stay connected to each other when the connection
// between regions is lost.
using Region = StrongId<struct RegionTag>;
// A sender of requests, by the name that it states for itself.
using CallerName = StrongId<struct CallerNameTag>;
// A caller's identifier for one request, unique for that caller.
using RequestId = StrongId<struct RequestIdTag>;

// The number of a configuration. Only increases; 0 means that none is known
// yet.
using Generation = uint64_t;
// The number of an index snapshot of one service.
using IndexVersion = uint64_t;
// Distinguishes two process runs with the same name and address.
using BootId = uint64_t;

} // namespace ebonykeel
