#include "node/entry/store_reader.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

constexpr int kOkStatus = 200;

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
  , m_options(std::move(aOptions))
  , m_observer(aObserver)
  , m_check(aLoop, [this]() { OnCheck(); })
  , m_forgive(aLoop, [this]() {
    m_reachable = true;
    m_observer.OnStoreReachable(true);
  })
{
  for (size_t i = 0; i < kFeedKinds; ++i) {
    Kind& kind = m_kinds[i];
    kind.m_kind = static_cast<FeedKind>(i);
    kind.m_timer =
      std::make_unique<UvTimer>(aLoop, [this, &kind]() { Next(kind); });
  }
}

void
StoreReader::SetOnDuty(bool aOnDuty)
{
  if (aOnDuty == m_onDuty) {
    return;
  }
  m_onDuty = aOnDuty;
  m_log.Write(Event::kStoreDuty, { { "on_duty", aOnDuty ? "1" : "0" } });
  for (Kind& kind : m_kinds) {
    if (aOnDuty) {
      // A watch from what peers told could begin while watches are deaf.
      kind.m_listed = false;
      kind.m_listAfter.clear();
      Next(kind);
    } else {
      m_client.Cancel(std::exchange(kind.m_call, 0));
      kind.m_timer->Set(std::nullopt);
    }
  }
}

void
StoreReader::ListInstances(
  std::function<void(std::vector<std::string>)> aCallback)
{
  Call(m_protocol.ListInstances(),
       m_options.m_timeout,
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
  Call(m_protocol.AddInstance(aHost, aDataCentre),
       m_options.m_timeout,
       [](const Http1Result&) {
         // The list only helps later instances to find others; seeds and gossip
         // do the same.
       });
}

void
StoreReader::Unregister(const std::string& aHost)
{
  Call(m_protocol.RemoveInstance(aHost),
       m_options.m_timeout,
       [](const Http1Result&) {
         // An entry that stays only costs a later instance one datagram.
       });
}

void
StoreReader::Next(Kind& aKind)
{
  if (!m_onDuty) {
    return;
  }
  if (aKind.m_listed) {
    Watch(aKind);
  } else {
    List(aKind);
  }
}

void
StoreReader::List(Kind& aKind)
{
  aKind.m_call = Call(
    m_protocol.List(aKind.m_kind, aKind.m_listAfter),
    m_options.m_timeout,
    [this, &aKind](const Http1Result& aResult) { OnList(aKind, aResult); });
}

void
StoreReader::Watch(Kind& aKind)
{
  Duration wait = aKind.m_kind == FeedKind::kReplicas ? m_options.m_shortWatch
                                                      : m_options.m_watch;
  aKind.m_call = Call(
    m_protocol.Watch(aKind.m_kind, Feed(aKind).CompleteRevision(), wait),
    m_options.m_timeout + wait,
    [this, &aKind](const Http1Result& aResult) { OnEvents(aKind, aResult); });
}

void
StoreReader::Later(Kind& aKind, Duration aDelay)
{
  aKind.m_timer->Set(m_loop.Now() + aDelay);
}

uint64_t
StoreReader::Call(const Http1Request& aRequest,
                  Duration aTimeout,
                  Http1Client::Callback aCallback)
{
  ++m_calls;
  return m_client.Send({ .m_address = m_options.m_store,
                         .m_bytes = SerializeRequest(aRequest),
                         .m_timeout = aTimeout },
                       std::move(aCallback));
}

void
StoreReader::OnList(Kind& aKind, const Http1Result& aResult)
{
  aKind.m_call = 0;
  bool answered = aResult.m_outcome == Http1Outcome::kAnswered &&
                  aResult.m_response.m_status == kOkStatus;
  if (!answered) {
    OnFailure(aKind,
              aResult.m_outcome == Http1Outcome::kAnswered ? "status"
                                                           : aResult.m_problem);
    return;
  }
  auto page = m_protocol.ReadList(aKind.m_kind, aResult.m_response.m_body);
  if (!page.ok()) {
    OnFailure(aKind, "unreadable");
    return;
  }
  HoldAfterGap(aKind);
  if (aKind.m_listAfter.empty()) {
    aKind.m_listNames.clear();
    aKind.m_listAsOf = page->m_asOf;
  }
  bool changed = false;
  for (FeedObject& object : page->m_objects) {
    if (!object.m_deleted) {
      aKind.m_listNames.push_back(object.m_name);
    }
    changed = Apply(aKind, std::move(object)) || changed;
  }
  aKind.m_listAfter = page->m_nextAfter;
  if (!aKind.m_listAfter.empty()) {
    List(aKind);
    return;
  }
  // Only what the first page's revision covers is known to be complete.
  std::set<std::string> listed(aKind.m_listNames.begin(),
                               aKind.m_listNames.end());
  for (const FeedObject& object :
       Feed(aKind).ChangesSince(0, m_loop.Now()).m_objects) {
    if (!listed.contains(object.m_name)) {
      changed = Apply(aKind,
                      { .m_name = object.m_name,
                        .m_revision = aKind.m_listAsOf,
                        .m_deleted = true }) ||
                changed;
    }
  }
  aKind.m_listed = true;
  OnSuccess(aKind, aKind.m_listAsOf, changed);
}

void
StoreReader::OnEvents(Kind& aKind, const Http1Result& aResult)
{
  aKind.m_call = 0;
  if (aResult.m_outcome != Http1Outcome::kAnswered) {
    OnFailure(aKind, aResult.m_problem);
    return;
  }
  auto events = m_protocol.ReadEvents(aKind.m_kind, aResult.m_response);
  if (absl::IsOutOfRange(events.status())) {
    m_log.Write(Event::kHistoryLost,
                { { "kind", std::string(FeedKindName(aKind.m_kind)) } });
    // Watches of the other kinds may be deaf.
    Relist(FeedKind::kConfiguration);
    Relist(FeedKind::kReplicas);
    Relist(FeedKind::kExclusions);
    return;
  }
  if (!events.ok()) {
    OnFailure(aKind, "status");
    return;
  }
  HoldAfterGap(aKind);
  uint64_t since = Feed(aKind).CompleteRevision();
  if (aKind.m_kind == FeedKind::kReplicas) {
    CheckOthers(since, events->m_asOf, events->m_objects.size());
  }
  bool changed = false;
  for (FeedObject& object : events->m_objects) {
    // What a watch shows happened after the revision that it began at, also
    // where the object's own revision is that of an earlier change.
    object.m_revision = std::max(object.m_revision, since + 1);
    changed = Apply(aKind, std::move(object)) || changed;
  }
  OnSuccess(aKind, events->m_asOf, changed);
}

void
StoreReader::HoldAfterGap(const Kind& aKind)
{
  TimePoint now = m_loop.Now();
  std::optional<Duration> age = Feed(aKind).Age(now);
  bool gap = aKind.m_kind == FeedKind::kReplicas && age &&
             *age > m_options.m_outageAfter;
  if (gap && !Holding()) {
    m_holdUntil = now + m_options.m_removalHold;
  }
}

bool
StoreReader::Apply(Kind& aKind, FeedObject aObject)
{
  if (aKind.m_kind == FeedKind::kReplicas) {
    bool removal = aObject.m_deleted;
    const FeedObject* known = Feed(aKind).Find(aObject.m_name);
    if (removal && Holding() && known != nullptr && !known->m_deleted) {
      std::string name = aObject.m_name;
      m_held[name] = std::move(aObject);
      return false;
    }
    m_held.erase(aObject.m_name);
  }
  std::string name = aObject.m_name;
  if (!Feed(aKind).Apply(std::move(aObject))) {
    return false;
  }
  m_observer.OnObject(aKind.m_kind, *Feed(aKind).Find(name));
  return true;
}

bool
StoreReader::ReleaseHeld(Kind& aKind, uint64_t aRevision)
{
  if (aKind.m_kind != FeedKind::kReplicas || Holding() || m_held.empty()) {
    return false;
  }
  std::map<std::string, FeedObject> held = std::exchange(m_held, {});
  m_log.Write(Event::kRemovalsReleased,
              { { "count", absl::StrCat(held.size()) } });
  bool changed = false;
  for (auto& [name, object] : held) {
    object.m_revision = aRevision;
    changed = Apply(aKind, std::move(object)) || changed;
  }
  return changed;
}

void
StoreReader::OnSuccess(Kind& aKind, uint64_t aAsOf, bool aChanged)
{
  if (!m_reachable) {
    m_reachable = true;
    m_forgive.Set(std::nullopt);
    m_holdUntil = m_loop.Now() + m_options.m_removalHold;
    m_log.Write(Event::kStoreRecovered, {});
    m_observer.OnStoreReachable(true);
  }
  bool changed = ReleaseHeld(aKind, aAsOf) || aChanged;
  Feed(aKind).MarkCompleteTo(aAsOf, m_loop.Now());
  m_observer.OnRead(aKind.m_kind, changed);
  if (!m_onDuty) {
    return;
  }
  if (aKind.m_kind == FeedKind::kReplicas) {
    Later(aKind, m_options.m_pause);
  } else {
    Next(aKind);
  }
}

void
StoreReader::CheckOthers(uint64_t aSince, uint64_t aAsOf, size_t aEvents)
{
  bool explained = aAsOf <= aSince + aEvents;
  if (explained || m_check.IsSet()) {
    return;
  }
  m_othersBefore = Content();
  m_check.Set(m_loop.Now() + m_options.m_unseenFor);
}

void
StoreReader::OnCheck()
{
  // A change that the other watches showed meanwhile explains the count.
  if (!m_onDuty || Content() != m_othersBefore) {
    return;
  }
  m_log.Write(Event::kChangesUnseen, {});
  Relist(FeedKind::kConfiguration);
  Relist(FeedKind::kExclusions);
}

uint64_t
StoreReader::Content() const
{
  auto of = [&](FeedKind aKind) {
    return m_feeds[static_cast<size_t>(aKind)].ContentRevision();
  };
  return std::max(of(FeedKind::kConfiguration), of(FeedKind::kExclusions));
}

void
StoreReader::Relist(FeedKind aKind)
{
  Kind& kind = m_kinds[static_cast<size_t>(aKind)];
  m_client.Cancel(std::exchange(kind.m_call, 0));
  kind.m_timer->Set(std::nullopt);
  kind.m_listed = false;
  kind.m_listAfter.clear();
  List(kind);
}

void
StoreReader::OnFailure(Kind& aKind, std::string_view aProblem)
{
  if (m_reachable) {
    m_reachable = false;
    m_log.Write(Event::kStoreFailed,
                { { "call", std::string(FeedKindName(aKind.m_kind)) },
                  { "problem", std::string(aProblem) } });
    m_observer.OnStoreReachable(false);
  }
  m_forgive.Set(m_loop.Now() + m_options.m_forgive);
  aKind.m_listAfter.clear();
  if (m_onDuty) {
    Later(aKind, m_options.m_retry);
  }
}

bool
StoreReader::Holding() const
{
  return !m_reachable || m_loop.Now() < m_holdUntil;
}

ObjectFeed&
StoreReader::Feed(const Kind& aKind)
{
  return m_feeds[static_cast<size_t>(aKind.m_kind)];
}

} // namespace ebonykeel
