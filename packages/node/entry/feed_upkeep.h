// Watches the feeds of an instance: logs the eras of the store that they enter,
// ends what stays in force over a restore, and corrects their ages after a
// suspension of the process.
//
//   FeedUpkeep upkeep(loop, feeds, log);
//   if (upkeep.CheckEras()) { ... }  // the store came back from a copy
//   upkeep.ReleaseRetained([](FeedKind aKind, const FeedObject& aObject) {});
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "node/entry/protocol.h"
#include "node/entry/store_feeds.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

// Everything that is passed by reference must outlive it.
class FeedUpkeep
{
public:
  FeedUpkeep(UvLoop& aLoop, StoreFeeds& aFeeds, LineLog& aLog);

  // Logs which feeds have entered a later era; returns whether one is the first
  // of this instance in its era.
  bool CheckEras();
  // Calls `aApply` with what the store states in place of the objects that are
  // retained no longer; returns whether there was one.
  bool ReleaseRetained(
    const std::function<void(FeedKind, const FeedObject&)>& aApply);
  // Adds a suspension since the last call to the ages of the feeds; returns
  // whether there was one.
  bool CheckSuspension();

  // Returns the metrics in the Prometheus text format.
  [[nodiscard]] std::string RenderMetrics() const;

private:
  UvLoop& m_loop;
  StoreFeeds& m_feeds;
  LineLog& m_log;
  // The total time that the process was suspended, as of the last check.
  Duration m_suspendedTotal{};
  // The era of each feed; nothing before the feed was complete.
  std::array<std::optional<uint64_t>, kFeedKinds> m_eras;
  // How many later eras of the store this instance has entered.
  uint64_t m_eraChanges = 0;
};

} // namespace ebonykeel
