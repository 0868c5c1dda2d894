// A 64-bit hash that is the same in every process and every build, for
// decisions that instances must make identically without communicating.
//
//   uint64_t score = StableHash(instance.View(), StableHash(unit));
#pragma once

#include <cstdint>
#include <string_view>

namespace ebonykeel {

// Mixes the bits of `aValue` so that adjacent values give unrelated results.
[[nodiscard]] constexpr uint64_t
MixBits(uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15U;
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9U;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebU;
  return aValue ^ (aValue >> 31U);
}

// Returns the hash of `aText` with the seed `aSeed`. Not resistant to chosen
// inputs.
[[nodiscard]] constexpr uint64_t
StableHash(std::string_view aText, uint64_t aSeed = 0)
{
  constexpr uint64_t kOffset = 0xcbf29ce484222325U;
  constexpr uint64_t kPrime = 0x100000001b3U;
  uint64_t hash = kOffset ^ MixBits(aSeed);
  for (const char character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kPrime;
  }
  return MixBits(hash);
}

} // namespace ebonykeel
