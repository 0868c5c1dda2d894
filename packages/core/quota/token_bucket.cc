#include "core/quota/token_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ebonykeel {
namespace {

// Makes up for rounding: a level that misses a whole number by this counts as
// it.
constexpr double kRounding = 1e-9;

double
InSeconds(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

TokenBucket::TokenBucket(TokenBucketOptions aOptions, TimePoint aNow)
  : m_options(aOptions)
  , m_refilledAt(aNow)
  , m_clearedAt(aNow)
  , m_roomSince(aNow)
  , m_loweredAt(aNow)
{
}

void
TokenBucket::SetLimit(const TokenLimit& aLimit, TimePoint aNow)
{
  if (aLimit == m_limit) {
    return;
  }
  Refill(aNow);
  double added = aLimit.m_capacity - m_limit.m_capacity;
  if (aNow - m_loweredAt >= m_options.m_window) {
    m_lowered = 0;
  }
  if (added < 0) {
    m_lowered -= added;
    m_loweredAt = aNow;
  } else if (aNow - m_clearedAt >= m_options.m_window) {
    m_level += std::max(0.0, added - m_lowered);
  }
  m_limit = aLimit;
  m_level = std::min(m_level, m_limit.m_capacity);
  ForgetRoom();
}

void
TokenBucket::Clear(TimePoint aNow)
{
  m_level = 0;
  m_refilledAt = aNow;
  m_clearedAt = aNow;
  ForgetRoom();
}

uint32_t
TokenBucket::Take(uint32_t aWanted, TimePoint aNow)
{
  Refill(aNow);
  double taken =
    std::min(std::floor(m_level + kRounding), static_cast<double>(aWanted));
  taken = std::max(0.0, taken);
  m_level -= taken;
  return static_cast<uint32_t>(taken);
}

uint32_t
TokenBucket::Return(uint32_t aCount, TimePoint aNow)
{
  Refill(aNow);
  double room = std::min(m_leastRoom, m_leastRoomBefore);
  double added = std::min(std::floor(room), static_cast<double>(aCount));
  added = std::max(0.0, added);
  m_level += added;
  m_leastRoom -= added;
  m_leastRoomBefore -= added;
  return static_cast<uint32_t>(added);
}

Duration
TokenBucket::UntilAvailable(TimePoint aNow)
{
  Refill(aNow);
  double missing = 1 - m_level;
  if (missing <= kRounding) {
    return {};
  }
  if (m_limit.m_capacity < 1 || m_limit.m_rate <= 0) {
    return m_options.m_window;
  }
  double seconds =
    std::min(missing / m_limit.m_rate, InSeconds(m_options.m_window));
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

double
TokenBucket::Level(TimePoint aNow)
{
  Refill(aNow);
  return m_level;
}

void
TokenBucket::Refill(TimePoint aNow)
{
  if (aNow > m_refilledAt) {
    m_level =
      std::min(m_limit.m_capacity,
               m_level + m_limit.m_rate * InSeconds(aNow - m_refilledAt));
    m_refilledAt = aNow;
  }
  // Without taking, the level only rises, so that this room is the least one
  // since the last call.
  m_leastRoom = std::min(m_leastRoom, Headroom());
  if (aNow - m_roomSince >= m_options.m_returnHorizon) {
    m_leastRoomBefore = m_leastRoom;
    m_leastRoom = Headroom();
    m_roomSince = aNow;
  }
}

double
TokenBucket::Headroom() const
{
  return m_limit.m_capacity - m_level;
}

void
TokenBucket::ForgetRoom()
{
  m_leastRoom = 0;
  m_leastRoomBefore = 0;
}

} // namespace ebonykeel
