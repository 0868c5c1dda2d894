#include "core/replica/replica_catalogue.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

Replica
ReplicaNamed(const char* aId, const char* aService, const char* aDataCentre)
{
  return { .m_id = aId,
           .m_startUnixMs = 1,
           .m_service = aService,
           .m_address = { "10.0.0.1", 80 },
           .m_dataCentre = DataCentre(aDataCentre) };
}

DOCTEST_TEST_CASE("a draining upstream is registered but not usable")
{
  ReplicaCatalogue catalogue;
  Replica replica = ReplicaNamed("a", "s", "north");
  catalogue.Put(replica);
  DOCTEST_CHECK(catalogue.Usable("s").size() == 1);
  replica.m_state = ReplicaState::kDraining;
  catalogue.Put(replica);
  DOCTEST_CHECK(catalogue.Usable("s").empty());
  DOCTEST_CHECK(catalogue.Count() == 1);
}

DOCTEST_TEST_CASE(
  "an ID that moves to another service is removed from the first")
{
  ReplicaCatalogue catalogue;
  catalogue.Put(ReplicaNamed("a", "s", "north"));
  catalogue.Put(ReplicaNamed("a", "t", "north"));
  DOCTEST_CHECK(catalogue.Usable("s").empty());
  DOCTEST_CHECK(catalogue.Usable("t").size() == 1);
  catalogue.Remove("a");
  DOCTEST_CHECK(catalogue.Usable("t").empty());
}

DOCTEST_TEST_CASE(
  "upstreams of an excluded data centre are unusable until it is readmitted")
{
  ReplicaCatalogue catalogue;
  catalogue.Put(ReplicaNamed("a", "s", "north"));
  catalogue.Put(ReplicaNamed("b", "s", "south"));
  catalogue.SetExcludedDataCentres({ DataCentre("north") });
  DOCTEST_CHECK(catalogue.Usable("s").size() == 1);
  DOCTEST_CHECK(catalogue.Usable("s")[0]->m_id == "b");
  catalogue.SetExcludedDataCentres({});
  DOCTEST_CHECK(catalogue.Usable("s").size() == 2);
}

DOCTEST_TEST_CASE("a new process run with the same ID replaces the old one")
{
  ReplicaCatalogue catalogue;
  Replica first = ReplicaNamed("a", "s", "north");
  catalogue.Put(first);
  Replica second = first;
  second.m_startUnixMs = 2;
  catalogue.Put(second);
  DOCTEST_REQUIRE(catalogue.Usable("s").size() == 1);
  DOCTEST_CHECK(catalogue.Usable("s")[0]->m_startUnixMs == 2);
}

// Guards against an old registration, from the store or from a peer, that
// brings an upstream back which has announced its end.
DOCTEST_TEST_CASE(
  "a leaving upstream stays unusable until a new start of it is "
  "registered")
{
  ReplicaCatalogue catalogue;
  Replica replica = ReplicaNamed("a", "s", "north");
  catalogue.Put(replica);
  DOCTEST_CHECK(catalogue.SetLeaving(replica));
  DOCTEST_CHECK_FALSE(catalogue.SetLeaving(replica));
  DOCTEST_CHECK(catalogue.Usable("s").empty());
  replica.m_slots = 3;
  catalogue.Put(replica);
  DOCTEST_CHECK(catalogue.Usable("s").empty());
  catalogue.Remove("a");
  catalogue.Put(replica);
  DOCTEST_CHECK(catalogue.Usable("s").empty());
  replica.m_startUnixMs = 2;
  catalogue.Put(replica);
  DOCTEST_CHECK(catalogue.Usable("s").size() == 1);
}

DOCTEST_TEST_CASE(
  "a leaving upstream does not affect another one at its address")
{
  ReplicaCatalogue catalogue;
  Replica replica = ReplicaNamed("a", "s", "north");
  catalogue.Put(replica);
  catalogue.Put(ReplicaNamed("b", "s", "north"));
  // The announcement may come after the registration was removed.
  catalogue.Remove("a");
  catalogue.SetLeaving(replica);
  DOCTEST_CHECK(catalogue.LeavingCount() == 1);
  DOCTEST_REQUIRE(catalogue.Usable("s").size() == 1);
  DOCTEST_CHECK(catalogue.Usable("s")[0]->m_id == "b");
}

} // namespace
} // namespace ebonykeel
