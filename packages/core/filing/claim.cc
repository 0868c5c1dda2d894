#include "core/filing/claim.h"

#include <optional>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/escaping.h"
#include "core/base/stable_hash.h"
#include "nlohmann/json.hpp"

namespace ebonykeel {
namespace {

using nlohmann::json;

// Incremented when the meaning or order of the fields of a claim changes.
constexpr int kFormatVersion = 1;
// The fields: caller, request, nonce high, nonce low, state, owner, digest,
// issued at, claimed at, result, whether the result was kept.
constexpr size_t kFieldCount = 11;
// Bounds the quotes, commas, brackets, four numbers of 20 digits and the state.
constexpr size_t kMaxFixedBytes = 128;

// Names are escaped to ASCII, since they may be any bytes and JSON strings must
// be UTF-8.
std::string
Escaped(std::string_view aText)
{
  return absl::CEscape(absl::string_view(aText.data(), aText.size()));
}

json
EncodeClaim(const ClaimKey& aKey, const Claim& aClaim)
{
  return json::array({ Escaped(aKey.m_caller.View()),
                       Escaped(aKey.m_request.View()),
                       aClaim.m_nonce.m_high,
                       aClaim.m_nonce.m_low,
                       static_cast<int>(aClaim.m_state),
                       Escaped(aClaim.m_owner.View()),
                       Escaped(aClaim.m_digest),
                       aClaim.m_issuedAt.time_since_epoch().count(),
                       aClaim.m_claimedAt.time_since_epoch().count(),
                       absl::Base64Escape(aClaim.m_result),
                       aClaim.m_resultKept });
}

std::optional<std::string>
ReadText(const json& aField)
{
  std::string text;
  if (!aField.is_string() ||
      !absl::CUnescape(aField.get_ref<const std::string&>(), &text)) {
    return std::nullopt;
  }
  return text;
}

std::optional<WallTime>
ReadTime(const json& aField)
{
  if (!aField.is_number_integer()) {
    return std::nullopt;
  }
  return WallTime(std::chrono::milliseconds(aField.get<int64_t>()));
}

std::optional<ClaimState>
ReadState(const json& aField)
{
  if (!aField.is_number_unsigned() ||
      aField.get<uint64_t>() > static_cast<uint64_t>(ClaimState::kNotRun)) {
    return std::nullopt;
  }
  return static_cast<ClaimState>(aField.get<int>());
}

std::optional<std::pair<ClaimKey, Claim>>
ReadClaim(const json& aFields)
{
  if (!aFields.is_array() || aFields.size() != kFieldCount) {
    return std::nullopt;
  }
  auto caller = ReadText(aFields[0]);
  auto request = ReadText(aFields[1]);
  auto state = ReadState(aFields[4]);
  auto owner = ReadText(aFields[5]);
  auto digest = ReadText(aFields[6]);
  auto issuedAt = ReadTime(aFields[7]);
  auto claimedAt = ReadTime(aFields[8]);
  std::string result;
  if (!caller || !request || !aFields[2].is_number_unsigned() ||
      !aFields[3].is_number_unsigned() || !state || !owner || !digest ||
      !issuedAt || !claimedAt || !aFields[9].is_string() ||
      !aFields[10].is_boolean() ||
      !absl::Base64Unescape(aFields[9].get_ref<const std::string&>(),
                            &result)) {
    return std::nullopt;
  }
  Claim claim{ .m_nonce = { aFields[2].get<uint64_t>(),
                            aFields[3].get<uint64_t>() },
               .m_state = *state,
               .m_owner = InstanceId(std::move(*owner)),
               .m_digest = std::move(*digest),
               .m_issuedAt = *issuedAt,
               .m_claimedAt = *claimedAt,
               .m_result = std::move(result),
               .m_resultKept = aFields[10].get<bool>() };
  return std::pair(
    ClaimKey{ CallerName(std::move(*caller)), RequestId(std::move(*request)) },
    std::move(claim));
}

} // namespace

std::string
EncodeBucket(const ClaimBucket& aBucket)
{
  json claims = json::array();
  for (const auto& [key, claim] : aBucket) {
    claims.push_back(EncodeClaim(key, claim));
  }
  json document = { { "format", kFormatVersion },
                    { "claims", std::move(claims) } };
  return document.dump();
}

size_t
EncodedSizeBound(const ClaimKey& aKey, const Claim& aClaim)
{
  // Escaping expands a byte to at most five bytes, since JSON doubles the
  // backslash.
  size_t names = aKey.m_caller.View().size() + aKey.m_request.View().size() +
                 aClaim.m_owner.View().size() + aClaim.m_digest.size();
  return kMaxFixedBytes + (5 * names) + (aClaim.m_result.size() * 4 / 3) + 4;
}

absl::StatusOr<ClaimBucket>
DecodeBucket(std::string_view aText)
{
  json document = json::parse(aText, nullptr, false);
  if (!document.is_object() || document.size() != 2) {
    return absl::InvalidArgumentError(
      "claim bucket is not a JSON object with two fields");
  }
  auto format = document.find("format");
  auto claims = document.find("claims");
  if (format == document.end() || *format != kFormatVersion) {
    return absl::InvalidArgumentError(
      "claim bucket has an unsupported format version");
  }
  if (claims == document.end() || !claims->is_array()) {
    return absl::InvalidArgumentError("claim bucket has no array of claims");
  }
  ClaimBucket bucket;
  for (const json& fields : *claims) {
    auto claim = ReadClaim(fields);
    if (!claim) {
      return absl::InvalidArgumentError(
        "claim bucket contains a malformed claim");
    }
    if (!bucket.insert(std::move(*claim)).second) {
      return absl::InvalidArgumentError(
        "claim bucket contains a duplicate claim");
    }
  }
  return bucket;
}

uint32_t
BucketOf(const ClaimKey& aKey, uint32_t aBucketCount)
{
  uint64_t hash =
    StableHash(aKey.m_request.View(), StableHash(aKey.m_caller.View()));
  return static_cast<uint32_t>(hash % aBucketCount);
}

} // namespace ebonykeel
