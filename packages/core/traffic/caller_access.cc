#include "core/traffic/caller_access.h"

namespace ebonykeel {

std::string_view
AccessRefusalName(AccessRefusal aRefusal)
{
  switch (aRefusal) {
    case AccessRefusal::kMissingKey:
      return "missing-key";
    case AccessRefusal::kUnknownKey:
      return "unknown-key";
  }
  return "unknown-key";
}

CallerAccess
CheckAccess(const RouteTable& aRoutes,
            const Route& aRoute,
            const std::optional<KeyDigest>& aKey)
{
  if (aRoute.m_isPublic || !aRoutes.Config()->m_requiresKeys) {
    return {};
  }
  if (!aKey) {
    return { .m_refusal = AccessRefusal::kMissingKey };
  }
  const Workspace* workspace = aRoutes.FindWorkspace(*aKey);
  if (workspace == nullptr) {
    return { .m_refusal = AccessRefusal::kUnknownKey };
  }
  return { .m_workspace = workspace };
}

uint32_t
EffectivePriority(const Route& aRoute, const Workspace* aWorkspace)
{
  return aWorkspace == nullptr
           ? aRoute.m_priority
           : aWorkspace->m_priority.value_or(aRoute.m_priority);
}

} // namespace ebonykeel
