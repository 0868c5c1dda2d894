// Remembers the upstreams that announced in an answer that they are leaving.
//
// The load that it answers: upstreams are replaced under traffic, and their
// registrations tell it late, never, or deny it again (an old entry from the
// store or from a peer). Their answers tell it to every instance that uses
// them, whether or not that instance reaches the store.
//
//   LeavingReplicas leaving;
//   leaving.Add(replica);       // true: not known before
//   leaving.Contains(replica);  // true for this start of the upstream
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>

#include "core/replica/replica.h"

namespace ebonykeel {

class LeavingReplicas
{
public:
  // Beyond this many announcements the oldest is forgotten. Five times the
  // number of upstreams of the largest planned deployment.
  static constexpr size_t kMaxAnnouncements = 16384;

  // Adds this start of the upstream. A later start with the same ID is not
  // affected. Returns false if it was added before.
  bool Add(const Replica& aReplica);
  [[nodiscard]] bool Contains(const Replica& aReplica) const;
  [[nodiscard]] size_t Count() const { return m_starts.size(); }

private:
  // The ID and the start time of an upstream.
  using Start = std::pair<std::string, uint64_t>;

  std::set<Start> m_starts;
  // The same, oldest announcement first.
  std::deque<Start> m_order;
};

} // namespace ebonykeel
