// The feeds of all kinds of the store's objects that an instance keeps.
#pragma once

#include <array>

#include "core/feed/object_feed.h"
#include "node/entry/protocol.h"

namespace ebonykeel {

// In the order of `FeedKind`.
using StoreFeeds = std::array<ObjectFeed, kFeedKinds>;

// Returns empty feeds, each with the retention of its kind.
[[nodiscard]] StoreFeeds
MakeStoreFeeds();

} // namespace ebonykeel
