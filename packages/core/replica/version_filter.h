// Restricts the upstreams of a sub-request by the version of their software.
#pragma once

#include <span>
#include <string_view>

#include "core/base/time.h"
#include "core/replica/replica.h"

namespace ebonykeel {

// Which of two versions a sub-request's first attempt goes to.
enum class VersionChoice
{
  kUndecided,
  kCurrent,
  kTarget,
};

class VersionFilter
{
public:
  virtual ~VersionFilter() = default;
  // Returns those of a service's upstreams `aUsable` that an attempt may be
  // sent to, valid until the next call. `aChoice` belongs to the sub-request;
  // the first call decides it. `aIsFirst` says that the sub-request has made no
  // attempt yet.
  [[nodiscard]] virtual std::span<const ReplicaPtr> Filter(
    std::string_view aService,
    std::span<const ReplicaPtr> aUsable,
    VersionChoice& aChoice,
    bool aIsFirst,
    TimePoint aNow) = 0;
  // Returns what `Filter` would return for a first attempt, without counting
  // it. Valid until the next call of either.
  [[nodiscard]] virtual std::span<const ReplicaPtr> Preview(
    std::string_view aService,
    std::span<const ReplicaPtr> aUsable,
    VersionChoice& aChoice,
    TimePoint aNow) = 0;
};

} // namespace ebonykeel
