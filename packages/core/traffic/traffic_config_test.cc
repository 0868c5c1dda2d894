#include "core/traffic/traffic_config.h"

#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "core/traffic/weighted_choice.h"

namespace ebonykeel {
namespace {

TrafficConfigPtr
ConfigWith(std::initializer_list<std::pair<const char*, const char*>> aRoutes)
{
  auto config = std::make_shared<TrafficConfig>();
  for (const auto& [host, prefix] : aRoutes) {
    config->m_routes.push_back(
      { .m_name = prefix, .m_host = host, .m_pathPrefix = prefix });
  }
  return config;
}

DOCTEST_TEST_CASE("the longest matching path prefix wins")
{
  RouteTable table(
    ConfigWith({ { "a.example", "/x/" }, { "a.example", "/x/y/" } }));
  DOCTEST_CHECK(table.Find("a.example", "/x/y/z")->m_name == "/x/y/");
  DOCTEST_CHECK(table.Find("a.example", "/x/y")->m_name == "/x/");
  DOCTEST_CHECK(table.Find("a.example", "/x/q?to=/x/y/")->m_name == "/x/");
  DOCTEST_CHECK(table.Find("a.example", "/x") == nullptr);
  DOCTEST_CHECK(table.Find("a.example", "/") == nullptr);
}

DOCTEST_TEST_CASE("a host matches regardless of its port and letter case")
{
  RouteTable table(ConfigWith({ { "a.example", "/" } }));
  DOCTEST_CHECK(table.Find("A.Example:8080", "/x") != nullptr);
  DOCTEST_CHECK(table.Find("b.example", "/x") == nullptr);
}

// Guards against instances that decide differently about one key.
DOCTEST_TEST_CASE("a key of two workspaces belongs to the first of them")
{
  auto config = std::make_shared<TrafficConfig>();
  config->m_workspaces = { { .m_name = "first", .m_keys = { "k1", "k2" } },
                           { .m_name = "second", .m_keys = { "k2", "k3" } } };
  RouteTable table(config);
  DOCTEST_CHECK(table.FindWorkspace("k2")->m_name == "first");
  DOCTEST_CHECK(table.FindWorkspace("k3")->m_name == "second");
  DOCTEST_CHECK(table.FindWorkspace("k4") == nullptr);
}

DOCTEST_TEST_CASE("a split distributes requests in proportion to the weights")
{
  std::vector<SplitPart> parts{ { "a", 3 }, { "b", 1 }, { "c", 0 } };
  WeightedChoice choice;
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) {
    ++counts[choice.Next(parts).m_service];
  }
  DOCTEST_CHECK(counts["a"] == 300);
  DOCTEST_CHECK(counts["b"] == 100);
  DOCTEST_CHECK(counts.count("c") == 0);
}

} // namespace
} // namespace ebonykeel
