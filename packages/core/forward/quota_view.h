// What an instance knows about the quotas of workspaces, for explanations.
#pragma once

#include <cstdint>
#include <optional>

#include "core/base/time.h"
#include "core/traffic/traffic_config.h"

namespace ebonykeel {

// The default implementation knows nothing.
class QuotaView
{
public:
  virtual ~QuotaView() = default;
  // Returns how many requests of the workspace this instance may admit at
  // `aNow` without asking others; nothing if it is unknown. Must not change any
  // state.
  [[nodiscard]] virtual std::optional<uint64_t> TokensHeld(
    const Workspace& /*aWorkspace*/,
    TimePoint /*aNow*/) const
  {
    return std::nullopt;
  }
};

} // namespace ebonykeel
