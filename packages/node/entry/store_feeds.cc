#include "node/entry/store_feeds.h"

#include <optional>

namespace ebonykeel {
namespace {

// The configuration never goes back in one run of a process.
constexpr RetentionOptions kConfigurationRetention{ .m_laterHold =
                                                      std::nullopt };
// Upstreams are back within two seconds of the store's return, and this
// instance learns it somewhat later. The store removes the registration of an
// upstream that is gone after three heartbeats; one that is draining writes it
// again sooner.
constexpr RetentionOptions kReplicaRetention{ .m_missingHold = Seconds(3),
                                              .m_laterHold = Seconds(10) };
// A data centre without requests for some seconds is the safer error.
constexpr RetentionOptions kExclusionRetention{ .m_missingHold = Seconds(5) };

} // namespace

StoreFeeds
MakeStoreFeeds()
{
  return { ObjectFeed(kConfigurationRetention),
           ObjectFeed(kReplicaRetention),
           ObjectFeed(kExclusionRetention),
           ObjectFeed() };
}

} // namespace ebonykeel
