#include "core/replica/leaving_replicas.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

Replica
ReplicaStarted(std::string aId, uint64_t aStartUnixMs)
{
  return { .m_id = std::move(aId), .m_startUnixMs = aStartUnixMs };
}

DOCTEST_TEST_CASE("an announcement holds for one start of an upstream")
{
  LeavingReplicas leaving;
  DOCTEST_CHECK(leaving.Add(ReplicaStarted("a", 1)));
  DOCTEST_CHECK_FALSE(leaving.Add(ReplicaStarted("a", 1)));
  DOCTEST_CHECK(leaving.Contains(ReplicaStarted("a", 1)));
  DOCTEST_CHECK_FALSE(leaving.Contains(ReplicaStarted("a", 2)));
  DOCTEST_CHECK_FALSE(leaving.Contains(ReplicaStarted("b", 1)));
  DOCTEST_CHECK(leaving.Count() == 1);
}

// Guards against memory that grows with every upstream that ever left.
DOCTEST_TEST_CASE("beyond the limit the oldest announcement is forgotten")
{
  LeavingReplicas leaving;
  for (size_t i = 0; i <= LeavingReplicas::kMaxAnnouncements; ++i) {
    leaving.Add(ReplicaStarted(std::to_string(i), 1));
  }
  DOCTEST_CHECK(leaving.Count() == LeavingReplicas::kMaxAnnouncements);
  DOCTEST_CHECK_FALSE(leaving.Contains(ReplicaStarted("0", 1)));
  DOCTEST_CHECK(leaving.Contains(ReplicaStarted("1", 1)));
}

} // namespace
} // namespace ebonykeel
