// A bucket of whole tokens that is refilled at a rate, in which tokens may be
// returned.
//
//   TokenBucket bucket({}, now);
//   bucket.SetLimit({ .m_rate = 40, .m_capacity = 10 }, now);
//   uint32_t taken = bucket.Take(4, now);
#pragma once

#include <cstdint>

#include "core/base/time.h"

namespace ebonykeel {

struct TokenLimit
{
  // Tokens per second.
  double m_rate = 0;
  double m_capacity = 0;

  friend bool operator==(const TokenLimit&, const TokenLimit&) = default;
};

struct TokenBucketOptions
{
  // The longest time between taking a token and returning it.
  Duration m_returnHorizon = Milliseconds(500);
  // The window over which limits hold. A higher capacity adds its difference at
  // once, but not if the bucket was empty at a start or had a higher capacity
  // within this time: a capacity that is lowered and raised in turn would add
  // the difference each time.
  Duration m_window = Seconds(5);
};

// The tokens taken in any time `t`, less those returned, are at most the
// capacity plus the rate times `t`, also if tokens are returned and taken
// again: as if returned tokens had never been taken.
class TokenBucket
{
public:
  // The bucket is empty.
  TokenBucket(TokenBucketOptions aOptions, TimePoint aNow);

  void SetLimit(const TokenLimit& aLimit, TimePoint aNow);
  // Empties the bucket.
  void Clear(TimePoint aNow);
  // Takes up to `aWanted` whole tokens and returns their number.
  uint32_t Take(uint32_t aWanted, TimePoint aNow);
  // Adds up to `aCount` tokens that were taken within the return horizon;
  // returns the number that was added.
  uint32_t Return(uint32_t aCount, TimePoint aNow);
  // Returns the time until one token can be taken; the window if that takes
  // longer.
  [[nodiscard]] Duration UntilAvailable(TimePoint aNow);
  [[nodiscard]] double Level(TimePoint aNow);

private:
  void Refill(TimePoint aNow);
  [[nodiscard]] double Headroom() const;
  // Forgets the room of the past, so that nothing can be returned to it.
  void ForgetRoom();

  TokenBucketOptions m_options;
  TokenLimit m_limit;
  double m_level = 0;
  TimePoint m_refilledAt;
  TimePoint m_clearedAt;
  // The least room in the bucket since `m_roomSince`, and in at least the
  // return horizon before. A returned token fits only if there was room for it
  // all the time since it was taken: otherwise tokens that came meanwhile would
  // have been lost without the taking.
  double m_leastRoom = 0;
  double m_leastRoomBefore = 0;
  TimePoint m_roomSince;
  // How much the capacity was lowered within the window, and when.
  double m_lowered = 0;
  TimePoint m_loweredAt;
};

} // namespace ebonykeel
