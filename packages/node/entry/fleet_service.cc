#include "node/entry/fleet_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "core/base/store_position.h"
#include "core/fleet/store_readers.h"
#include "runtime/fleet/fleet_codec.h"

namespace ebonykeel {
namespace {

constexpr std::string_view kFeedPath = "/feeds";
constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;

// Parses the positions to which the feeds of a peer are complete, such as
// "since=3.105,3.105,3.98". The start, which requests a snapshot, stands for
// one that is missing or cannot be parsed, such as a number without an era of
// the earlier release.
std::array<StorePosition, kFeedKinds>
ParseSince(std::string_view aQuery)
{
  std::array<StorePosition, kFeedKinds> since{};
  std::string text(
    aQuery.substr(std::min(aQuery.size(), aQuery.find('=') + 1)));
  std::vector<std::string> parts = absl::StrSplit(text, ',');
  for (size_t i = 0; i < std::min(parts.size(), since.size()); ++i) {
    since[i] = ParsePosition(parts[i]).value_or(StorePosition());
  }
  return since;
}

} // namespace

FleetService::FleetService(UvLoop& aLoop,
                           Http1Client& aClient,
                           std::array<ObjectFeed, kFeedKinds>& aFeeds,
                           LineLog& aLog,
                           FleetServiceOptions aOptions,
                           FleetObserver& aObserver)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_feeds(aFeeds)
  , m_log(aLog)
  , m_options(std::move(aOptions))
  , m_observer(aObserver)
  , m_view({}, m_options.m_self, m_options.m_seeds, m_bitGen, *this)
  , m_socket(aLoop,
             [this](const std::string& aHost, std::string_view aBytes) {
               OnDatagram(aHost, aBytes);
             })
  , m_server(aLoop, *this, {})
  , m_timer(aLoop, [this]() {
    m_view.OnTimer(m_loop.Now());
    RearmTimer();
  })
{
}

std::string
FleetService::Start()
{
  Address address{ m_options.m_self.m_host, m_options.m_port };
  std::string problem = m_socket.Bind(address);
  if (problem.empty()) {
    problem = m_server.Listen(address);
  }
  if (problem.empty()) {
    m_view.Start(m_loop.Now());
    RearmTimer();
  }
  return problem;
}

bool
FleetService::InContact() const
{
  return m_view.InContact(m_loop.Now());
}

uint64_t
FleetService::StoreEra() const
{
  auto era = [](const ObjectFeed& aFeed) { return aFeed.CompleteTo().m_era; };
  return era(*std::ranges::max_element(m_feeds, {}, era));
}

std::vector<FleetRecord>
FleetService::FollowedMembers() const
{
  std::vector<FleetRecord> members = m_view.LiveMembers();
  std::erase_if(members, [this](const FleetRecord& aMember) {
    return m_hostsWithoutEra.contains(aMember.m_host);
  });
  return members;
}

void
FleetService::AddSeeds(std::span<const std::string> aHosts)
{
  m_view.AddSeeds(aHosts);
}

void
FleetService::SetSelf(FleetState aState, bool aReady, bool aStoreReachable)
{
  m_view.SetSelf(aState, aReady, aStoreReachable);
}

void
FleetService::SetCapacity(uint32_t aCapacity)
{
  m_view.SetCapacity(aCapacity);
}

void
FleetService::AnnounceFeeds()
{
  m_view.AnnounceSelf();
}

void
FleetService::SendPayload(const std::string& aHost,
                          PeerTopic aTopic,
                          std::string aPayload)
{
  m_view.SendPayload(aHost, aTopic, std::move(aPayload));
}

void
FleetService::OnPayload(const FleetRecord& aSender,
                        PeerTopic aTopic,
                        std::string_view aPayload)
{
  m_observer.OnPeerPayload(aSender, aTopic, aPayload);
}

void
FleetService::SendTo(const std::string& aHost, const FleetMessage& aMessage)
{
  m_socket.Send({ aHost, m_options.m_port }, EncodeFleetMessage(aMessage));
}

void
FleetService::OnMemberChanged(const FleetRecord& aRecord)
{
  m_membersChanged = true;
  m_log.Write(Event::kMemberChanged,
              { { "instance", aRecord.m_host },
                { "state", std::string(FleetStateName(aRecord.m_state)) },
                { "incarnation", absl::StrCat(aRecord.m_incarnation) } });
}

void
FleetService::OnFeedWatermarks(const FleetRecord& aSender,
                               std::span<const FeedWatermark> aWatermarks)
{
  NoteEraOf(aSender.m_host, aWatermarks);
  TimePoint now = m_loop.Now();
  bool newer = false;
  bool isLaterEra = false;
  for (size_t i = 0; i < std::min(aWatermarks.size(), m_feeds.size()); ++i) {
    const StorePosition& content = aWatermarks[i].m_content;
    const StorePosition& known = m_feeds[i].CompleteTo();
    m_feeds[i].ConfirmFreshness(aWatermarks[i], now);
    newer = newer || content > known;
    isLaterEra = isLaterEra || content.m_era > known.m_era;
  }
  if (newer && MayFetchFrom(aSender, now)) {
    FetchFeeds(aSender.m_host,
               isLaterEra ? SnapshotTimeout() : m_options.m_exchangeTimeout);
  }
}

Duration
FleetService::SnapshotTimeout() const
{
  size_t objects = 0;
  for (const ObjectFeed& feed : m_feeds) {
    objects += feed.ObjectCount();
  }
  return m_options.m_snapshotTimeout +
         m_options.m_snapshotTimePerObject * static_cast<int64_t>(objects);
}

void
FleetService::NoteEraOf(const std::string& aHost,
                        std::span<const FeedWatermark> aWatermarks)
{
  bool hasContent = false;
  bool statesEra = false;
  for (const FeedWatermark& watermark : aWatermarks) {
    hasContent = hasContent || watermark.m_content.m_revision > 0;
    statesEra = statesEra || watermark.m_content.m_era > 0;
  }
  if (hasContent && !statesEra && StoreEra() > 0) {
    m_membersChanged =
      m_hostsWithoutEra.insert(aHost).second || m_membersChanged;
  } else {
    m_membersChanged = m_hostsWithoutEra.erase(aHost) > 0 || m_membersChanged;
  }
}

bool
FleetService::MayFetchFrom(const FleetRecord& aPeer, TimePoint aNow) const
{
  if (aPeer.m_dataCentre == m_options.m_self.m_dataCentre) {
    return true;
  }
  const ObjectFeed& replicas =
    m_feeds[static_cast<size_t>(FeedKind::kReplicas)];
  bool stale = replicas.Age(aNow).value_or(m_options.m_staleFeedAge) >=
               m_options.m_staleFeedAge;
  return stale ||
         FetchesFromRemoteDataCentres(m_view.LiveMembers(), m_view.Self());
}

std::vector<FeedWatermark>
FleetService::FeedWatermarks()
{
  std::vector<FeedWatermark> watermarks;
  std::ranges::transform(
    m_feeds, std::back_inserter(watermarks), [&](const ObjectFeed& aFeed) {
      return aFeed.Watermark(m_loop.Now());
    });
  return watermarks;
}

void
FleetService::OnRequest(std::shared_ptr<Http1Exchange> aExchange)
{
  const std::string& target = aExchange->Request().m_target;
  if (PathOf(target) != kFeedPath) {
    aExchange->Answer({ .m_status = kNotFoundStatus });
    return;
  }
  std::array<StorePosition, kFeedKinds> since = ParseSince(QueryOf(target));
  std::vector<FeedDelta> deltas;
  for (size_t i = 0; i < m_feeds.size(); ++i) {
    deltas.push_back(m_feeds[i].ChangesSince(since[i], m_loop.Now()));
  }
  aExchange->Answer({ .m_status = kOkStatus, .m_body = EncodeDeltas(deltas) });
}

void
FleetService::OnDatagram(const std::string& aHost, std::string_view aBytes)
{
  std::optional<FleetMessage> message = DecodeFleetMessage(aBytes);
  // Only the host that a record describes may send it as its sender.
  if (!message || message->m_sender.m_host != aHost) {
    return;
  }
  m_view.OnMessage(*message, m_loop.Now());
  RearmTimer();
}

void
FleetService::FetchFeeds(const std::string& aHost, Duration aTimeout)
{
  if (m_fetchInFlight) {
    return;
  }
  m_fetchInFlight = true;
  std::vector<std::string> since;
  for (const ObjectFeed& feed : m_feeds) {
    since.push_back(FormatPosition(feed.CompleteTo()));
  }
  Http1Request request{ .m_target = absl::StrCat(std::string(kFeedPath),
                                                 "?since=",
                                                 absl::StrJoin(since, ",")),
                        .m_headers = { { "Host", aHost } } };
  m_client.Send({ .m_address = { aHost, m_options.m_port },
                  .m_bytes = SerializeRequest(request),
                  .m_timeout = aTimeout },
                [this, aHost](const Http1Result& aResult) {
                  OnFeedsFetched(aHost, aResult);
                });
}

void
FleetService::OnFeedsFetched(const std::string& aHost,
                             const Http1Result& aResult)
{
  m_fetchInFlight = false;
  if (aResult.m_outcome != Http1Outcome::kAnswered) {
    m_log.Write(Event::kPeerFailed,
                { { "address", aHost },
                  { "call", "feeds" },
                  { "reason", std::string(aResult.m_problem) } });
    return;
  }
  auto deltas = DecodeDeltas(aResult.m_response.m_body);
  if (!deltas) {
    m_log.Write(Event::kPeerFailed,
                { { "address", aHost },
                  { "call", "feeds" },
                  { "reason", "unreadable" } });
    return;
  }
  TimePoint now = m_loop.Now();
  bool changed = false;
  // A peer of another release may have fewer or more kinds of feeds.
  for (size_t i = 0; i < std::min(deltas->size(), m_feeds.size()); ++i) {
    size_t count = 0;
    m_feeds[i].Merge((*deltas)[i], now, [&](const FeedObject& aObject) {
      ++count;
      m_observer.OnObjectMerged(static_cast<FeedKind>(i), aObject);
    });
    if (count > 0) {
      changed = true;
      m_log.Write(
        Event::kFeedMerged,
        { { "peer", aHost },
          { "kind", std::string(FeedKindName(static_cast<FeedKind>(i))) },
          { "objects", absl::StrCat(count) },
          { "revision", FormatPosition((*deltas)[i].m_completeTo) },
          { "age_ms", absl::StrCat(ToMilliseconds((*deltas)[i].m_age)) } });
    }
  }
  m_observer.OnMergeCompleted();
  if (changed) {
    AnnounceFeeds();
  }
}

void
FleetService::RearmTimer()
{
  if (std::exchange(m_membersChanged, false)) {
    m_observer.OnFleetChanged();
  }
  m_timer.Set(m_view.NextTimer());
}

} // namespace ebonykeel
