#include "standins/platform/platform_service.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include <kj/debug.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "standins/support/json_fields.h"

namespace ebonykeel::standins {
namespace {

using nlohmann::json;

constexpr std::string_view kObjectsPath = "/v1/objects";
constexpr std::string_view kObjectPrefix = "/v1/objects/";
constexpr std::string_view kInstancesPath = "/v1/instances";
constexpr std::string_view kControlPrefix = "/standin/";
constexpr std::string_view kControlInstances = "/standin/instances/";
constexpr size_t kMaxListLimit = 1000;
constexpr int64_t kMaxWatchMilliseconds = 600'000;

Reply
ErrorReply(int aStatus, std::string_view aCode)
{
  return JsonReply(aStatus, json{ { "code", aCode } }.dump());
}

uint64_t
ToNumber(const std::optional<std::string>& aText, uint64_t aDefault)
{
  uint64_t number = 0;
  return aText.has_value() && absl::SimpleAtoi(*aText, &number) ? number
                                                                : aDefault;
}

std::optional<uint64_t>
HeaderVersion(const HttpRequest& aRequest, std::string_view aName)
{
  std::optional<std::string_view> text = FindHeader(aRequest.m_headers, aName);
  if (!text.has_value()) {
    return std::nullopt;
  }
  return ToNumber(std::string(*text), std::numeric_limits<uint64_t>::max());
}

Condition
ReadCondition(const HttpRequest& aRequest)
{
  if (FindHeader(aRequest.m_headers, "if-none-match") == "*") {
    return { .m_version = kAbsent };
  }
  return { .m_version = HeaderVersion(aRequest, "if-match") };
}

bool
IsChange(std::string_view aMethod)
{
  return aMethod == "PUT" || aMethod == "DELETE";
}

json
InstanceJson(const ListedInstance& aInstance)
{
  return { { "id", aInstance.m_id },
           { "peer_address", aInstance.m_peerAddress },
           { "public_address", aInstance.m_publicAddress },
           { "admin_address", aInstance.m_adminAddress },
           { "data_centre", aInstance.m_dataCentre },
           { "region", aInstance.m_region },
           { "state", aInstance.m_state } };
}

ListedInstance
InstanceFromJson(const json& aJson, std::string aId)
{
  ListedInstance instance;
  instance.m_id = std::move(aId);
  UpdateField(aJson, "peer_address", instance.m_peerAddress);
  UpdateField(aJson, "public_address", instance.m_publicAddress);
  UpdateField(aJson, "admin_address", instance.m_adminAddress);
  UpdateField(aJson, "data_centre", instance.m_dataCentre);
  UpdateField(aJson, "region", instance.m_region);
  UpdateField(aJson, "state", instance.m_state);
  return instance;
}

} // namespace

// One long poll that waits for a change of its key.
class PlatformService::Watch
{
public:
  Watch(kj::PromiseFulfiller<void>& aFulfiller,
        PlatformService& aService,
        const std::string& aKey)
    : m_fulfiller(aFulfiller)
    , m_service(aService)
    , m_position(aService.m_watches.emplace(aKey, this))
  {
    ++m_service.m_counters.m_watchesWaiting;
  }

  ~Watch()
  {
    m_service.m_watches.erase(m_position);
    --m_service.m_counters.m_watchesWaiting;
  }

  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void Wake() { m_fulfiller.fulfill(); }

private:
  kj::PromiseFulfiller<void>& m_fulfiller;
  PlatformService& m_service;
  std::multimap<std::string, Watch*, std::less<>>::iterator m_position;
};

PlatformService::PlatformService(RuntimeClock& aClock,
                                 const PlatformOptions& aOptions)
  : m_clock(aClock)
  , m_reads(aOptions.m_readRate)
  , m_writes(aOptions.m_writeRate)
  , m_tasks(*this)
{
  m_faults.m_listLag = aOptions.m_listLag;
}

PlatformService::~PlatformService() noexcept = default;

kj::Promise<Reply>
PlatformService::Handle(HttpRequest aRequest)
{
  if (aRequest.m_path.starts_with(kControlPrefix)) {
    return HandleControl(aRequest);
  }
  if (m_faults.m_outage) {
    ++m_counters.m_refused;
    return OutageReply();
  }
  return HandleApiCall(std::move(aRequest)).then([this](Reply aReply) {
    return m_clock.After(m_faults.m_latency)
      .then([this, reply = std::move(aReply)]() mutable {
        return m_faults.m_outage ? OutageReply() : std::move(reply);
      });
  });
}

kj::Promise<Reply>
PlatformService::HandleControl(const HttpRequest& aRequest)
{
  if (aRequest.m_path.starts_with(kControlInstances)) {
    return ChangeInstance(aRequest);
  }
  if (aRequest.m_path == "/standin/faults" && aRequest.m_method == "POST") {
    return SetFaults(aRequest);
  }
  if (aRequest.m_path == "/standin/counters/reset") {
    uint64_t waiting = m_counters.m_watchesWaiting;
    m_counters = { .m_watchesWaiting = waiting };
    return CountersReply();
  }
  if (aRequest.m_path == "/standin/counters") {
    return CountersReply();
  }
  return ErrorReply(404, "not_found");
}

Reply
PlatformService::ChangeInstance(const HttpRequest& aRequest)
{
  std::string id = aRequest.m_path.substr(kControlInstances.size());
  if (aRequest.m_method == "DELETE") {
    m_instances.Remove(m_clock.Now(), id);
    return JsonReply(200, "{}");
  }
  json body = json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object()) {
    return ErrorReply(400, "bad_json");
  }
  m_instances.Set(m_clock.Now(), InstanceFromJson(body, std::move(id)));
  return JsonReply(200, "{}");
}

Reply
PlatformService::SetFaults(const HttpRequest& aRequest)
{
  json body = json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object()) {
    return ErrorReply(400, "bad_json");
  }
  UpdateField(body, "outage", m_faults.m_outage);
  UpdateField(body, "outage_mode", m_faults.m_outageMode);
  UpdateMilliseconds(body, "latency_ms", m_faults.m_latency);
  UpdateMilliseconds(body, "apply_delay_ms", m_faults.m_applyDelay);
  UpdateField(body, "lose_replies", m_faults.m_loseReplies);
  UpdateField(body, "lose_replies_for", m_faults.m_loseRepliesMethod);
  UpdateField(body, "lose_by_hang", m_faults.m_hangOnLostReply);
  UpdateField(body, "duplicate_late", m_faults.m_duplicateChanges);
  UpdateMilliseconds(body, "serve_stale_ms", m_faults.m_staleness);
  UpdateMilliseconds(body, "list_lag_ms", m_faults.m_listLag);
  std::ranges::for_each(m_watches,
                        [](const auto& aEntry) { aEntry.second->Wake(); });
  return JsonReply(200, "{}");
}

Reply
PlatformService::CountersReply() const
{
  return JsonReply(
    200,
    json{ { "reads", m_counters.m_reads },
          { "writes", m_counters.m_writes },
          { "watches_started", m_counters.m_watchesStarted },
          { "watches_waiting", m_counters.m_watchesWaiting },
          { "instance_list_reads", m_counters.m_instanceListReads },
          { "refused", m_counters.m_refused } }
      .dump());
}

kj::Promise<Reply>
PlatformService::HandleApiCall(HttpRequest aRequest)
{
  bool change = IsChange(aRequest.m_method);
  TokenBucket& bucket = change ? m_writes : m_reads;
  if (!bucket.TryTake(m_clock.Now())) {
    ++m_counters.m_refused;
    return ErrorReply(429, "rate_limited");
  }
  if (aRequest.m_path == kInstancesPath) {
    ++m_counters.m_instanceListReads;
    return ListInstances();
  }
  if (aRequest.m_path == kObjectsPath) {
    ++m_counters.m_reads;
    return ListObjects(aRequest);
  }
  if (aRequest.m_path.starts_with(kObjectPrefix)) {
    return HandleObject(std::move(aRequest));
  }
  return ErrorReply(404, "not_found");
}

kj::Promise<Reply>
PlatformService::HandleObject(HttpRequest aRequest)
{
  if (IsChange(aRequest.m_method)) {
    return ChangeObject(std::move(aRequest));
  }
  if (aRequest.m_method != "GET") {
    return ErrorReply(405, "bad_method");
  }
  std::string key = aRequest.m_path.substr(kObjectPrefix.size());
  if (QueryParameter(aRequest.m_query, "watch").has_value()) {
    return StartWatch(aRequest, key);
  }
  ++m_counters.m_reads;
  return ReadObject(key);
}

Reply
PlatformService::ListInstances() const
{
  TimePoint at = m_clock.Now() - m_faults.m_listLag;
  json list = json::array();
  for (const auto& [id, instance] : m_instances.ViewAt(at)) {
    list.push_back(InstanceJson(instance));
  }
  json body = { { "instances", std::move(list) },
                { "as_of_ms", ToMilliseconds(at.time_since_epoch()) } };
  return JsonReply(200, body.dump());
}

Reply
PlatformService::ListObjects(const HttpRequest& aRequest) const
{
  auto summaries = m_objects.List(
    QueryParameter(aRequest.m_query, "prefix").value_or(""),
    QueryParameter(aRequest.m_query, "after").value_or(""),
    std::min<size_t>(
      kMaxListLimit,
      ToNumber(QueryParameter(aRequest.m_query, "limit"), kMaxListLimit)),
    ReadTime());
  json list = json::array();
  for (const ObjectSummary& summary : summaries) {
    list.push_back({ { "key", summary.m_key },
                     { "version", summary.m_version },
                     { "size", summary.m_size } });
  }
  return JsonReply(200, json{ { "objects", std::move(list) } }.dump());
}

Reply
PlatformService::ReadObject(const std::string& aKey) const
{
  const StoredObject* object = m_objects.Find(aKey, ReadTime());
  if (object == nullptr) {
    return ErrorReply(404, "not_found");
  }
  Reply reply;
  reply.m_response.m_headers.push_back(
    { "etag", absl::StrCat(object->m_version) });
  reply.m_response.m_body = object->m_body;
  return reply;
}

kj::Promise<Reply>
PlatformService::StartWatch(const HttpRequest& aRequest,
                            const std::string& aKey)
{
  ++m_counters.m_watchesStarted;
  uint64_t version = ToNumber(QueryParameter(aRequest.m_query, "watch"), 0);
  int64_t timeout = std::min<int64_t>(
    kMaxWatchMilliseconds,
    ToNumber(QueryParameter(aRequest.m_query, "timeout_ms"), 0));
  TimePoint deadline = m_clock.Now() + Milliseconds(timeout);
  return WaitForChange(aKey, version, deadline).then([this, aKey, version]() {
    const StoredObject* object = m_objects.Find(aKey, ReadTime());
    uint64_t current = object == nullptr ? kAbsent : object->m_version;
    if (current == version) {
      Reply unchanged;
      unchanged.m_response.m_status = 304;
      return unchanged;
    }
    return ReadObject(aKey);
  });
}

// Resolves when reads of `aKey` return another version than `aVersion`, when
// `aDeadline` has passed or when an outage begins.
kj::Promise<void>
PlatformService::WaitForChange(const std::string& aKey,
                               uint64_t aVersion,
                               TimePoint aDeadline)
{
  const StoredObject* object = m_objects.Find(aKey, ReadTime());
  uint64_t current = object == nullptr ? kAbsent : object->m_version;
  if (current != aVersion || m_clock.Now() >= aDeadline || m_faults.m_outage) {
    return kj::READY_NOW;
  }
  return kj::newAdaptedPromise<void, Watch>(*this, aKey)
    .then([this]() { return m_clock.After(m_faults.m_staleness); })
    .exclusiveJoin(m_clock.At(aDeadline))
    .then([this, aKey, aVersion, aDeadline]() {
      return WaitForChange(aKey, aVersion, aDeadline);
    });
}

kj::Promise<Reply>
PlatformService::ChangeObject(HttpRequest aRequest)
{
  ++m_counters.m_writes;
  if (aRequest.m_body.size() > kMaxObjectBytes) {
    return ErrorReply(413, "too_large");
  }
  bool loseReply = TakeReplyLoss(aRequest.m_method);
  if (m_faults.m_duplicateChanges) {
    m_tasks.add(m_clock.After(m_faults.m_applyDelay + kDuplicateDelay)
                  .then([this, copy = aRequest]() { ApplyChange(copy); }));
  }
  // The change is applied even if the client disconnects before.
  auto applied = m_clock.After(m_faults.m_applyDelay)
                   .then([this, request = std::move(aRequest)]() {
                     return ApplyChange(request);
                   })
                   .fork();
  m_tasks.add(applied.addBranch().ignoreResult());
  return applied.addBranch().then([this, loseReply](Reply aReply) {
    if (loseReply) {
      aReply.m_ending =
        m_faults.m_hangOnLostReply ? ReplyEnding::kHang : ReplyEnding::kReset;
    }
    return aReply;
  });
}

Reply
PlatformService::ApplyChange(const HttpRequest& aRequest)
{
  std::string key = aRequest.m_path.substr(kObjectPrefix.size());
  Condition condition = ReadCondition(aRequest);
  ChangeResult result =
    aRequest.m_method == "PUT"
      ? m_objects.Put(m_clock.Now(), key, aRequest.m_body, condition)
      : m_objects.Delete(m_clock.Now(), key, condition);
  if (!result.m_applied) {
    json body = { { "code", "conflict" }, { "version", result.m_version } };
    return JsonReply(412, body.dump());
  }
  auto [first, last] = m_watches.equal_range(key);
  std::for_each(first, last, [](const auto& aEntry) { aEntry.second->Wake(); });
  Reply reply = JsonReply(200, json{ { "version", result.m_version } }.dump());
  reply.m_response.m_headers.push_back(
    { "etag", absl::StrCat(result.m_version) });
  return reply;
}

bool
PlatformService::TakeReplyLoss(std::string_view aMethod)
{
  bool matchesMethod = m_faults.m_loseRepliesMethod.empty() ||
                       m_faults.m_loseRepliesMethod == aMethod;
  if (m_faults.m_loseReplies == 0 || !matchesMethod) {
    return false;
  }
  --m_faults.m_loseReplies;
  return true;
}

Reply
PlatformService::OutageReply() const
{
  Reply reply = ErrorReply(503, "unavailable");
  if (m_faults.m_outageMode == "hang") {
    reply.m_ending = ReplyEnding::kHang;
  }
  if (m_faults.m_outageMode == "reset") {
    reply.m_ending = ReplyEnding::kReset;
  }
  return reply;
}

TimePoint
PlatformService::ReadTime() const
{
  return m_clock.Now() - m_faults.m_staleness;
}

void
PlatformService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "platform stand-in task failed", aException);
}

} // namespace ebonykeel::standins
