#include "core/replica/replica_catalogue.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

Replica
ReplicaNamed(const char* aId, const char* aService, const char* aDataCentre)
{
  return { .m_id = aId,
           .m_bornMs = 1,
           .m_service = aService,
           .m_address = { "10.0.0.1", 80 },
           .m_dataCentre = DataCentre(aDataCentre) };
}

DOCTEST_TEST_CASE("a draining searcher is known but not usable")
{
  ReplicaCatalogue catalogue;
  Replica replica = ReplicaNamed("a", "s", "north");
  catalogue.Put(replica, kStart);
  DOCTEST_CHECK(catalogue.Usable("s").size() == 1);
  replica.m_state = ReplicaState::kDraining;
  catalogue.Put(replica, kStart);
  DOCTEST_CHECK(catalogue.Usable("s").empty());
  DOCTEST_CHECK(catalogue.IsKnown("s"));
  DOCTEST_CHECK_FALSE(catalogue.IsUsable(replica));
}

DOCTEST_TEST_CASE("an id that moves to another service leaves the first")
{
  ReplicaCatalogue catalogue;
  catalogue.Put(ReplicaNamed("a", "s", "north"), kStart);
  catalogue.Put(ReplicaNamed("a", "t", "north"), kStart);
  DOCTEST_CHECK(catalogue.Usable("s").empty());
  DOCTEST_CHECK(catalogue.Usable("t").size() == 1);
  catalogue.Remove("a");
  DOCTEST_CHECK(catalogue.Usable("t").empty());
}

DOCTEST_TEST_CASE("a data centre that is taken out and back")
{
  ReplicaCatalogue catalogue;
  catalogue.Put(ReplicaNamed("a", "s", "north"), kStart);
  catalogue.Put(ReplicaNamed("b", "s", "south"), kStart);
  catalogue.SetExcluded({ DataCentre("north") });
  DOCTEST_CHECK(catalogue.Usable("s").size() == 1);
  DOCTEST_CHECK(catalogue.Usable("s")[0]->m_id == "b");
  catalogue.SetExcluded({});
  DOCTEST_CHECK(catalogue.Usable("s").size() == 2);
}

DOCTEST_TEST_CASE("another life of the same id is another searcher")
{
  ReplicaCatalogue catalogue;
  Replica first = ReplicaNamed("a", "s", "north");
  catalogue.Put(first, kStart);
  Replica second = first;
  second.m_bornMs = 2;
  catalogue.Put(second, kStart);
  DOCTEST_CHECK_FALSE(catalogue.IsUsable(first));
  DOCTEST_CHECK(catalogue.IsUsable(second));
}

} // namespace
} // namespace ebonykeel
