#include "node/entry/store_reader.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

constexpr int kOkStatus = 200;

// Returns the last state of each object that the events name, in the order of
// the names.
std::vector<FeedObject>
LastStates(std::vector<FeedObject> aEvents)
{
  std::map<std::string, FeedObject> last;
  for (FeedObject& event : aEvents) {
    FeedObject& state = last[event.m_name];
    // The store states the revision of the last change before a removal.
    if (event.m_revision >= state.m_revision) {
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

// The kinds whose changes are counted by the watch of the registrations.
constexpr std::array kOtherKinds = { FeedKind::kConfiguration,
                                     FeedKind::kExclusions,
                                     FeedKind::kRollouts };

} // namespace

std::string_view
FeedKindName(FeedKind aKind)
{
  switch (aKind) {
    case FeedKind::kConfiguration:
      return "configuration";
    case FeedKind::kReplicas:
      return "replicas";
    case FeedKind::kExclusions:
      return "exclusions";
    case FeedKind::kRollouts:
      return "rollouts";
  }
  return "";
}

StoreReader::StoreReader(UvLoop& aLoop,
                         Http1Client& aClient,
                         const StoreProtocol& aProtocol,
                         std::array<ObjectFeed, kFeedKinds>& aFeeds,
                         LineLog& aLog,
                         StoreReaderOptions aOptions,
                         StoreReaderObserver& aObserver)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_feeds(aFeeds)
  , m_log(aLog)
  , m_stats(aLog)
  , m_options(std::move(aOptions))
  , m_observer(aObserver)
  , m_unseenChangeTimer(aLoop, [this]() { OnUnseenChangeTimer(); })
  , m_reachableResetTimer(aLoop, [this]() {
    m_reachable = true;
    m_observer.OnStoreReachabilityChanged(true);
  })
{
  for (size_t i = 0; i < kFeedKinds; ++i) {
    KindState& kind = m_kindStates[i];
    kind.m_kind = static_cast<FeedKind>(i);
    kind.m_timer =
      std::make_unique<UvTimer>(aLoop, [this, &kind]() { ReadNext(kind); });
  }
}

void
StoreReader::SetActive(bool aActive)
{
  if (aActive == m_active) {
    return;
  }
  m_active = aActive;
  m_log.Write(Event::kReaderRoleChanged,
              { { "on_duty", aActive ? "1" : "0" } });
  for (KindState& kind : m_kindStates) {
    if (!IsRead(kind.m_kind)) {
      continue;
    }
    if (aActive) {
      // List first: a watch from the revision that peers fetched could begin
      // while watches miss changes.
      kind.m_listed = false;
      kind.m_listAfter.clear();
      ReadNext(kind);
    } else {
      m_client.Cancel(std::exchange(kind.m_httpCall, 0));
      kind.m_timer->Set(std::nullopt);
    }
  }
}

void
StoreReader::ListInstances(
  std::function<void(std::vector<std::string>)> aCallback)
{
  Call(m_protocol.MakeListInstancesRequest(),
       m_options.m_callTimeout,
       [this, callback = std::move(aCallback)](const Http1Result& aResult) {
         if (aResult.m_outcome != Http1Outcome::kAnswered ||
             aResult.m_response.m_status != kOkStatus) {
           callback({});
           return;
         }
         auto hosts = m_protocol.ReadInstances(aResult.m_response.m_body);
         callback(hosts.ok() ? *std::move(hosts) : std::vector<std::string>());
       });
}

void
StoreReader::Register(const std::string& aHost, const DataCentre& aDataCentre)
{
  Call(m_protocol.MakeAddInstanceRequest(aHost, aDataCentre),
       m_options.m_callTimeout,
       [](const Http1Result&) {
         // A failure is harmless: later instances also find others by seeds and
         // gossip.
       });
}

void
StoreReader::Unregister(const std::string& aHost)
{
  Call(m_protocol.MakeRemoveInstanceRequest(aHost),
       m_options.m_callTimeout,
       [](const Http1Result&) {
         // A failure is harmless: a stale entry costs a later instance one
         // datagram.
       });
}

void
StoreReader::ReadNext(KindState& aKind)
{
  if (!m_active) {
    return;
  }
  if (aKind.m_listed) {
    StartWatch(aKind);
  } else {
    StartList(aKind);
  }
}

void
StoreReader::StartList(KindState& aKind)
{
  if (aKind.m_listAfter.empty()) {
    m_stats.OnListBegun(aKind.m_kind);
  }
  aKind.m_httpCall = Call(
    m_protocol.MakeListRequest(aKind.m_kind, aKind.m_listAfter),
    m_options.m_callTimeout,
    [this, &aKind](const Http1Result& aResult) { OnListPage(aKind, aResult); });
}

void
StoreReader::StartWatch(KindState& aKind)
{
  Duration wait = aKind.m_kind == FeedKind::kReplicas
                    ? m_options.m_replicaWatchDuration
                    : m_options.m_watchDuration;
  m_stats.OnWatchBegun(aKind.m_kind);
  aKind.m_watchSinceRevision = Feed(aKind).CompleteRevision();
  aKind.m_httpCall = Call(
    m_protocol.MakeWatchRequest(aKind.m_kind, aKind.m_watchSinceRevision, wait),
    m_options.m_callTimeout + wait,
    [this, &aKind](const Http1Result& aResult) {
      OnWatchAnswer(aKind, aResult);
    });
}

void
StoreReader::ScheduleRead(KindState& aKind, Duration aDelay)
{
  aKind.m_timer->Set(m_loop.Now() + aDelay);
}

uint64_t
StoreReader::Call(const Http1Request& aRequest,
                  Duration aTimeout,
                  Http1Client::Callback aCallback)
{
  ++m_callCount;
  return m_client.Send({ .m_address = m_options.m_store,
                         .m_bytes = SerializeRequest(aRequest),
                         .m_timeout = aTimeout },
                       std::move(aCallback));
}

void
StoreReader::OnListPage(KindState& aKind, const Http1Result& aResult)
{
  aKind.m_httpCall = 0;
  bool answered = aResult.m_outcome == Http1Outcome::kAnswered &&
                  aResult.m_response.m_status == kOkStatus;
  if (!answered) {
    OnFailure(aKind,
              aResult.m_outcome == Http1Outcome::kAnswered ? "status"
                                                           : aResult.m_problem);
    return;
  }
  auto page = m_protocol.ReadListPage(aKind.m_kind, aResult.m_response.m_body);
  if (!page.ok()) {
    OnFailure(aKind, "unreadable");
    return;
  }
  if (!page->m_nextAfter.empty() && page->m_nextAfter == aKind.m_listAfter) {
    OnFailure(aKind, "repeated-page");
    return;
  }
  HoldRemovalsAfterOutage(aKind);
  if (aKind.m_listAfter.empty()) {
    aKind.m_listedNames.clear();
    aKind.m_listAsOfRevision = page->m_asOfRevision;
    aKind.m_unreadable.BeginList();
  }
  ReportUnreadable(aKind, page->m_unreadable, page->m_asOfRevision);
  bool changed = false;
  for (FeedObject& object : page->m_objects) {
    if (!object.m_deleted) {
      aKind.m_listedNames.push_back(object.m_name);
    }
    changed = Apply(aKind, std::move(object), page->m_asOfRevision) || changed;
  }
  aKind.m_listAfter = page->m_nextAfter;
  if (!aKind.m_listAfter.empty()) {
    StartList(aKind);
    return;
  }
  // The list is complete only up to the revision of its first page.
  std::set<std::string> listed(aKind.m_listedNames.begin(),
                               aKind.m_listedNames.end());
  for (const FeedObject& object :
       Feed(aKind).ChangesSince(0, m_loop.Now()).m_objects) {
    if (!listed.contains(object.m_name)) {
      changed = Apply(aKind,
                      { .m_name = object.m_name, .m_deleted = true },
                      aKind.m_listAsOfRevision) ||
                changed;
    }
  }
  aKind.m_listed = true;
  aKind.m_unreadable.EndList();
  Feed(aKind).ForgetRemovalsUpTo(aKind.m_listAsOfRevision);
  OnSuccess(aKind, aKind.m_listAsOfRevision, changed);
}

void
StoreReader::OnWatchAnswer(KindState& aKind, const Http1Result& aResult)
{
  aKind.m_httpCall = 0;
  if (aResult.m_outcome != Http1Outcome::kAnswered) {
    OnFailure(aKind, aResult.m_problem);
    return;
  }
  auto events = m_protocol.ReadEvents(aKind.m_kind, aResult.m_response);
  if (absl::IsOutOfRange(events.status())) {
    m_stats.OnHistoryLost(aKind.m_kind, aKind.m_watchSinceRevision);
    // Watches of the other kinds may miss changes too.
    Relist(FeedKind::kReplicas);
    RelistOtherKinds();
    return;
  }
  if (!events.ok()) {
    OnFailure(aKind, "status");
    return;
  }
  HoldRemovalsAfterOutage(aKind);
  if (aKind.m_kind == FeedKind::kReplicas) {
    DetectUnseenChanges(aKind.m_watchSinceRevision,
                        events->m_asOfRevision,
                        events->m_objects.size());
  }
  for (const FeedObject& object : events->m_objects) {
    bool isUnreadable =
      std::ranges::find(events->m_unreadable, object.m_name) !=
      events->m_unreadable.end();
    if (!isUnreadable) {
      aKind.m_unreadable.Remove(object.m_name);
    }
  }
  ReportUnreadable(aKind, events->m_unreadable, events->m_asOfRevision);
  bool changed = false;
  for (FeedObject& object : LastStates(std::move(events->m_objects))) {
    changed =
      Apply(aKind, std::move(object), events->m_asOfRevision) || changed;
  }
  OnSuccess(aKind, events->m_asOfRevision, changed);
}

void
StoreReader::HoldRemovalsAfterOutage(const KindState& aKind)
{
  TimePoint now = m_loop.Now();
  std::optional<Duration> age = Feed(aKind).Age(now);
  bool afterOutage =
    aKind.m_kind == FeedKind::kReplicas && age && *age > m_options.m_outageAge;
  if (afterOutage && !IsHoldingRemovals()) {
    m_holdRemovalsUntil = now + m_options.m_removalHoldDuration;
  }
}

bool
StoreReader::Apply(KindState& aKind, FeedObject aObject, uint64_t aAsOf)
{
  // Peers have told this state already, or a later one.
  if (aAsOf < Feed(aKind).CompleteRevision()) {
    return false;
  }
  if (aKind.m_kind == FeedKind::kConfiguration && !IsUsable(aObject)) {
    return false;
  }
  if (aKind.m_kind == FeedKind::kReplicas) {
    bool removal = aObject.m_deleted;
    const FeedObject* current = Feed(aKind).Find(aObject.m_name);
    if (removal && IsHoldingRemovals() && current != nullptr &&
        !current->m_deleted) {
      aObject.m_revision = aAsOf;
      std::string name = aObject.m_name;
      m_heldRemovals[name] = std::move(aObject);
      return false;
    }
    m_heldRemovals.erase(aObject.m_name);
  }
  std::string name = aObject.m_name;
  if (!Feed(aKind).Apply(std::move(aObject), aAsOf)) {
    return false;
  }
  m_observer.OnObjectChanged(aKind.m_kind, *Feed(aKind).Find(name));
  return true;
}

bool
StoreReader::IsUsable(const FeedObject& aConfiguration)
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
                  { "detail", absl::StrCat(aConfiguration.m_revision) } });
  }
  return status.ok();
}

void
StoreReader::ReportUnreadable(KindState& aKind,
                              std::span<const std::string> aNames,
                              uint64_t aAsOf)
{
  for (const std::string& name : aNames) {
    if (aKind.m_unreadable.Add(name)) {
      m_log.Write(Event::kObjectUnreadable,
                  { { "kind", std::string(FeedKindName(aKind.m_kind)) },
                    { "object", name },
                    { "revision", absl::StrCat(aAsOf) } });
    }
  }
}

size_t
StoreReader::UnreadableCount() const
{
  if (!m_active) {
    return 0;
  }
  return std::accumulate(m_kindStates.begin(),
                         m_kindStates.end(),
                         size_t{ 0 },
                         [](size_t aCount, const KindState& aKind) {
                           return aCount + aKind.m_unreadable.Count();
                         });
}

bool
StoreReader::ReleaseHeldRemovals(KindState& aKind, uint64_t aRevision)
{
  if (aKind.m_kind != FeedKind::kReplicas || IsHoldingRemovals() ||
      m_heldRemovals.empty()) {
    return false;
  }
  std::map<std::string, FeedObject> held = std::exchange(m_heldRemovals, {});
  m_log.Write(Event::kRemovalsReleased,
              { { "count", absl::StrCat(held.size()) } });
  bool changed = false;
  for (auto& [name, object] : held) {
    const FeedObject* current = Feed(aKind).Find(name);
    // A peer has told that the upstream is back.
    if (current != nullptr && current->m_revision > object.m_revision) {
      continue;
    }
    changed = Apply(aKind, std::move(object), aRevision) || changed;
  }
  return changed;
}

void
StoreReader::OnSuccess(KindState& aKind, uint64_t aAsOfRevision, bool aChanged)
{
  if (!m_reachable) {
    m_reachable = true;
    m_reachableResetTimer.Set(std::nullopt);
    m_holdRemovalsUntil = m_loop.Now() + m_options.m_removalHoldDuration;
    m_log.Write(Event::kStoreRecovered, {});
    m_observer.OnStoreReachabilityChanged(true);
  }
  m_stats.OnRevisionStated(
    aKind.m_kind, aAsOfRevision, Feed(aKind).CompleteRevision());
  bool changed = ReleaseHeldRemovals(aKind, aAsOfRevision) || aChanged;
  Feed(aKind).MarkCompleteTo(aAsOfRevision, m_loop.Now());
  m_observer.OnFeedRead(aKind.m_kind, changed);
  if (!m_active) {
    return;
  }
  if (aKind.m_kind == FeedKind::kReplicas) {
    ScheduleRead(aKind, m_options.m_replicaWatchDelay);
  } else {
    ReadNext(aKind);
  }
}

void
StoreReader::DetectUnseenChanges(uint64_t aSinceRevision,
                                 uint64_t aAsOfRevision,
                                 size_t aEventCount)
{
  bool explained = aAsOfRevision <= aSinceRevision + aEventCount;
  if (explained || m_unseenChangeTimer.IsSet()) {
    return;
  }
  m_otherKindsRevisionBefore = OtherKindsRevision();
  m_unseenChangeTimer.Set(m_loop.Now() + m_options.m_unseenChangeTimeout);
}

void
StoreReader::OnUnseenChangeTimer()
{
  // A change that another watch reported in the meantime explains the count.
  if (!m_active || OtherKindsRevision() != m_otherKindsRevisionBefore) {
    return;
  }
  m_log.Write(Event::kChangesUnseen, {});
  RelistOtherKinds();
}

void
StoreReader::RelistOtherKinds()
{
  for (FeedKind kind : kOtherKinds) {
    if (IsRead(kind)) {
      Relist(kind);
    }
  }
}

bool
StoreReader::IsRead(FeedKind aKind) const
{
  return aKind != FeedKind::kRollouts || m_options.m_readRollouts;
}

uint64_t
StoreReader::OtherKindsRevision() const
{
  uint64_t newest = 0;
  for (FeedKind kind : kOtherKinds) {
    newest =
      std::max(newest, m_feeds[static_cast<size_t>(kind)].ContentRevision());
  }
  return newest;
}

void
StoreReader::Relist(FeedKind aKind)
{
  KindState& kind = m_kindStates[static_cast<size_t>(aKind)];
  m_client.Cancel(std::exchange(kind.m_httpCall, 0));
  kind.m_timer->Set(std::nullopt);
  kind.m_listed = false;
  kind.m_listAfter.clear();
  StartList(kind);
}

void
StoreReader::OnFailure(KindState& aKind, std::string_view aProblem)
{
  if (m_reachable) {
    m_reachable = false;
    m_log.Write(Event::kStoreFailed,
                { { "call", std::string(FeedKindName(aKind.m_kind)) },
                  { "problem", std::string(aProblem) } });
    m_observer.OnStoreReachabilityChanged(false);
  }
  m_reachableResetTimer.Set(m_loop.Now() + m_options.m_reachableResetDelay);
  aKind.m_listAfter.clear();
  if (m_active) {
    ScheduleRead(aKind, m_options.m_retryDelay);
  }
}

bool
StoreReader::IsHoldingRemovals() const
{
  return !m_reachable || m_loop.Now() < m_holdRemovalsUntil;
}

ObjectFeed&
StoreReader::Feed(const KindState& aKind)
{
  return m_feeds[static_cast<size_t>(aKind.m_kind)];
}

} // namespace ebonykeel
