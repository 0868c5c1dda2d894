// Interfaces that translate between the types of the forward mode and the
// protocols of callers, upstreams and the platform's store. Implementations
// translate names and formats and make no decisions.
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
#include "core/rollout/rollout.h"
#include "core/traffic/traffic_config.h"
#include "runtime/http1/client.h"
#include "runtime/http1/message.h"

namespace ebonykeel {

// The parts of a caller's request that concern forwarding.
struct CallerRequest
{
  // Identifies the caller attempt; empty if the caller gave no identifier.
  std::string m_attemptId;
  std::string m_host;
  // How long the caller will wait; nothing if the request does not state it.
  std::optional<Duration> m_remaining;
  // The digest of the caller's key; nothing if the request has no key, or
  // several that differ.
  std::optional<KeyDigest> m_key;
};

// What an upstream is told about a request's caller.
struct CallerIdentity
{
  // Whether the configuration has workspaces. What the caller states about its
  // key and its workspace is then not passed on.
  bool m_usesWorkspaces = false;
  // The caller's workspace; empty if it has none.
  std::string m_workspace;
};

// What an upstream states about itself in an answer.
struct UpstreamNotices
{
  // It is leaving: it wants no more requests.
  bool m_isLeaving = false;
  // It rejected the request and wants no others from this instance for this
  // long; nothing if it states no readable time.
  std::optional<Duration> m_retryAfter;
  // The stated time if it cannot be read.
  std::optional<std::string> m_unreadableRetryAfter;
};

// An upstream's answer to a forwarded request.
struct UpstreamAnswer
{
  AttemptOutcome m_outcome = AttemptOutcome::kFailure;
  UpstreamNotices m_notices;
  // The upstream's signature; empty if there is none.
  std::string m_signature;
  Http1Response m_response;
};

// A caller's query for the addresses to connect to.
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
  // Returns the caller's request in the form that is sent to an upstream.
  [[nodiscard]] virtual Http1Request MakeUpstreamRequest(
    const Http1Request& aRequest,
    const Replica& aReplica,
    const CallerIdentity& aCaller,
    Duration aDeadline) const = 0;
  // Returns whether an answer belongs to the caller attempt `aAttemptId`, which
  // is empty if the caller gave no identifier.
  [[nodiscard]] virtual Http1AnswerMatch MatchAnswer(
    const Http1Response& aResponse,
    std::string_view aAttemptId) const = 0;
  [[nodiscard]] virtual UpstreamAnswer ReadUpstreamAnswer(
    Http1Response aResponse) const = 0;

  // Returns an upstream's answer in the form that is sent to the caller.
  [[nodiscard]] virtual Http1Response MakeForwardedAnswer(
    UpstreamAnswer aAnswer) const = 0;
  // Returns the merged answer of a gathered route. `aMissing` is the number of
  // shards that it lacks.
  [[nodiscard]] virtual Http1Response MakeGatheredAnswer(
    std::span<const std::string_view> aSignatures,
    uint32_t aMissing,
    std::string aBody) const = 0;
  // Returns an answer that this instance makes without an upstream. The answer
  // states `aRetryAfter` if it has a value.
  [[nodiscard]] virtual Http1Response MakeOwnAnswer(
    int aStatus,
    std::string_view aReason,
    std::optional<Duration> aRetryAfter) const = 0;

  // Returns nothing if the request is not a query for addresses.
  [[nodiscard]] virtual std::optional<DirectoryQuery> ReadDirectoryQuery(
    const Http1Request& aRequest) const = 0;
  [[nodiscard]] virtual Http1Response MakeDirectoryAnswer(
    std::span<const Address> aAddresses,
    Duration aTtl) const = 0;
  // Returns whether the request asks if this instance accepts callers.
  [[nodiscard]] virtual bool IsReadinessCheck(
    const Http1Request& aRequest) const = 0;
};

// The kinds of the store's objects that every instance keeps a feed of.
// Instances exchange the feeds in the order of the values.
enum class FeedKind : uint8_t
{
  kConfiguration = 0,
  kReplicas = 1,
  // Data centres whose upstreams get no requests.
  kExclusions = 2,
  // Orders to move a service's requests to the upstreams of another version.
  // Read only if the settings have a table for roll-outs.
  kRollouts = 3,
};

inline constexpr size_t kFeedKinds = 4;

[[nodiscard]] std::string_view
FeedKindName(FeedKind aKind);

// One page of a list.
struct StoreListPage
{
  std::vector<FeedObject> m_objects;
  // The names of the objects that cannot be read; empty for one without a name.
  std::vector<std::string> m_unreadable;
  // The name after which the next page begins; empty on the last page.
  std::string m_nextAfter;
  StorePosition m_asOf;
};

struct StoreEvents
{
  std::vector<FeedObject> m_objects;
  // As in `StoreListPage`.
  std::vector<std::string> m_unreadable;
  StorePosition m_asOf;
};

// Whether a list may be some seconds old, for a lower price.
enum class ListFreshness
{
  kCurrent,
  kMayBeStale,
};

class StoreProtocol
{
public:
  virtual ~StoreProtocol() = default;

  // Returns the request for the page of objects after the name `aAfter`; for
  // the first page if that is empty.
  [[nodiscard]] virtual Http1Request MakeListRequest(
    FeedKind aKind,
    std::string_view aAfter) const = 0;
  // Returns the request for the changes after `aSince`. The store answers it at
  // the first change, or after `aWait` without one. The request does not state
  // the era: the reader compares it with that of the answer.
  [[nodiscard]] virtual Http1Request MakeWatchRequest(
    FeedKind aKind,
    const StorePosition& aSince,
    Duration aWait) const = 0;
  // Returns the era that an answer of the store states, whatever its status; 0
  // if it states none. InvalidArgument: it states several or none that can be
  // read. The functions below fail then too.
  [[nodiscard]] virtual absl::StatusOr<uint64_t> ReadEra(
    const Http1Response& aResponse) const = 0;
  // `ReadListPage` and `ReadEvents` return objects with normalised payloads,
  // which are equal for equal content. An object that cannot be read counts as
  // removed. A configuration's payload holds digests of keys, but no key.
  [[nodiscard]] virtual absl::StatusOr<StoreListPage> ReadListPage(
    FeedKind aKind,
    const Http1Response& aResponse) const = 0;
  // Fails with OutOfRange if the store does not have the changes since the
  // requested revision.
  [[nodiscard]] virtual absl::StatusOr<StoreEvents> ReadEvents(
    FeedKind aKind,
    const Http1Response& aResponse) const = 0;

  // `ReadConfiguration` and `ReadReplica` read normalised payloads.
  [[nodiscard]] virtual absl::StatusOr<TrafficConfigPtr> ReadConfiguration(
    std::string_view aPayload) const = 0;
  [[nodiscard]] virtual absl::StatusOr<Replica> ReadReplica(
    std::string_view aName,
    std::string_view aPayload) const = 0;

  // Reads a roll-out's object with a normalised payload.
  [[nodiscard]] virtual absl::StatusOr<RolloutEntry> ReadRollout(
    const FeedObject& aObject) const = 0;
  // Returns the request that writes the state `aState` of an order if the entry
  // still has the revision of `aEntry`. The answer, like that to a read, holds
  // the object as it is then.
  [[nodiscard]] virtual Http1Request MakeRolloutStatusRequest(
    const RolloutEntry& aEntry,
    RolloutState aState) const = 0;
  [[nodiscard]] virtual Http1Request MakeReadRequest(
    FeedKind aKind,
    std::string_view aName) const = 0;
  // Reads a single object, with a normalised payload.
  [[nodiscard]] virtual absl::StatusOr<FeedObject> ReadObject(
    FeedKind aKind,
    const Http1Response& aResponse) const = 0;

  // The store's list of instances, which a starting instance reads when its
  // seeds do not answer.
  [[nodiscard]] virtual Http1Request MakeListInstancesRequest(
    ListFreshness aFreshness) const = 0;
  [[nodiscard]] virtual absl::StatusOr<std::vector<std::string>> ReadInstances(
    std::string_view aBody) const = 0;
  [[nodiscard]] virtual Http1Request MakeAddInstanceRequest(
    std::string_view aHost,
    const DataCentre& aDataCentre) const = 0;
  [[nodiscard]] virtual Http1Request MakeRemoveInstanceRequest(
    std::string_view aHost) const = 0;
};

} // namespace ebonykeel
