#include "standins/support/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace ebonykeel::standins {
namespace {

constexpr double kBurstSeconds = 0.1;

} // namespace

TokenBucket::TokenBucket(double aRate)
  : m_rate(aRate)
  , m_burst(std::max(1.0, aRate * kBurstSeconds))
  , m_tokens(m_burst)
{
}

bool
TokenBucket::TryTake(TimePoint aNow)
{
  if (m_rate <= 0) {
    return true;
  }
  double seconds = std::chrono::duration<double>(aNow - m_lastRefill).count();
  m_tokens = std::min(m_burst, m_tokens + seconds * m_rate);
  m_lastRefill = aNow;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

} // namespace ebonykeel::standins
