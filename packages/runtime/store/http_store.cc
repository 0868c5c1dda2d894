#include "runtime/store/http_store.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

std::string
ObjectPath(std::string_view aKey)
{
  return absl::StrCat("/v1/objects/",
                      absl::string_view(aKey.data(), aKey.size()));
}

std::optional<uint64_t>
VersionFromETag(const HttpResponse& aResponse)
{
  std::optional<std::string_view> tag = FindHeader(aResponse.m_headers, "etag");
  uint64_t version = 0;
  if (!tag || !absl::SimpleAtoi(absl::string_view(tag->data(), tag->size()),
                                &version)) {
    return std::nullopt;
  }
  return version;
}

StoreRead
ToStoreRead(HttpReply aReply)
{
  if (!aReply.m_status.ok()) {
    return {};
  }
  switch (aReply.m_response.m_status) {
    case 304:
      return { .m_outcome = StoreReadOutcome::kUnchanged };
    case 404:
      return { .m_outcome = StoreReadOutcome::kNotFound };
    case 200:
      break;
    default:
      return {};
  }
  std::optional<uint64_t> version = VersionFromETag(aReply.m_response);
  if (!version) {
    return {};
  }
  return { .m_outcome = StoreReadOutcome::kFound,
           .m_version = *version,
           .m_value = std::move(aReply.m_response.m_body) };
}

StoreWrite
ToStoreWrite(const HttpReply& aReply)
{
  if (!aReply.m_status.ok()) {
    bool sent = aReply.m_progress != HttpProgress::kNotSent;
    return { .m_outcome = sent ? StoreWriteOutcome::kUnknown
                               : StoreWriteOutcome::kRefused };
  }
  int status = aReply.m_response.m_status;
  if (status == 412) {
    return { .m_outcome = StoreWriteOutcome::kConflict };
  }
  std::optional<uint64_t> version = VersionFromETag(aReply.m_response);
  if (status == 200 && version) {
    return { .m_outcome = StoreWriteOutcome::kWritten, .m_version = *version };
  }
  bool refused = status == 429 || status == 413 || status == 400;
  return { .m_outcome = refused ? StoreWriteOutcome::kRefused
                                : StoreWriteOutcome::kUnknown };
}

InstanceList
ToInstanceList(const HttpReply& aReply)
{
  if (!aReply.m_status.ok() || aReply.m_response.m_status != 200) {
    return {};
  }
  nlohmann::json body =
    nlohmann::json::parse(aReply.m_response.m_body, nullptr, false);
  if (!body.is_object() || !body.contains("instances") ||
      !body["instances"].is_array()) {
    return {};
  }
  InstanceList list{ .m_known = true };
  for (const nlohmann::json& entry : body["instances"]) {
    if (!entry.is_object()) {
      continue;
    }
    list.m_instances.push_back(
      { .m_id = InstanceId(entry.value("id", "")),
        .m_peerAddress = entry.value("peer_address", ""),
        .m_dataCentre = DataCentre(entry.value("data_centre", "")),
        .m_region = Region(entry.value("region", "")),
        .m_leaving = entry.value("state", "live") == "leaving" });
  }
  return list;
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpClient& aClient, HttpStoreOptions aOptions)
  : m_client(aClient)
  , m_options(std::move(aOptions))
{
}

kj::Promise<StoreRead>
HttpObjectStore::Read(std::string_view aKey)
{
  ++m_counters.m_reads;
  return m_client
    .Send(
      m_options.m_store, { .m_path = ObjectPath(aKey) }, m_options.m_timeout)
    .then([this](HttpReply aReply) {
      CloseIdleAfterTimeout(aReply);
      StoreRead read = ToStoreRead(std::move(aReply));
      m_counters.m_failed += read.m_outcome == StoreReadOutcome::kFailed;
      return read;
    });
}

kj::Promise<StoreRead>
HttpObjectStore::Watch(std::string_view aKey, uint64_t aVersion, Duration aWait)
{
  ++m_counters.m_watches;
  HttpRequest request{
    .m_path = ObjectPath(aKey),
    .m_query =
      absl::StrCat("watch=", aVersion, "&timeout_ms=", ToMilliseconds(aWait))
  };
  return m_client
    .Send(m_options.m_store, std::move(request), aWait + m_options.m_timeout)
    .then([this](HttpReply aReply) {
      CloseIdleAfterTimeout(aReply);
      StoreRead read = ToStoreRead(std::move(aReply));
      m_counters.m_failed += read.m_outcome == StoreReadOutcome::kFailed;
      return read;
    });
}

kj::Promise<StoreWrite>
HttpObjectStore::Write(std::string_view aKey,
                       uint64_t aIfVersion,
                       std::string_view aValue)
{
  ++m_counters.m_writes;
  HttpRequest request{ .m_method = "PUT",
                       .m_path = ObjectPath(aKey),
                       .m_body = std::string(aValue) };
  if (aIfVersion == 0) {
    request.m_headers.push_back({ "if-none-match", "*" });
  } else {
    request.m_headers.push_back({ "if-match", absl::StrCat(aIfVersion) });
  }
  return m_client
    .Send(m_options.m_store, std::move(request), m_options.m_timeout)
    .then([this](HttpReply&& aReply) {
      CloseIdleAfterTimeout(aReply);
      StoreWrite write = ToStoreWrite(aReply);
      m_counters.m_failed += write.m_outcome == StoreWriteOutcome::kUnknown ||
                             write.m_outcome == StoreWriteOutcome::kRefused;
      return write;
    });
}

void
HttpObjectStore::CloseIdleAfterTimeout(const HttpReply& aReply)
{
  if (aReply.m_status.code() == absl::StatusCode::kDeadlineExceeded) {
    m_client.CloseIdle(m_options.m_store);
  }
}

kj::Promise<InstanceList>
HttpObjectStore::ListInstances()
{
  ++m_counters.m_lists;
  return m_client
    .Send(m_options.m_instanceList,
          { .m_path = "/v1/instances" },
          m_options.m_timeout)
    .then([](HttpReply&& aReply) { return ToInstanceList(aReply); });
}

} // namespace ebonykeel
