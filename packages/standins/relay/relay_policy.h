// A state machine that decides whether a relay drops bytes and when it forwards
// them. It is deterministic for a given random source.
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
  // Open and new connections are reset.
  kCut,
  // Bytes in both directions are held back until the mode changes.
  kFreeze,
  // Bytes to the target (`kSilenceTo`) or from it (`kSilenceFrom`) are dropped;
  // connections stay open.
  kSilenceTo,
  kSilenceFrom,
};

// Returns the mode with the given name: "pass", "cut", "freeze", "silence_to"
// or "silence_from"; nullopt for any other name.
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
  // Sets the delay of forwarded bytes: `aDelay` and a random part below
  // `aJitter`.
  void SetDelay(Duration aDelay, Duration aJitter);
  // Permanently drops all bytes of the connections up to `aLast` from now on.
  void SilenceConnectionsUpTo(ConnectionNumber aLast);

  // Returns whether bytes of the connection in this direction are dropped.
  [[nodiscard]] bool ShouldDrop(Direction aDirection,
                                ConnectionNumber aConnection) const;

  // Returns the time at which bytes that arrive at `aNow` are forwarded. It is
  // not before `aPrevious`, the release time of the preceding bytes.
  [[nodiscard]] TimePoint ReleaseTime(TimePoint aNow, TimePoint aPrevious);

private:
  absl::BitGenRef m_random;
  RelayMode m_mode = RelayMode::kPass;
  Duration m_delay = Duration::zero();
  Duration m_jitter = Duration::zero();
  // Connections up to this number are silenced.
  ConnectionNumber m_lastSilenced = 0;
};

} // namespace ebonykeel::standins
