#include "standins/platform/instance_list.h"

#include <algorithm>
#include <utility>

namespace ebonykeel::standins {

InstanceList::InstanceList()
  : m_states{ State{} }
{
}

void
InstanceList::Set(TimePoint aNow, const ListedInstance& aInstance)
{
  Instances instances = m_states.back().m_instances;
  instances[aInstance.m_id] = aInstance;
  Append(aNow, std::move(instances));
}

void
InstanceList::Remove(TimePoint aNow, const std::string& aId)
{
  Instances instances = m_states.back().m_instances;
  instances.erase(aId);
  Append(aNow, std::move(instances));
}

const InstanceList::Instances&
InstanceList::ViewAt(TimePoint aAt) const
{
  auto found =
    std::find_if(m_states.rbegin(), m_states.rend(), [&](const State& aState) {
      return aState.m_since <= aAt;
    });
  return found == m_states.rend() ? m_states.front().m_instances
                                  : found->m_instances;
}

void
InstanceList::Append(TimePoint aNow, Instances aInstances)
{
  m_states.push_back({ aNow, std::move(aInstances) });
  while (m_states.size() > 1 && m_states[1].m_since <= aNow - kHistory) {
    m_states.pop_front();
  }
}

} // namespace ebonykeel::standins
