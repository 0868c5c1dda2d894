// The eras of the platform's store.
//
// The store states a number that rises each time it comes back from a copy. An
// era holds this number in its lower bits, and above it how many corrections
// the instances made: a correction gives up a position that the store turned
// out never to have reached, such as one that an answer stated wrongly. It
// begins a later era whatever number the store states, so that all instances
// follow it as they follow a restore.
//
//   uint64_t known = MakeEra(0, 7);
//   uint64_t corrected = MakeEra(CorrectionsOf(known) + 1, 3);
//   corrected > known;     // true
//   StatedEra(corrected);  // 3
#pragma once

#include <cstdint>

namespace ebonykeel {

inline constexpr int kStatedEraBits = 48;
// The greatest number that an era holds.
inline constexpr uint64_t kMaxStatedEra = (uint64_t{ 1 } << kStatedEraBits) - 1;

// `aStated` is at most `kMaxStatedEra`.
[[nodiscard]] constexpr uint64_t
MakeEra(uint64_t aCorrections, uint64_t aStated)
{
  return aCorrections << kStatedEraBits | aStated;
}

// Returns the number that the store states in the era.
[[nodiscard]] constexpr uint64_t
StatedEra(uint64_t aEra)
{
  return aEra & kMaxStatedEra;
}

[[nodiscard]] constexpr uint64_t
CorrectionsOf(uint64_t aEra)
{
  return aEra >> kStatedEraBits;
}

} // namespace ebonykeel
