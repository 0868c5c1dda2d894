// How old the view of the registered upstreams is.
#pragma once

#include "core/base/time.h"

namespace ebonykeel {

// Provides the age of the feed of registrations.
class ReplicaFeedAge
{
public:
  virtual ~ReplicaFeedAge() = default;
  [[nodiscard]] virtual Duration FeedAge() const = 0;
};

} // namespace ebonykeel
