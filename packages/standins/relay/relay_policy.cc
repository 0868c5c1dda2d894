#include "standins/relay/relay_policy.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/random/distributions.h"

namespace ebonykeel::standins {
namespace {

constexpr std::array<std::pair<std::string_view, RelayMode>, 5> kModes = { {
  { "pass", RelayMode::kPass },
  { "cut", RelayMode::kCut },
  { "freeze", RelayMode::kFreeze },
  { "silence_to", RelayMode::kSilenceTo },
  { "silence_from", RelayMode::kSilenceFrom },
} };

} // namespace

std::optional<RelayMode>
ParseRelayMode(std::string_view aText)
{
  const auto* found = std::ranges::find(
    kModes, aText, &std::pair<std::string_view, RelayMode>::first);
  if (found == kModes.end()) {
    return std::nullopt;
  }
  return found->second;
}

RelayPolicy::RelayPolicy(absl::BitGenRef aRandom)
  : m_random(aRandom)
{
}

void
RelayPolicy::SetDelay(Duration aDelay, Duration aJitter)
{
  m_delay = aDelay;
  m_jitter = aJitter;
}

void
RelayPolicy::SilenceConnectionsUpTo(ConnectionNumber aLast)
{
  m_lastSilenced = std::max(m_lastSilenced, aLast);
}

bool
RelayPolicy::ShouldDrop(Direction aDirection,
                        ConnectionNumber aConnection) const
{
  bool directionSilenced =
    (m_mode == RelayMode::kSilenceTo && aDirection == Direction::kToTarget) ||
    (m_mode == RelayMode::kSilenceFrom && aDirection == Direction::kFromTarget);
  return directionSilenced || aConnection <= m_lastSilenced;
}

TimePoint
RelayPolicy::ReleaseTime(TimePoint aNow, TimePoint aPrevious)
{
  Duration jitter =
    m_jitter.count() == 0
      ? Duration::zero()
      : Duration(absl::Uniform<int64_t>(m_random, 0, m_jitter.count()));
  return std::max(aPrevious, aNow + m_delay + jitter);
}

} // namespace ebonykeel::standins
