#include "core/config/configuration.h"

#include <algorithm>

namespace ebonykeel {

const ServiceConfig*
Configuration::FindService(const ServiceName& aName) const
{
  auto found = std::ranges::find(m_services, aName, &ServiceConfig::m_name);
  return found == m_services.end() ? nullptr : &*found;
}

} // namespace ebonykeel
