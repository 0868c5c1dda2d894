#include "standins/upstream/documents.h"

#include <algorithm>
#include <random>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace ebonykeel::standins {
namespace {

constexpr uint64_t kMaxMatches = 1000;
constexpr double kBestScore = 100.0;

// Returns the 64-bit FNV-1a hash of `aText`, which is the same in every
// process.
uint64_t
StableHash(std::string_view aText)
{
  constexpr uint64_t kOffset = 14695981039346656037U;
  constexpr uint64_t kPrime = 1099511628211U;
  uint64_t hash = kOffset;
  for (unsigned char byte : aText) {
    hash = (hash ^ byte) * kPrime;
  }
  return hash;
}

} // namespace

SearchResult
SearchDocuments(std::string_view aService,
                std::string_view aShard,
                IndexVersion aVersion,
                std::string_view aQuery,
                uint32_t aLimit)
{
  auto toAbsl = [](std::string_view aText) {
    return absl::string_view(aText.data(), aText.size());
  };
  std::string snapshot =
    absl::StrCat(toAbsl(aService), "/", toAbsl(aShard), "/v", aVersion);
  std::minstd_rand random(
    StableHash(absl::StrCat(snapshot, "?", toAbsl(aQuery))));
  SearchResult result;
  result.m_total = aLimit + random() % kMaxMatches;
  double score = kBestScore;
  for (uint32_t i = 0; i < aLimit; ++i) {
    uint64_t scoreDrop = random() % 1000;
    score -= score * static_cast<double>(scoreDrop) / 10'000;
    result.m_hits.push_back({ absl::StrFormat("%s/%03d", snapshot, i),
                              score,
                              absl::StrCat(toAbsl(aQuery), " #", i) });
  }
  return result;
}

} // namespace ebonykeel::standins
