// Claims: the store's record of who may run a request that must run at most
// once, and of what came of it.
//
// The claims of many requests share one object of the store, a bucket. A
// bucket travels as text:
//
//   std::string text = EncodeBucket(bucket);
//   absl::StatusOr<ClaimBucket> again = DecodeBucket(text);
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

// Time that instances share, as well as their clocks agree.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// When an event happened, by both clocks.
struct EventTime
{
  TimePoint m_monotonic;
  WallTime m_wall;
};

// Names one request for good, whichever instance it reaches.
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

// Distinguishes two attempts to claim the same request. Random.
struct ClaimNonce
{
  uint64_t m_high = 0;
  uint64_t m_low = 0;

  friend bool operator==(const ClaimNonce&, const ClaimNonce&) = default;
};

enum class ClaimState
{
  // Whoever wrote it may dispatch the request.
  kClaimed,
  // The request ran; the result is recorded.
  kRan,
  // The request did not run under this claim and never will. It may be
  // claimed again under a new nonce.
  kNotRun,
};

struct Claim
{
  ClaimNonce m_nonce;
  ClaimState m_state = ClaimState::kClaimed;
  // The instance that claimed it.
  InstanceId m_owner;
  // A digest of the payload, so that one id cannot stand for two requests.
  std::string m_digest;
  // When the caller first issued the request.
  WallTime m_issuedAt;
  WallTime m_claimedAt;
  // Empty unless `kRan`.
  std::string m_result;
  // False when the result was too long to be recorded.
  bool m_resultKept = true;

  friend bool operator==(const Claim&, const Claim&) = default;
};

using ClaimBucket = std::map<ClaimKey, Claim>;

// Returns `aBucket` as ASCII text.
[[nodiscard]] std::string
EncodeBucket(const ClaimBucket& aBucket);

// Returns an upper bound of the bytes that this claim adds to a bucket's text.
[[nodiscard]] size_t
EncodedSizeBound(const ClaimKey& aKey, const Claim& aClaim);

// Reads what `EncodeBucket` wrote. Anything else, down to an unknown field or
// a claim that stands twice, is an invalid argument.
[[nodiscard]] absl::StatusOr<ClaimBucket>
DecodeBucket(std::string_view aText);

// Returns the number of the bucket, below `aBucketCount`, that holds `aKey`.
// Equal on every instance and in every release.
[[nodiscard]] uint32_t
BucketOf(const ClaimKey& aKey, uint32_t aBucketCount);

} // namespace ebonykeel
