#include "standins/upstream/upstream_service.h"

#include <algorithm>
#include <utility>

#include <kj/debug.h>

#include "absl/random/distributions.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "standins/support/json_fields.h"
#include "standins/upstream/documents.h"

namespace ebonykeel::standins {
namespace {

using nlohmann::json;

constexpr std::string_view kWorkPrefix = "/work/";
constexpr uint32_t kMaxLimit = 1000;
constexpr uint32_t kDefaultLimit = 10;
constexpr size_t kOversizedBytes = size_t{ 8 } << 20;

std::string
HeaderText(const HttpRequest& aRequest, std::string_view aName)
{
  return std::string(FindHeader(aRequest.m_headers, aName).value_or(""));
}

uint64_t
HeaderNumber(const HttpRequest& aRequest,
             std::string_view aName,
             uint64_t aDefault)
{
  uint64_t number = 0;
  return absl::SimpleAtoi(HeaderText(aRequest, aName), &number) ? number
                                                                : aDefault;
}

TimePoint
ReadDeadline(const HttpRequest& aRequest, TimePoint aNow)
{
  constexpr uint64_t kMaxMilliseconds = 3'600'000;
  uint64_t remaining =
    HeaderNumber(aRequest, "x-deadline-ms", kMaxMilliseconds);
  return aNow + Milliseconds(std::min(remaining, kMaxMilliseconds));
}

json
HitsJson(const std::vector<Hit>& aHits)
{
  json list = json::array();
  for (const Hit& hit : aHits) {
    list.push_back({ { "document", hit.m_document },
                     { "score", hit.m_score },
                     { "text", hit.m_text } });
  }
  return list;
}

std::string
Dump(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

UpstreamService::UpstreamService(RuntimeClock& aClock,
                                 const UpstreamSettings& aSettings,
                                 uint64_t aSeed,
                                 uint64_t aBootBase)
  : m_clock(aClock)
  , m_settings(aSettings)
  , m_random(aSeed)
  , m_model(aSettings.m_model, m_random)
  , m_bootBase(aBootBase)
  , m_tasks(*this)
{
}

UpstreamService::~UpstreamService() noexcept = default;

kj::Promise<Reply>
UpstreamService::Handle(HttpRequest aRequest)
{
  if (m_faults.m_down) {
    return Reply{ .m_ending = ReplyEnding::kReset };
  }
  if (aRequest.m_method == "POST" && aRequest.m_path == "/search") {
    return HandleSearch(std::move(aRequest));
  }
  if (aRequest.m_method == "POST" && aRequest.m_path == "/file") {
    return HandleFiling(aRequest);
  }
  if (aRequest.m_method == "DELETE" &&
      aRequest.m_path.starts_with(kWorkPrefix)) {
    return HandleCancel(aRequest);
  }
  if (aRequest.m_path == "/health") {
    return HandleHealth();
  }
  return WithCommonHeaders(
    JsonReply(404, R"({"code":"not_found","ran":false})"));
}

std::optional<Duration>
UpstreamService::OnConnect()
{
  bool atLimit = m_settings.m_connectionLimit > 0 &&
                 m_connections.m_open >= m_settings.m_connectionLimit;
  if (atLimit || m_faults.m_down) {
    ++m_connections.m_refused;
    return std::nullopt;
  }
  ++m_connections.m_open;
  m_connections.m_max = std::max(m_connections.m_max, m_connections.m_open);
  return m_settings.m_connectTime;
}

void
UpstreamService::OnDisconnect()
{
  --m_connections.m_open;
}

kj::Promise<Reply>
UpstreamService::HandleSearch(HttpRequest aRequest)
{
  if (m_faults.m_hang) {
    return Reply{ .m_ending = ReplyEnding::kHang };
  }
  if (!ServesTarget(aRequest)) {
    return RefusalReply(404, "wrong_shard");
  }
  if (!HoldsVersion(HeaderNumber(aRequest, "x-index-version", 0))) {
    Reply reply = WithCommonHeaders(
      JsonReply(409,
                Dump({ { "code", "version_not_held" },
                       { "versions", m_settings.m_indexVersions },
                       { "ran", false } })));
    return reply;
  }
  auto request = kj::heap<HttpRequest>(std::move(aRequest));
  HttpRequest& reference = *request;
  return RunWork(reference, nullptr, [this, request = kj::mv(request)]() {
    return SearchReply(*request);
  });
}

kj::Promise<Reply>
UpstreamService::HandleFiling(const HttpRequest& aRequest)
{
  if (m_faults.m_hang) {
    return Reply{ .m_ending = ReplyEnding::kHang };
  }
  if (!ServesTarget(aRequest)) {
    return RefusalReply(404, "wrong_shard");
  }
  std::string caller = HeaderText(aRequest, "x-caller");
  std::string id = HeaderText(aRequest, "x-request-id");
  std::string operation = HeaderText(aRequest, "x-operation");
  auto execute = [this, caller, id, operation]() {
    Execution& execution = m_executions[{ caller, id }];
    execution.m_caller = caller;
    execution.m_requestId = id;
    execution.m_operation = operation;
    ++execution.m_count;
  };
  auto answer = [this, id, operation]() {
    return WithCommonHeaders(
      JsonReply(200,
                Dump({ { "request_id", id },
                       { "outcome", "ran" },
                       { "result",
                         { { "operation", operation },
                           { "upstream", m_settings.m_id } } } })));
  };
  // kj::Function only refers to an lvalue, so both closures are moved in.
  return RunWork(
    aRequest, kj::Function<void()>(kj::mv(execute)), kj::mv(answer));
}

kj::Promise<Reply>
UpstreamService::HandleCancel(const HttpRequest& aRequest)
{
  bool cancelled = false;
  auto found = m_workByRequest.find(aRequest.m_path.substr(kWorkPrefix.size()));
  if (found != m_workByRequest.end()) {
    Effects effects;
    WorkId id = found->second;
    cancelled = m_model.Cancel(m_clock.Now(), id, effects);
    if (cancelled) {
      EndWork(id, WorkEnd::kCancelled);
    }
    ApplyEffects(effects);
  }
  return WithCommonHeaders(
    JsonReply(200, Dump({ { "cancelled", cancelled } })));
}

kj::Promise<Reply>
UpstreamService::HandleHealth()
{
  std::string state = m_model.IsDraining() ? "draining"
                      : m_model.IsCold()   ? "cold"
                                           : "warm";
  if (!m_faults.m_reportedHealth.empty()) {
    state = m_faults.m_reportedHealth;
  }
  uint32_t slots = m_model.Options().m_slots;
  double load = static_cast<double>(m_model.HeldCount()) / slots;
  return WithCommonHeaders(
    JsonReply(200,
              Dump({ { "state", state },
                     { "slots", slots },
                     { "in_use", m_model.RunningCount() },
                     { "index_versions", m_settings.m_indexVersions },
                     { "boot_id", CurrentBootId() },
                     { "load", load } })));
}

kj::Promise<Reply>
UpstreamService::RunWork(const HttpRequest& aRequest,
                         kj::Maybe<kj::Function<void()>> aSideEffect,
                         kj::Function<Reply()> aMakeReply)
{
  TimePoint now = m_clock.Now();
  WorkId id = ++m_lastWorkId;
  Work work = { .m_deadline = ReadDeadline(aRequest, now),
                .m_hasSideEffect = aSideEffect != nullptr };
  auto pair = kj::newPromiseAndFulfiller<WorkEnd>();
  std::string requestId = HeaderText(aRequest, "x-request-id");
  m_workByRequest[requestId] = id;
  m_pending.emplace(
    id, PendingWork{ kj::mv(pair.fulfiller), requestId, kj::mv(aSideEffect) });
  Effects effects;
  OfferResult admission = m_model.Offer(now, id, work, effects);
  ApplyEffects(effects);
  switch (admission) {
    case OfferResult::kShed:
      EndWork(id, WorkEnd::kReset);
      return RefusalReply(503, "shed");
    case OfferResult::kDraining:
      EndWork(id, WorkEnd::kReset);
      return RefusalReply(503, "draining");
    case OfferResult::kDeadlinePassed:
      EndWork(id, WorkEnd::kExpired);
      break;
    case OfferResult::kOverloaded:
      EndWork(id, WorkEnd::kReset);
      break;
    case OfferResult::kAccepted:
      m_tasks.add(m_clock.At(work.m_deadline).then([this]() {
        Effects expired;
        m_model.Expire(m_clock.Now(), expired);
        ApplyEffects(expired);
      }));
      break;
  }
  return pair.promise.then(
    [this, makeReply = kj::mv(aMakeReply)](WorkEnd aEnd) mutable {
      return ReplyForEnd(aEnd, makeReply);
    });
}

void
UpstreamService::ApplyEffects(const Effects& aEffects)
{
  for (const WorkStart& start : aEffects.m_started) {
    auto found = m_pending.find(start.m_id);
    if (found != m_pending.end()) {
      KJ_IF_MAYBE (sideEffect, found->second.m_sideEffect) {
        (*sideEffect)();
      }
    }
    m_tasks.add(
      m_clock.After(start.m_serviceTime).then([this, id = start.m_id]() {
        Effects effects;
        m_model.Finish(m_clock.Now(), id, effects);
        EndWork(id, WorkEnd::kCompleted);
        ApplyEffects(effects);
      }));
  }
  for (WorkId id : aEffects.m_expired) {
    EndWork(id, WorkEnd::kExpired);
  }
  for (WorkId id : aEffects.m_reset) {
    EndWork(id, WorkEnd::kReset);
  }
}

void
UpstreamService::EndWork(WorkId aId, WorkEnd aEnd)
{
  auto found = m_pending.find(aId);
  if (found == m_pending.end()) {
    return;
  }
  PendingWork work = std::move(found->second);
  m_pending.erase(found);
  auto byRequest = m_workByRequest.find(work.m_requestId);
  if (byRequest != m_workByRequest.end() && byRequest->second == aId) {
    m_workByRequest.erase(byRequest);
  }
  work.m_fulfiller->fulfill(kj::mv(aEnd));
}

Reply
UpstreamService::ReplyForEnd(WorkEnd aEnd, kj::Function<Reply()>& aMakeReply)
{
  switch (aEnd) {
    case WorkEnd::kCompleted:
      return aMakeReply();
    case WorkEnd::kExpired:
      return RefusalReply(504, "deadline");
    case WorkEnd::kCancelled:
      return RefusalReply(503, "cancelled");
    case WorkEnd::kReset:
      return { .m_ending = ReplyEnding::kReset };
  }
  return { .m_ending = ReplyEnding::kReset };
}

Reply
UpstreamService::SearchReply(const HttpRequest& aRequest)
{
  std::string service = HeaderText(aRequest, "x-service");
  std::string shard = HeaderText(aRequest, "x-shard");
  IndexVersion version = HeaderNumber(aRequest, "x-index-version", 0);
  std::string query;
  uint32_t limit = kDefaultLimit;
  json requestBody = json::parse(aRequest.m_body, nullptr, false);
  if (requestBody.is_object()) {
    UpdateField(requestBody, "query", query);
    UpdateField(requestBody, "limit", limit);
  }
  SearchResult result =
    SearchDocuments(service, shard, version, query, std::min(limit, kMaxLimit));
  bool whole = !absl::Bernoulli(m_random, m_faults.m_partialShare);
  json body = { { "request_id", HeaderText(aRequest, "x-request-id") },
                { "service", service },
                { "shard", shard },
                { "index_version", version },
                { "boot_id", CurrentBootId() },
                { "hits", HitsJson(result.m_hits) },
                { "whole", whole },
                { "searched",
                  whole ? kDocumentsPerShard : kDocumentsPerShard / 2 },
                { "total", result.m_total } };
  Reply reply;
  reply.m_response.m_headers.push_back(
    { "x-request-id", HeaderText(aRequest, "x-request-id") });
  return WithCommonHeaders(Garble(std::move(reply), std::move(body)));
}

Reply
UpstreamService::Garble(Reply aReply, json aBody)
{
  const std::string& kind = m_faults.m_garble;
  if (kind == "wrong_id") {
    aBody["request_id"] = absl::StrCat(aBody.value("request_id", ""), "-other");
    aReply.m_response.m_headers.clear();
  } else if (kind == "wrong_version") {
    aBody["index_version"] = aBody.value("index_version", IndexVersion{}) + 1;
  } else if (kind == "wrong_shard") {
    aBody["shard"] = absl::StrCat(aBody.value("shard", ""), "-other");
  } else if (kind == "oversized") {
    aBody["padding"] = std::string(kOversizedBytes, 'x');
  } else if (kind == "truncate") {
    aReply.m_ending = ReplyEnding::kTruncate;
  } else if (kind == "endless") {
    aReply.m_ending = ReplyEnding::kEndless;
  }
  std::string text = kind == "not_json" ? "<html>busy</html>" : Dump(aBody);
  std::string previous = std::exchange(m_previousBody, text);
  aReply.m_response.m_body =
    kind == "previous" && !previous.empty() ? previous : text;
  return aReply;
}

Reply
UpstreamService::WithCommonHeaders(Reply aReply) const
{
  auto& headers = aReply.m_response.m_headers;
  headers.push_back({ "x-boot-id", absl::StrCat(CurrentBootId()) });
  headers.push_back(
    { "x-index-versions", absl::StrJoin(m_settings.m_indexVersions, ",") });
  if (m_model.IsDraining()) {
    headers.push_back({ "x-draining", "1" });
  }
  if (m_model.IsCold() && m_faults.m_reportedHealth.empty()) {
    headers.push_back({ "x-cold", "1" });
  }
  return aReply;
}

Reply
UpstreamService::RefusalReply(int aStatus, std::string_view aCode) const
{
  return WithCommonHeaders(
    JsonReply(aStatus, Dump({ { "code", aCode }, { "ran", false } })));
}

bool
UpstreamService::ServesTarget(const HttpRequest& aRequest) const
{
  bool service = m_settings.m_service.empty() ||
                 m_settings.m_service == HeaderText(aRequest, "x-service");
  bool shard = m_settings.m_shards.empty() ||
               std::ranges::count(m_settings.m_shards,
                                  HeaderText(aRequest, "x-shard")) > 0;
  return service && shard;
}

bool
UpstreamService::HoldsVersion(IndexVersion aVersion) const
{
  return std::ranges::count(m_settings.m_indexVersions, aVersion) > 0;
}

uint64_t
UpstreamService::CurrentBootId() const
{
  return m_bootBase + m_model.StartCount();
}

void
UpstreamService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "upstream stand-in task failed", aException);
}

} // namespace ebonykeel::standins
