// A token bucket that allows bursts of a tenth of a second, but at least one
// call.
#pragma once

#include "core/base/time.h"

namespace ebonykeel::standins {

class TokenBucket
{
public:
  // `aRate` is in calls per second; 0 means no limit.
  explicit TokenBucket(double aRate);

  // Takes a token for one call and returns true, or returns false if there is
  // none.
  [[nodiscard]] bool TryTake(TimePoint aNow);

private:
  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_lastRefill;
};

} // namespace ebonykeel::standins
