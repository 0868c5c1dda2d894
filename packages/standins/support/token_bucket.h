// A rate limit with a burst of a tenth of a second.
#pragma once

#include "core/base/time.h"

namespace ebonykeel::standins {

class TokenBucket
{
public:
  // `aRate` is calls a second; 0 means no limit.
  explicit TokenBucket(double aRate);

  // Returns whether a call may pass at `aNow`, and counts it if so.
  [[nodiscard]] bool TryTake(TimePoint aNow);

private:
  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_lastRefill;
};

} // namespace ebonykeel::standins
