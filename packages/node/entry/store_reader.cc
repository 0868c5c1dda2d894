#include "node/entry/store_reader.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/base/store_era.h"

namespace ebonykeel {
namespace {

constexpr int kOkStatus = 200;

// Replaces the number that the store stated by the era in full.
void
SetEra(StorePosition& aAsOf, std::span<FeedObject> aObjects, uint64_t aEra)
{
  aAsOf.m_era = aEra;
  for (FeedObject& object : aObjects) {
    object.m_position.m_era = aEra;
  }
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
                         StoreFeeds& aFeeds,
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
  , m_writer(aFeeds, aProtocol, aLog, aObserver, m_options.m_heldRemovals)
  , m_unseenChangeTimer(aLoop, [this]() { OnUnseenChangeTimer(); })
  , m_reachableResetTimer(aLoop, [this]() { SetReachable(true); })
{
  for (size_t i = 0; i < kFeedKinds; ++i) {
    KindState& kind = m_kindStates[i];
    kind.m_kind = static_cast<FeedKind>(i);
    kind.m_doubt = PositionDoubt(m_options.m_doubt);
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
  m_writer.Reset();
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
      kind.m_pages.clear();
      kind.m_doubt.Reset();
      ReadNext(kind);
    } else {
      m_client.Cancel(std::exchange(kind.m_httpCall, 0));
      kind.m_timer->Set(std::nullopt);
    }
  }
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
  if (aKind.m_pages.empty()) {
    m_stats.OnListBegun(aKind.m_kind);
    aKind.m_knownAtCall = Feed(aKind).CompleteTo();
  }
  std::string after =
    aKind.m_pages.empty() ? "" : aKind.m_pages.back().m_nextAfter;
  aKind.m_httpCall = Call(
    m_protocol.MakeListRequest(aKind.m_kind, after),
    m_options.m_callTimeout,
    [this, &aKind](const Http1Result& aResult) { OnListPage(aKind, aResult); });
}

void
StoreReader::RestartList(KindState& aKind)
{
  aKind.m_pages.clear();
  StartList(aKind);
}

void
StoreReader::StartWatch(KindState& aKind)
{
  Duration wait = aKind.m_kind == FeedKind::kReplicas
                    ? m_options.m_replicaWatchDuration
                    : m_options.m_watchDuration;
  m_stats.OnWatchBegun(aKind.m_kind);
  aKind.m_knownAtCall = Feed(aKind).CompleteTo();
  aKind.m_httpCall =
    Call(m_protocol.MakeWatchRequest(aKind.m_kind, aKind.m_knownAtCall, wait),
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
  auto page = m_protocol.ReadListPage(aKind.m_kind, aResult.m_response);
  if (!page.ok()) {
    OnFailure(aKind, "unreadable");
    return;
  }
  bool isRepeated = !aKind.m_pages.empty() && !page->m_nextAfter.empty() &&
                    page->m_nextAfter == aKind.m_pages.back().m_nextAfter;
  if (isRepeated) {
    OnFailure(aKind, "repeated-page");
    return;
  }
  if (!AcceptListEra(aKind, *page)) {
    return;
  }
  aKind.m_pages.push_back(*std::move(page));
  if (aKind.m_pages.back().m_nextAfter.empty()) {
    ApplyList(aKind);
  } else {
    StartList(aKind);
  }
}

void
StoreReader::ApplyList(KindState& aKind)
{
  std::vector<StoreListPage> pages = std::exchange(aKind.m_pages, {});
  // The list is complete only up to the position of its first page.
  StorePosition asOf = pages.front().m_asOf;
  if (asOf < aKind.m_knownAtCall) {
    aKind.m_listed = true;
    OnContradicted(aKind, asOf);
    return;
  }
  m_eraGuard.OnListTaken(asOf.m_era);
  bool changed = m_writer.ApplyList(aKind.m_kind, pages, m_loop.Now());
  aKind.m_listed = true;
  OnSuccess(aKind, asOf, changed);
}

bool
StoreReader::AcceptListEra(KindState& aKind, StoreListPage& aPage)
{
  EraView view = ViewOf(aKind);
  uint64_t era = m_eraGuard.EraOf(aPage.m_asOf.m_era, view);
  SetEra(aPage.m_asOf, aPage.m_objects, era);
  EraDecision decision = m_eraGuard.OnListPage(era, view);
  bool isMixed =
    !aKind.m_pages.empty() && aKind.m_pages.front().m_asOf.m_era != era;
  if (decision == EraDecision::kTake && isMixed) {
    OnFailure(aKind, "mixed-eras");
    return false;
  }
  return Follow(aKind, decision, aPage.m_asOf);
}

bool
StoreReader::AcceptWatchEra(KindState& aKind, const Http1Response& aResponse)
{
  absl::StatusOr<uint64_t> stated = m_protocol.ReadEra(aResponse);
  if (!stated.ok()) {
    OnFailure(aKind, "unreadable-era");
    return false;
  }
  EraView view = ViewOf(aKind);
  uint64_t era = m_eraGuard.EraOf(*stated, view);
  return Follow(aKind, m_eraGuard.OnWatchAnswer(era, view), { .m_era = era });
}

EraView
StoreReader::ViewOf(const KindState& aKind) const
{
  return { .m_known = KnownEra(),
           .m_ofFeed =
             m_feeds[static_cast<size_t>(aKind.m_kind)].CompleteTo().m_era,
           .m_atCall = aKind.m_knownAtCall.m_era };
}

bool
StoreReader::Follow(KindState& aKind,
                    EraDecision aDecision,
                    const StorePosition& aStated)
{
  switch (aDecision) {
    case EraDecision::kTake:
      return true;
    case EraDecision::kListAll:
      AnnounceEra(aStated.m_era);
      return false;
    case EraDecision::kListKind:
      RestartList(aKind);
      return false;
    case EraDecision::kReadAgain:
      aKind.m_pages.clear();
      ReadNext(aKind);
      return false;
    case EraDecision::kDoubt:
      OnContradicted(aKind, aStated);
      return false;
  }
  return false;
}

void
StoreReader::OnContradicted(KindState& aKind, const StorePosition& aStated)
{
  m_stats.OnPositionStated(aKind.m_kind, aStated, Feed(aKind).CompleteTo());
  aKind.m_doubt.OnContradicted(aStated.m_era, m_loop.Now());
  aKind.m_pages.clear();
  if (!IsRefuted(aKind)) {
    ScheduleRead(aKind, m_options.m_retryDelay);
    return;
  }
  m_log.Write(Event::kPositionGivenUp,
              { { "kind", std::string(FeedKindName(aKind.m_kind)) },
                { "stated", FormatPosition(aStated) },
                { "known", FormatPosition(Feed(aKind).CompleteTo()) } });
  for (KindState& kind : m_kindStates) {
    kind.m_doubt.Reset();
  }
  AnnounceEra(m_eraGuard.Correct(StatedEra(aStated.m_era), ViewOf(aKind)));
}

bool
StoreReader::IsRefuted(const KindState& aKind) const
{
  TimePoint now = m_loop.Now();
  if (!aKind.m_doubt.IsCertain(now)) {
    return false;
  }
  // Either the store confirms the other kinds to this instance, or no other
  // instance reads it at the known position: this one may have been served by a
  // store that is behind.
  const ObjectFeed& replicas =
    m_feeds[static_cast<size_t>(FeedKind::kReplicas)];
  return replicas.Age(now) >= m_options.m_unconfirmedAge ||
         std::ranges::any_of(m_kindStates, [&](const KindState& aOther) {
           return aOther.m_kind != aKind.m_kind &&
                  aOther.m_takenAt > aKind.m_doubt.Since();
         });
}

void
StoreReader::AnnounceEra(uint64_t aEra)
{
  m_log.Write(Event::kStoreEraChanged, { { "era", FormatEra(aEra) } });
  Relist(FeedKind::kReplicas);
  RelistOtherKinds();
}

std::optional<uint64_t>
StoreReader::KnownEra() const
{
  std::optional<uint64_t> known;
  for (const ObjectFeed& feed : m_feeds) {
    if (feed.WasComplete()) {
      known = std::max(known.value_or(0), feed.CompleteTo().m_era);
    }
  }
  return known;
}

void
StoreReader::OnWatchAnswer(KindState& aKind, const Http1Result& aResult)
{
  aKind.m_httpCall = 0;
  if (aResult.m_outcome != Http1Outcome::kAnswered) {
    OnFailure(aKind, aResult.m_problem);
    return;
  }
  if (!AcceptWatchEra(aKind, aResult.m_response)) {
    return;
  }
  auto events = m_protocol.ReadEvents(aKind.m_kind, aResult.m_response);
  if (absl::IsOutOfRange(events.status())) {
    m_stats.OnHistoryLost(aKind.m_kind, aKind.m_knownAtCall);
    aKind.m_lostSince = aKind.m_knownAtCall;
    // Watches of the other kinds may miss changes too.
    Relist(FeedKind::kReplicas);
    RelistOtherKinds();
    return;
  }
  if (!events.ok()) {
    OnFailure(aKind, "status");
    return;
  }
  SetEra(events->m_asOf, events->m_objects, aKind.m_knownAtCall.m_era);
  if (events->m_asOf < aKind.m_knownAtCall) {
    OnContradicted(aKind, events->m_asOf);
    return;
  }
  aKind.m_lostSince.reset();
  if (aKind.m_kind == FeedKind::kReplicas) {
    DetectUnseenChanges(
      aKind.m_knownAtCall, events->m_asOf, events->m_objects.size());
  }
  StorePosition asOf = events->m_asOf;
  bool changed =
    m_writer.ApplyEvents(aKind.m_kind, *std::move(events), m_loop.Now());
  OnSuccess(aKind, asOf, changed);
}

void
StoreReader::OnSuccess(KindState& aKind,
                       const StorePosition& aAsOf,
                       bool aChanged)
{
  if (!m_reachable) {
    m_reachableResetTimer.Set(std::nullopt);
    m_writer.BeginHold(m_loop.Now());
    m_log.Write(Event::kStoreRecovered, {});
    SetReachable(true);
  }
  StorePosition known = Feed(aKind).CompleteTo();
  m_stats.OnPositionStated(aKind.m_kind, aAsOf, known);
  aKind.m_doubt.Reset();
  aKind.m_takenAt = m_loop.Now();
  bool isReplicas = aKind.m_kind == FeedKind::kReplicas;
  bool changed =
    (isReplicas && m_writer.ReleaseHeldRemovals(aAsOf, m_loop.Now())) ||
    aChanged;
  Feed(aKind).MarkCompleteTo(aAsOf, m_loop.Now());
  m_observer.OnFeedRead(aKind.m_kind, changed || aAsOf.m_era > known.m_era);
  if (m_active) {
    ContinueReading(aKind);
  }
}

void
StoreReader::ContinueReading(KindState& aKind)
{
  // The list did not reach the position at which the watch failed: it would
  // fail again at once.
  bool hasNoProgress =
    aKind.m_lostSince && Feed(aKind).CompleteTo() <= *aKind.m_lostSince;
  if (hasNoProgress) {
    ScheduleRead(aKind, m_options.m_retryDelay);
  } else if (aKind.m_kind == FeedKind::kReplicas) {
    ScheduleRead(aKind, m_options.m_replicaWatchDelay);
  } else {
    ReadNext(aKind);
  }
}

void
StoreReader::DetectUnseenChanges(const StorePosition& aSince,
                                 const StorePosition& aAsOf,
                                 size_t aEventCount)
{
  bool explained = aAsOf.m_revision <= aSince.m_revision + aEventCount;
  if (explained || m_unseenChangeTimer.IsSet()) {
    return;
  }
  m_otherKindsBefore = OtherKindsPosition();
  m_unseenChangeTimer.Set(m_loop.Now() + m_options.m_unseenChangeTimeout);
}

void
StoreReader::OnUnseenChangeTimer()
{
  // A change that another watch reported in the meantime explains the count.
  if (!m_active || OtherKindsPosition() != m_otherKindsBefore) {
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

StorePosition
StoreReader::OtherKindsPosition() const
{
  StorePosition newest;
  for (FeedKind kind : kOtherKinds) {
    newest =
      std::max(newest, m_feeds[static_cast<size_t>(kind)].ContentPosition());
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
  RestartList(kind);
}

void
StoreReader::OnFailure(KindState& aKind, std::string_view aProblem)
{
  if (m_reachable) {
    m_log.Write(Event::kStoreFailed,
                { { "call", std::string(FeedKindName(aKind.m_kind)) },
                  { "problem", std::string(aProblem) } });
    SetReachable(false);
  }
  m_reachableResetTimer.Set(m_loop.Now() + m_options.m_reachableResetDelay);
  aKind.m_pages.clear();
  if (m_active) {
    ScheduleRead(aKind, m_options.m_retryDelay);
  }
}

void
StoreReader::SetReachable(bool aReachable)
{
  m_reachable = aReachable;
  m_writer.SetReachable(aReachable);
  m_observer.OnStoreReachabilityChanged(aReachable);
}

ObjectFeed&
StoreReader::Feed(const KindState& aKind)
{
  return m_feeds[static_cast<size_t>(aKind.m_kind)];
}

} // namespace ebonykeel
