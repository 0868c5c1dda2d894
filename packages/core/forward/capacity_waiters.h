// Counts the sub-requests that wait on this instance until an upstream of their
// service may receive another request.
//
//   CapacityWaiters waiters;
//   waiters.Enter("shard-07");
//   waiters.Count("shard-07");  // 1
//   waiters.Leave("shard-07");
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace ebonykeel {

class CapacityWaiters
{
public:
  void Enter(const std::string& aService) { ++m_counts[aService]; }
  // Each call needs an earlier `Enter` of the same service.
  void Leave(const std::string& aService) { --m_counts[aService]; }
  [[nodiscard]] size_t Count(const std::string& aService) const
  {
    auto found = m_counts.find(aService);
    return found == m_counts.end() ? 0 : found->second;
  }

private:
  std::unordered_map<std::string, size_t> m_counts;
};

} // namespace ebonykeel
