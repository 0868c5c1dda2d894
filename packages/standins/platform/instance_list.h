// The instance list of the platform stand-in. It keeps its history, so that the
// stand-in can return the list as it was some time ago.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/base/time.h"

namespace ebonykeel::standins {

// An entry of the instance list. The state is "live" or "leaving".
struct ListedInstance
{
  std::string m_id;
  std::string m_peerAddress;
  std::string m_publicAddress;
  std::string m_adminAddress;
  std::string m_dataCentre;
  std::string m_region;
  std::string m_state = "live";

  friend bool operator==(const ListedInstance&,
                         const ListedInstance&) = default;
};

class InstanceList
{
public:
  using Instances = std::map<std::string, ListedInstance>;

  // `ViewAt` is exact for times up to this long ago.
  static constexpr Duration kHistory = Seconds(60);

  InstanceList();

  void Set(TimePoint aNow, const ListedInstance& aInstance);
  void Remove(TimePoint aNow, const std::string& aId);

  // Returns the list as it was at `aAt`, or the oldest one that is kept. The
  // reference is valid until the next change.
  [[nodiscard]] const Instances& ViewAt(TimePoint aAt) const;

private:
  // The list from `m_since` on.
  struct State
  {
    TimePoint m_since;
    Instances m_instances;
  };

  void Append(TimePoint aNow, Instances aInstances);

  // Never empty; oldest first.
  std::deque<State> m_states;
};

} // namespace ebonykeel::standins
