// Claims record in the platform's object store which attempt may run a request
// that must run at most once, and what its outcome was.
//
// The claims of many requests share one object of the store, a bucket. A bucket
// is stored as text:
//
//   std::string text = EncodeBucket(bucket);
//   absl::StatusOr<ClaimBucket> decoded = DecodeBucket(text);
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "absl/status/statusor.h"

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// Wall-clock time. It is comparable between instances up to the skew of their
// clocks.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// The time of an event by both clocks.
struct EventTime
{
  TimePoint m_monotonic;
  WallTime m_wall;
};

// Identifies a request on every instance that receives it.
struct ClaimKey
{
  CallerName m_caller;
  RequestId m_request;

  friend bool operator<(const ClaimKey& aLeft, const ClaimKey& aRight)
  {
    return std::tie(aLeft.m_caller, aLeft.m_request) <
           std::tie(aRight.m_caller, aRight.m_request);
  }
  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

// Distinguishes the attempts to claim the same request. Random.
struct ClaimNonce
{
  uint64_t m_high = 0;
  uint64_t m_low = 0;

  friend bool operator==(const ClaimNonce&, const ClaimNonce&) = default;
};

enum class ClaimState
{
  // The attempt that wrote the claim may dispatch the request.
  kClaimed,
  // The request ran, and its result is recorded.
  kRan,
  // The request did not run under this claim and never will. It may be claimed
  // again with a new nonce.
  kNotRun,
};

struct Claim
{
  ClaimNonce m_nonce;
  ClaimState m_state = ClaimState::kClaimed;
  // The instance that wrote the claim.
  InstanceId m_owner;
  // A digest of the payload, which detects an id that is reused for another
  // request.
  std::string m_digest;
  // When the caller first issued the request.
  WallTime m_issuedAt;
  WallTime m_claimedAt;
  // Empty unless the state is `kRan`.
  std::string m_result;
  // False if the result was too long to be recorded.
  bool m_resultKept = true;

  friend bool operator==(const Claim&, const Claim&) = default;
};

using ClaimBucket = std::map<ClaimKey, Claim>;

// Returns `aBucket` as ASCII text.
[[nodiscard]] std::string
EncodeBucket(const ClaimBucket& aBucket);

// Returns an upper bound of the number of bytes that this claim adds to the
// text of a bucket.
[[nodiscard]] size_t
EncodedSizeBound(const ClaimKey& aKey, const Claim& aClaim);

// Parses the output of `EncodeBucket`. Returns an invalid argument error for
// any other text, also for an unknown field or a duplicate claim.
[[nodiscard]] absl::StatusOr<ClaimBucket>
DecodeBucket(std::string_view aText);

// Returns the number of the bucket that holds `aKey`, below `aBucketCount`. The
// result is the same on every instance and in every release.
[[nodiscard]] uint32_t
BucketOf(const ClaimKey& aKey, uint32_t aBucketCount);

} // namespace ebonykeel
