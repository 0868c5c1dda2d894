// Decides whether a caller may use a route, and to which workspace its request
// belongs.
//
//   CallerAccess access = CheckAccess(table, *route, keyDigest);
//   if (access.m_refusal) { ... }
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/traffic/traffic_config.h"

namespace ebonykeel {

enum class AccessRefusal
{
  kMissingKey,
  kUnknownKey,
};

// Returns a stable word for logs and answers.
[[nodiscard]] std::string_view
AccessRefusalName(AccessRefusal aRefusal);

struct CallerAccess
{
  // The caller's workspace. Null if the request is refused or has none: its
  // route is public, or the configuration requires no keys. Valid as long as
  // the configuration.
  const Workspace* m_workspace = nullptr;
  // Nothing if the request is allowed.
  std::optional<AccessRefusal> m_refusal;
};

// `aKey` is the digest of the request's key, if it has one.
[[nodiscard]] CallerAccess
CheckAccess(const RouteTable& aRoutes,
            const Route& aRoute,
            const std::optional<KeyDigest>& aKey);

// Returns the priority of a route's requests for a workspace, which may be
// null.
[[nodiscard]] uint32_t
EffectivePriority(const Route& aRoute, const Workspace* aWorkspace);

} // namespace ebonykeel
