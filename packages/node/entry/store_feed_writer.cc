#include "node/entry/store_feed_writer.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

// Returns the last state of each object that the events name, in the order of
// the names.
std::vector<FeedObject>
LastStates(std::vector<FeedObject> aEvents)
{
  std::map<std::string, FeedObject> last;
  for (FeedObject& event : aEvents) {
    FeedObject& state = last[event.m_name];
    // The store states the revision of the last change before a removal.
    if (event.m_position >= state.m_position) {
      state = std::move(event);
    }
  }
  std::vector<FeedObject> states;
  states.reserve(last.size());
  for (auto& [name, state] : last) {
    states.push_back(std::move(state));
  }
  return states;
}

} // namespace

StoreFeedWriter::StoreFeedWriter(StoreFeeds& aFeeds,
                                 const StoreProtocol& aProtocol,
                                 LineLog& aLog,
                                 StoreFeedObserver& aObserver,
                                 HeldRemovalsOptions aHeldRemovals)
  : m_feeds(aFeeds)
  , m_protocol(aProtocol)
  , m_log(aLog)
  , m_observer(aObserver)
  , m_heldRemovals(aHeldRemovals)
{
}

bool
StoreFeedWriter::ApplyList(FeedKind aKind,
                           std::span<const StoreListPage> aPages,
                           TimePoint aNow)
{
  HoldRemovalsAfterOutage(aKind, aNow);
  UnreadableOf(aKind).BeginList();
  bool changed = false;
  for (const StoreListPage& page : aPages) {
    ReportUnreadable(aKind, page.m_unreadable, page.m_asOf);
    for (const FeedObject& object : page.m_objects) {
      changed = Apply(aKind, object, page.m_asOf, aNow) || changed;
    }
  }
  changed = ApplyMissing(aKind, aPages, aNow) || changed;
  UnreadableOf(aKind).EndList();
  // The list is complete only up to the position of its first page.
  Feed(aKind).ForgetRemovalsUpTo(aPages.front().m_asOf);
  return changed;
}

bool
StoreFeedWriter::ApplyMissing(FeedKind aKind,
                              std::span<const StoreListPage> aPages,
                              TimePoint aNow)
{
  std::set<std::string_view> listed;
  for (const StoreListPage& page : aPages) {
    for (const FeedObject& object : page.m_objects) {
      if (!object.m_deleted) {
        listed.insert(object.m_name);
      }
    }
  }
  bool changed = false;
  for (const FeedObject& object :
       Feed(aKind).ChangesSince({}, aNow).m_objects) {
    if (!listed.contains(object.m_name)) {
      changed = Apply(aKind,
                      { .m_name = object.m_name, .m_deleted = true },
                      aPages.front().m_asOf,
                      aNow) ||
                changed;
    }
  }
  return changed;
}

bool
StoreFeedWriter::ApplyEvents(FeedKind aKind,
                             StoreEvents aEvents,
                             TimePoint aNow)
{
  HoldRemovalsAfterOutage(aKind, aNow);
  for (const FeedObject& object : aEvents.m_objects) {
    bool isUnreadable =
      std::ranges::find(aEvents.m_unreadable, object.m_name) !=
      aEvents.m_unreadable.end();
    if (!isUnreadable) {
      UnreadableOf(aKind).Remove(object.m_name);
    }
  }
  ReportUnreadable(aKind, aEvents.m_unreadable, aEvents.m_asOf);
  bool changed = false;
  for (FeedObject& object : LastStates(std::move(aEvents.m_objects))) {
    changed = Apply(aKind, std::move(object), aEvents.m_asOf, aNow) || changed;
  }
  return changed;
}

void
StoreFeedWriter::HoldRemovalsAfterOutage(FeedKind aKind, TimePoint aNow)
{
  if (m_isReachable && aKind == FeedKind::kReplicas) {
    m_heldRemovals.BeginAfterOutage(Feed(aKind).Age(aNow), aNow);
  }
}

bool
StoreFeedWriter::IsHoldingRemovals(TimePoint aNow) const
{
  return !m_isReachable || m_heldRemovals.IsHolding(aNow);
}

bool
StoreFeedWriter::Apply(FeedKind aKind,
                       FeedObject aObject,
                       const StorePosition& aAsOf,
                       TimePoint aNow)
{
  // Peers have told this state already, or a later one.
  const StorePosition completeTo = Feed(aKind).CompleteTo();
  if (aAsOf < completeTo) {
    return false;
  }
  if (aKind == FeedKind::kConfiguration && !IsUsable(aObject)) {
    return false;
  }
  if (aKind == FeedKind::kReplicas) {
    const FeedObject* current = Feed(aKind).Find(aObject.m_name);
    // The feed itself retains what a restored store lacks.
    bool isSameEra = aAsOf.m_era == completeTo.m_era;
    if (aObject.m_deleted && isSameEra && IsHoldingRemovals(aNow) &&
        current != nullptr && !current->m_deleted) {
      aObject.m_position = aAsOf;
      m_heldRemovals.Hold(std::move(aObject));
      return false;
    }
    m_heldRemovals.Forget(aObject.m_name);
  }
  std::string name = aObject.m_name;
  if (!Feed(aKind).Apply(std::move(aObject), aAsOf)) {
    return false;
  }
  m_observer.OnObjectChanged(aKind, *Feed(aKind).Find(name));
  return true;
}

bool
StoreFeedWriter::ReleaseHeldRemovals(const StorePosition& aAsOf, TimePoint aNow)
{
  constexpr FeedKind kKind = FeedKind::kReplicas;
  if (IsHoldingRemovals(aNow) || m_heldRemovals.IsEmpty()) {
    return false;
  }
  // As of a position that peers have passed the feed would ignore them.
  if (aAsOf < Feed(kKind).CompleteTo()) {
    return false;
  }
  std::vector<FeedObject> held = m_heldRemovals.Take(aAsOf);
  m_log.Write(Event::kRemovalsReleased,
              { { "count", absl::StrCat(held.size()) } });
  bool changed = false;
  for (FeedObject& object : held) {
    const FeedObject* current = Feed(kKind).Find(object.m_name);
    // A peer has told that the upstream is back.
    if (current != nullptr && current->m_position > object.m_position) {
      continue;
    }
    changed = Apply(kKind, std::move(object), aAsOf, aNow) || changed;
  }
  return changed;
}

bool
StoreFeedWriter::IsUsable(const FeedObject& aConfiguration)
{
  if (aConfiguration.m_deleted) {
    return false;
  }
  absl::Status status =
    m_protocol.ReadConfiguration(aConfiguration.m_payload).status();
  if (!status.ok()) {
    m_log.Write(Event::kConfigurationRefused,
                { { "problem", std::string(status.message()) },
                  { "source", "store" },
                  { "detail", FormatPosition(aConfiguration.m_position) } });
  }
  return status.ok();
}

void
StoreFeedWriter::ReportUnreadable(FeedKind aKind,
                                  std::span<const std::string> aNames,
                                  const StorePosition& aAsOf)
{
  for (const std::string& name : aNames) {
    if (UnreadableOf(aKind).Add(name)) {
      m_log.Write(Event::kObjectUnreadable,
                  { { "kind", std::string(FeedKindName(aKind)) },
                    { "object", name },
                    { "revision", FormatPosition(aAsOf) } });
    }
  }
}

size_t
StoreFeedWriter::UnreadableCount() const
{
  return std::accumulate(m_unreadable.begin(),
                         m_unreadable.end(),
                         size_t{ 0 },
                         [](size_t aCount, const UnreadableObjects& aKind) {
                           return aCount + aKind.Count();
                         });
}

} // namespace ebonykeel
