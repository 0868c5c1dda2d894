// What a relay does with the bytes that pass through it. Deterministic.
//
//   RelayPolicy policy(random);
//   policy.SetMode(RelayMode::kSilenceTo);
//   policy.ShouldDrop(Direction::kToTarget, connection);  // true
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/random/bit_gen_ref.h"
#include "core/base/time.h"

namespace ebonykeel::standins {

enum class RelayMode
{
  kPass,
  // Every connection is reset and new ones are refused.
  kCut,
  // Bytes wait, both ways, until the mode changes.
  kFreeze,
  // The bytes of one direction vanish; connections stay open.
  kSilenceTo,
  kSilenceFrom,
};

// Returns the mode named "pass", "cut", "freeze", "silence_to" or
// "silence_from", if there is one.
[[nodiscard]] std::optional<RelayMode>
ParseRelayMode(std::string_view aText);

enum class Direction
{
  kToTarget,
  kFromTarget,
};

// Connections are numbered from 1 in the order in which they were opened.
using ConnectionNumber = uint64_t;

class RelayPolicy
{
public:
  explicit RelayPolicy(absl::BitGenRef aRandom);

  void SetMode(RelayMode aMode) { m_mode = aMode; }
  [[nodiscard]] RelayMode Mode() const { return m_mode; }
  // Bytes are forwarded after `aDelay` and up to `aJitter` more.
  void SetDelay(Duration aDelay, Duration aJitter);
  // Lets the connections up to `aLast` lose all bytes from now on, for good.
  void SilenceConnectionsUpTo(ConnectionNumber aLast);

  // Returns whether bytes of the connection vanish.
  [[nodiscard]] bool ShouldDrop(Direction aDirection,
                                ConnectionNumber aConnection) const;

  // Returns when bytes that arrive at `aNow` are forwarded; never before
  // `aPrevious`, when the bytes before them were.
  [[nodiscard]] TimePoint ReleaseTime(TimePoint aNow, TimePoint aPrevious);

private:
  absl::BitGenRef m_random;
  RelayMode m_mode = RelayMode::kPass;
  Duration m_delay = Duration::zero();
  Duration m_jitter = Duration::zero();
  ConnectionNumber m_lastSilenced = 0;
};

} // namespace ebonykeel::standins
