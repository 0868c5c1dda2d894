#include "core/replica/replica_pushback.h"

#include <algorithm>
#include <cmath>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

// How long the state of an upstream that gets no requests is kept after its
// delay.
constexpr Duration kMaxResumingTime = Seconds(60);

// Returns a fraction in [0, 1).
double
ToFraction(uint64_t aHash)
{
  constexpr int kFractionBits = 53;
  constexpr int kHashBits = 64;
  return std::ldexp(static_cast<double>(aHash >> (kHashBits - kFractionBits)),
                    -kFractionBits);
}

} // namespace

ReplicaPushback::ReplicaPushback(ReplicaPushbackOptions aOptions)
  : m_options(aOptions)
{
}

bool
ReplicaPushback::OnRejected(const Replica& aReplica,
                            Duration aDelay,
                            TimePoint aNow)
{
  if (aDelay <= Duration{}) {
    return false;
  }
  bool isNew = !Until(aReplica, aNow).has_value();
  Duration delay = std::min(aDelay, m_options.m_maxDelay);
  TimePoint until = aNow + delay + Spread(aReplica, delay);
  State& state = m_states[aReplica.m_id];
  if (isNew) {
    state = State{ .m_startUnixMs = aReplica.m_startUnixMs };
  }
  state.m_until = std::max(state.m_until, until);
  return isNew;
}

void
ReplicaPushback::OnAnswered(const Replica& aReplica, TimePoint aNow)
{
  if (IsResuming(aReplica, aNow) && m_states.at(aReplica.m_id).m_endTaken) {
    m_states.erase(aReplica.m_id);
  }
}

bool
ReplicaPushback::OnRegistered(const Replica& aReplica)
{
  auto found = m_states.find(aReplica.m_id);
  if (found == m_states.end() ||
      found->second.m_startUnixMs == aReplica.m_startUnixMs) {
    return false;
  }
  bool wasPushingBack = !found->second.m_endTaken;
  m_states.erase(found);
  return wasPushingBack;
}

std::optional<TimePoint>
ReplicaPushback::Until(const Replica& aReplica, TimePoint aNow) const
{
  const State* state = Find(aReplica);
  if (state == nullptr || aNow >= state->m_until) {
    return std::nullopt;
  }
  return state->m_until;
}

bool
ReplicaPushback::IsResuming(const Replica& aReplica, TimePoint aNow) const
{
  const State* state = Find(aReplica);
  return state != nullptr && aNow >= state->m_until;
}

std::vector<std::string>
ReplicaPushback::TakeEnded(TimePoint aNow)
{
  std::vector<std::string> ended;
  for (auto& [id, state] : m_states) {
    if (aNow >= state.m_until && !state.m_endTaken) {
      state.m_endTaken = true;
      ended.push_back(id);
    }
  }
  std::erase_if(m_states, [&](const auto& aEntry) {
    return aNow >= aEntry.second.m_until + kMaxResumingTime;
  });
  return ended;
}

size_t
ReplicaPushback::Count(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::ranges::count_if(m_states, [&](const auto& aEntry) {
      return aNow < aEntry.second.m_until;
    }));
}

const ReplicaPushback::State*
ReplicaPushback::Find(const Replica& aReplica) const
{
  auto found = m_states.find(aReplica.m_id);
  if (found == m_states.end() ||
      found->second.m_startUnixMs != aReplica.m_startUnixMs) {
    return nullptr;
  }
  return &found->second;
}

Duration
ReplicaPushback::Spread(const Replica& aReplica, Duration aDelay) const
{
  double range =
    std::min(static_cast<double>(aDelay.count()) * m_options.m_spreadShare,
             static_cast<double>(m_options.m_maxSpread.count()));
  double fraction = ToFraction(StableHash(aReplica.m_id, m_options.m_seed));
  return Duration(static_cast<int64_t>(range * fraction));
}

} // namespace ebonykeel
