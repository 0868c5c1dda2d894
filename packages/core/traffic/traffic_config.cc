#include "core/traffic/traffic_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace ebonykeel {
namespace {

std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::ranges::transform(host, host.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return host;
}

} // namespace

RouteTable::RouteTable(TrafficConfigPtr aConfig)
  : m_config(std::move(aConfig))
{
  for (const Route& route : m_config->m_routes) {
    m_hosts[NormalizeHost(route.m_host)].emplace(route.m_pathPrefix, &route);
  }
  for (const Workspace& workspace : m_config->m_workspaces) {
    for (const KeyDigest& key : workspace.m_keys) {
      m_workspacesByKey.emplace(key, &workspace);
    }
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  auto host = m_hosts.find(NormalizeHost(aHost));
  if (host == m_hosts.end()) {
    return nullptr;
  }
  // Route prefixes end with a slash, so only prefixes of the path that end with
  // one can match.
  std::string_view path = aPath.substr(0, aPath.find('?'));
  size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    auto route = host->second.find(path.substr(0, slash + 1));
    if (route != host->second.end()) {
      return route->second;
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const Workspace*
RouteTable::FindWorkspace(const KeyDigest& aKey) const
{
  auto found = m_workspacesByKey.find(aKey);
  return found == m_workspacesByKey.end() ? nullptr : found->second;
}

} // namespace ebonykeel
