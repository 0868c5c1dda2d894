// What an entry instance needs translated between its own types and what
// callers, searchers and the platform's store speak. Implementations translate
// names and formats; they decide nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/feed/object_feed.h"
#include "core/forward/forward_run.h"
#include "core/replica/replica.h"
#include "core/traffic/traffic_config.h"
#include "runtime/http1/message.h"

namespace ebonykeel {

// What a caller's request says beside its method, target and body.
struct CallerRequest
{
  // Names the attempt; empty if the caller gave none.
  std::string m_attemptId;
  std::string m_host;
  // How long the caller will wait; nothing if it does not say.
  std::optional<Duration> m_remaining;
};

// A searcher's answer to a forwarded request.
struct UpstreamAnswer
{
  AttemptOutcome m_outcome = AttemptOutcome::kFailure;
  // The searcher's signature; empty if there is none.
  std::string m_signature;
  Http1Response m_response;
};

// The caller's query where to connect.
struct DirectoryQuery
{
  std::string m_host;
  DataCentre m_dataCentre;
};

class TrafficProtocol
{
public:
  virtual ~TrafficProtocol() = default;

  [[nodiscard]] virtual CallerRequest ReadCallerRequest(
    const Http1Request& aRequest) const = 0;
  // Returns the caller's request as a searcher gets it.
  [[nodiscard]] virtual Http1Request MakeUpstreamRequest(
    const Http1Request& aRequest,
    const Replica& aReplica,
    Duration aDeadline) const = 0;
  // Returns whether an answer belongs to the attempt.
  [[nodiscard]] virtual bool BelongsToAttempt(
    const Http1Response& aResponse,
    std::string_view aAttemptId) const = 0;
  [[nodiscard]] virtual UpstreamAnswer ReadUpstreamAnswer(
    Http1Response aResponse) const = 0;

  // Returns a searcher's answer as the caller gets it.
  [[nodiscard]] virtual Http1Response MakeForwardedAnswer(
    UpstreamAnswer aAnswer) const = 0;
  // Returns a gathered answer.
  [[nodiscard]] virtual Http1Response MakeGatheredAnswer(
    std::span<const std::string_view> aSignatures,
    uint32_t aMissing,
    std::string aBody) const = 0;
  // Returns an answer of this instance's own. `aRetryAfter` is stated if it is
  // not nothing.
  [[nodiscard]] virtual Http1Response MakeOwnAnswer(
    int aStatus,
    std::string_view aReason,
    std::optional<Duration> aRetryAfter) const = 0;

  // Returns nothing if the request is no query for addresses.
  [[nodiscard]] virtual std::optional<DirectoryQuery> ReadDirectoryQuery(
    const Http1Request& aRequest) const = 0;
  [[nodiscard]] virtual Http1Response MakeDirectoryAnswer(
    std::span<const Address> aAddresses,
    Duration aTtl) const = 0;
  // Returns whether the request asks if this instance takes callers.
  [[nodiscard]] virtual bool IsReadinessCheck(
    const Http1Request& aRequest) const = 0;
};

// The kinds of the store's objects that every instance keeps a copy of. The
// values are the order in which instances exchange them.
enum class FeedKind : uint8_t
{
  kConfiguration = 0,
  kReplicas = 1,
  // Data centres whose searchers get nothing.
  kExclusions = 2,
};

inline constexpr size_t kFeedKinds = 3;

[[nodiscard]] std::string_view
FeedKindName(FeedKind aKind);

// One page of a list.
struct StoreListPage
{
  std::vector<FeedObject> m_objects;
  // The name after which to go on; empty at the end.
  std::string m_nextAfter;
  uint64_t m_asOfRevision = 0;
};

struct StoreEvents
{
  std::vector<FeedObject> m_objects;
  uint64_t m_asOfRevision = 0;
};

class StoreProtocol
{
public:
  virtual ~StoreProtocol() = default;

  // Returns the request for a page of the objects after the name `aAfter`.
  [[nodiscard]] virtual Http1Request MakeListRequest(
    FeedKind aKind,
    std::string_view aAfter) const = 0;
  // Returns the request for what changes after `aRevision`, answered at the
  // first change or after `aWait`.
  [[nodiscard]] virtual Http1Request MakeWatchRequest(FeedKind aKind,
                                                      uint64_t aRevision,
                                                      Duration aWait) const = 0;
  // Both return the objects with normalised payloads, equal for equal content;
  // an object that cannot be read counts as removed.
  [[nodiscard]] virtual absl::StatusOr<StoreListPage> ReadListPage(
    FeedKind aKind,
    std::string_view aBody) const = 0;
  // Fails with OutOfRange if the history is gone.
  [[nodiscard]] virtual absl::StatusOr<StoreEvents> ReadEvents(
    FeedKind aKind,
    const Http1Response& aResponse) const = 0;

  // Both read a payload that this protocol normalised.
  [[nodiscard]] virtual absl::StatusOr<TrafficConfigPtr> ReadConfiguration(
    std::string_view aPayload) const = 0;
  [[nodiscard]] virtual absl::StatusOr<Replica> ReadReplica(
    std::string_view aName,
    std::string_view aPayload) const = 0;

  // The instances' own list, which a starting instance reads when its seeds do
  // not answer.
  [[nodiscard]] virtual Http1Request MakeListInstancesRequest() const = 0;
  [[nodiscard]] virtual absl::StatusOr<std::vector<std::string>> ReadInstances(
    std::string_view aBody) const = 0;
  [[nodiscard]] virtual Http1Request MakeAddInstanceRequest(
    std::string_view aHost,
    const DataCentre& aDataCentre) const = 0;
  [[nodiscard]] virtual Http1Request MakeRemoveInstanceRequest(
    std::string_view aHost) const = 0;
};

} // namespace ebonykeel
