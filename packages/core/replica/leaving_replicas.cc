#include "core/replica/leaving_replicas.h"

namespace ebonykeel {

bool
LeavingReplicas::Add(const Replica& aReplica)
{
  Start start(aReplica.m_id, aReplica.m_startUnixMs);
  if (!m_starts.insert(start).second) {
    return false;
  }
  m_order.push_back(std::move(start));
  if (m_order.size() > kMaxAnnouncements) {
    m_starts.erase(m_order.front());
    m_order.pop_front();
  }
  return true;
}

bool
LeavingReplicas::Contains(const Replica& aReplica) const
{
  return m_starts.contains({ aReplica.m_id, aReplica.m_startUnixMs });
}

} // namespace ebonykeel
