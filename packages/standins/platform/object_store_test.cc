#include <doctest/doctest.h>

#include "standins/platform/object_store.h"

namespace ebonykeel::standins {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(100));

DOCTEST_TEST_CASE("a change is applied only if its condition holds")
{
  ObjectStore store;
  auto created = store.Put(kStart, "a", "one", { .m_version = kAbsent });
  DOCTEST_CHECK(created.m_applied);
  DOCTEST_CHECK_FALSE(
    store.Put(kStart, "a", "two", { .m_version = kAbsent }).m_applied);
  auto updated =
    store.Put(kStart, "a", "two", { .m_version = created.m_version });
  DOCTEST_CHECK(updated.m_applied);
  DOCTEST_CHECK(updated.m_version > created.m_version);
  auto refused = store.Delete(kStart, "a", { .m_version = created.m_version });
  DOCTEST_CHECK_FALSE(refused.m_applied);
  DOCTEST_CHECK(refused.m_version == updated.m_version);
  DOCTEST_CHECK(store.Find("a", kStart)->m_body == "two");
}

DOCTEST_TEST_CASE("a version is not reused after a deletion")
{
  ObjectStore store;
  auto first = store.Put(kStart, "a", "one", {});
  DOCTEST_CHECK(store.Delete(kStart, "a", {}).m_applied);
  DOCTEST_CHECK(store.Find("a", kStart) == nullptr);
  auto second = store.Put(kStart, "a", "one", { .m_version = kAbsent });
  DOCTEST_CHECK(second.m_version > first.m_version);
}

DOCTEST_TEST_CASE("a read of the past returns the state at that time")
{
  ObjectStore store;
  store.Put(kStart, "a", "one", {});
  store.Put(kStart + Seconds(2), "a", "two", {});
  DOCTEST_CHECK(store.Find("a", kStart - Seconds(1)) == nullptr);
  DOCTEST_CHECK(store.Find("a", kStart + Seconds(1))->m_body == "one");
  DOCTEST_CHECK(store.Find("a", kStart + Seconds(2))->m_body == "two");
  store.Put(kStart + Seconds(90), "a", "three", {});
  DOCTEST_CHECK(store.Find("a", kStart + Seconds(80))->m_body == "two");
}

DOCTEST_TEST_CASE("a listing is sorted, limited and resumed by key")
{
  ObjectStore store;
  for (const char* key : { "c/2", "c/1", "b/1", "c/3", "d" }) {
    store.Put(kStart, key, "x", {});
  }
  store.Delete(kStart, "c/2", {});
  auto first = store.List("c/", "", 1, kStart);
  DOCTEST_REQUIRE(first.size() == 1);
  DOCTEST_CHECK(first[0].m_key == "c/1");
  auto second = store.List("c/", "c/1", 10, kStart);
  DOCTEST_REQUIRE(second.size() == 1);
  DOCTEST_CHECK(second[0].m_key == "c/3");
}

} // namespace
} // namespace ebonykeel::standins
