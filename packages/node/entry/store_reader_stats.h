// Counts and logs what the store states about its revisions to its reader.
//
//   StoreReaderStats stats(log);
//   stats.OnWatchBegun(FeedKind::kExclusions);
//   stats.OnHistoryLost(FeedKind::kExclusions, 120);
//   stats.OnRevisionStated(FeedKind::kExclusions, 105, 120);  // ignored
//   std::string text = stats.Render();
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "node/entry/protocol.h"
#include "runtime/log/line_log.h"

namespace ebonykeel {

// The log must outlive it.
class StoreReaderStats
{
public:
  explicit StoreReaderStats(LineLog& aLog)
    : m_log(aLog)
  {
  }

  // Records the call of the first page of a list.
  void OnListBegun(FeedKind aKind) { ++Of(aKind).m_lists; }
  void OnWatchBegun(FeedKind aKind) { ++Of(aKind).m_watches; }
  // Records that the store no longer has the changes after `aSince`, at which a
  // watch began.
  void OnHistoryLost(FeedKind aKind, uint64_t aSince);
  // Records the revision that a complete list or a watch's answer stated,
  // before the feed, which is complete to `aKnown`, takes it. An older one is
  // ignored by the feed and counted here. Of several in a row only the first
  // is logged, since lists may be repeated without a pause.
  void OnRevisionStated(FeedKind aKind, uint64_t aStated, uint64_t aKnown);

  // Returns the metrics in the Prometheus text format.
  [[nodiscard]] std::string Render() const;

private:
  struct KindCounts
  {
    uint64_t m_lists = 0;
    uint64_t m_watches = 0;
    uint64_t m_historiesLost = 0;
    uint64_t m_statementsIgnored = 0;
    // Whether the last statement was ignored.
    bool m_isBehind = false;
  };

  KindCounts& Of(FeedKind aKind)
  {
    return m_counts[static_cast<size_t>(aKind)];
  }

  LineLog& m_log;
  std::array<KindCounts, kFeedKinds> m_counts;
};

} // namespace ebonykeel
