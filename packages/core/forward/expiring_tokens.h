// A token count in which tokens expire if they are not taken in time.
//
//   ExpiringTokens tokens(Milliseconds(2500));
//   tokens.Add(0.16, now);
//   if (tokens.Available(now) >= 1) tokens.Take(1, now);
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/base/time.h"

namespace ebonykeel {

class ExpiringTokens
{
public:
  // `aLifetime` must be greater than 0. Tokens expire after `aLifetime`, or up
  // to a tenth of it earlier.
  explicit ExpiringTokens(Duration aLifetime);

  // Adds `aTokens`, which may be a fraction. `aNow` must not go backwards from
  // one call of any method to the next.
  void Add(double aTokens, TimePoint aNow);
  // Returns the number of tokens that have not expired.
  [[nodiscard]] double Available(TimePoint aNow);
  // Takes up to `aTokens`, those that expire first.
  void Take(double aTokens, TimePoint aNow);

private:
  static constexpr size_t kSlots = 10;

  [[nodiscard]] double& SlotOf(int64_t aSlot);
  // Discards expired tokens.
  void Advance(TimePoint aNow);

  Duration m_slotLength;
  // The slot of the latest call: time since the clock's epoch divided by
  // `m_slotLength`.
  int64_t m_latestSlot = 0;
  std::array<double, kSlots> m_slots{};
};

} // namespace ebonykeel
