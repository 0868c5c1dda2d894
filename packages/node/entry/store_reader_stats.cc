#include "node/entry/store_reader_stats.h"

#include <string_view>

#include "absl/strings/str_cat.h"

namespace ebonykeel {

void
StoreReaderStats::OnHistoryLost(FeedKind aKind, uint64_t aSince)
{
  ++Of(aKind).m_historiesLost;
  m_log.Write(Event::kHistoryLost,
              { { "kind", std::string(FeedKindName(aKind)) },
                { "since", absl::StrCat(aSince) } });
}

void
StoreReaderStats::OnRevisionStated(FeedKind aKind,
                                   uint64_t aStated,
                                   uint64_t aKnown)
{
  KindCounts& counts = Of(aKind);
  bool wasBehind = counts.m_isBehind;
  counts.m_isBehind = aStated < aKnown;
  if (!counts.m_isBehind) {
    return;
  }
  ++counts.m_statementsIgnored;
  if (!wasBehind) {
    m_log.Write(Event::kRevisionBehind,
                { { "kind", std::string(FeedKindName(aKind)) },
                  { "stated", absl::StrCat(aStated) },
                  { "known", absl::StrCat(aKnown) } });
  }
}

std::string
StoreReaderStats::Render() const
{
  std::string text;
  auto add = [&](std::string_view aName, uint64_t KindCounts::*aCount) {
    std::string name(aName);
    absl::StrAppend(&text, "# TYPE ", name, " counter\n");
    for (size_t i = 0; i < kFeedKinds; ++i) {
      absl::StrAppend(&text,
                      name,
                      "{kind=\"",
                      std::string(FeedKindName(static_cast<FeedKind>(i))),
                      "\"} ",
                      m_counts[i].*aCount,
                      "\n");
    }
  };
  add("ebonykeel_store_lists_total", &KindCounts::m_lists);
  add("ebonykeel_store_watches_total", &KindCounts::m_watches);
  add("ebonykeel_store_histories_lost_total", &KindCounts::m_historiesLost);
  add("ebonykeel_store_statements_ignored_total",
      &KindCounts::m_statementsIgnored);
  return text;
}

} // namespace ebonykeel
