#include "core/traffic/caller_access.h"

#include <memory>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

const Route kRoute{ .m_name = "desk", .m_priority = 3 };
const Route kPublicRoute{ .m_name = "open",
                          .m_priority = 3,
                          .m_isPublic = true };

RouteTable
TableWith(std::vector<Workspace> aWorkspaces)
{
  auto config = std::make_shared<TrafficConfig>();
  config->m_requiresKeys = !aWorkspaces.empty();
  config->m_workspaces = std::move(aWorkspaces);
  return RouteTable(config);
}

// Returns the name of the key's workspace, or the reason for the refusal.
std::string
OutcomeOf(const RouteTable& aTable, const std::optional<KeyDigest>& aKey)
{
  CallerAccess access = CheckAccess(aTable, kRoute, aKey);
  DOCTEST_CHECK((access.m_workspace == nullptr) ==
                access.m_refusal.has_value());
  return access.m_refusal ? std::string(AccessRefusalName(*access.m_refusal))
                          : access.m_workspace->m_name;
}

DOCTEST_TEST_CASE("each key of a workspace gives access")
{
  RouteTable table = TableWith({ { .m_name = "a", .m_keys = { "k1", "k2" } },
                                 { .m_name = "b", .m_keys = { "k3" } } });
  DOCTEST_CHECK(OutcomeOf(table, "k1") == "a");
  DOCTEST_CHECK(OutcomeOf(table, "k2") == "a");
  DOCTEST_CHECK(OutcomeOf(table, "k3") == "b");
}

DOCTEST_TEST_CASE("a request without a known key is refused")
{
  RouteTable table = TableWith({ { .m_name = "a", .m_keys = { "k1" } } });
  DOCTEST_CHECK(OutcomeOf(table, std::nullopt) == "missing-key");
  DOCTEST_CHECK(OutcomeOf(table, "k2") == "unknown-key");
  DOCTEST_CHECK(OutcomeOf(table, "") == "unknown-key");
}

// Guards against access by a key of an earlier version.
DOCTEST_TEST_CASE("a newer configuration moves and removes keys")
{
  RouteTable first = TableWith({ { .m_name = "a", .m_keys = { "k1", "k2" } },
                                 { .m_name = "b", .m_keys = { "k3" } } });
  RouteTable second = TableWith(
    { { .m_name = "a", .m_keys = {} }, { .m_name = "b", .m_keys = { "k2" } } });
  DOCTEST_CHECK(OutcomeOf(first, "k2") == "a");
  DOCTEST_CHECK(OutcomeOf(second, "k2") == "b");
  DOCTEST_CHECK(OutcomeOf(second, "k1") == "unknown-key");
  DOCTEST_CHECK(OutcomeOf(second, "k3") == "unknown-key");
}

// Guards against open access when the last workspace loses its last key.
DOCTEST_TEST_CASE("workspaces without keys give access to nobody")
{
  RouteTable table = TableWith({ { .m_name = "a" } });
  DOCTEST_CHECK(OutcomeOf(table, "k1") == "unknown-key");
  DOCTEST_CHECK(OutcomeOf(table, std::nullopt) == "missing-key");
}

// Guards against instances that decide differently about one key.
DOCTEST_TEST_CASE("a key that occurs twice belongs to the first workspace")
{
  RouteTable table = TableWith({ { .m_name = "a", .m_keys = { "k1", "k1" } },
                                 { .m_name = "b", .m_keys = { "k1", "k2" } } });
  DOCTEST_CHECK(OutcomeOf(table, "k1") == "a");
  DOCTEST_CHECK(OutcomeOf(table, "k2") == "b");
}

DOCTEST_TEST_CASE("a public route needs no key and belongs to no workspace")
{
  RouteTable table = TableWith({ { .m_name = "a", .m_keys = { "k1" } } });
  for (const std::optional<KeyDigest>& key :
       { std::optional<KeyDigest>(),
         std::optional<KeyDigest>("k1"),
         std::optional<KeyDigest>("k2") }) {
    CallerAccess access = CheckAccess(table, kPublicRoute, key);
    DOCTEST_CHECK_FALSE(access.m_refusal.has_value());
    DOCTEST_CHECK(access.m_workspace == nullptr);
  }
}

DOCTEST_TEST_CASE("a configuration without workspaces requires no key")
{
  RouteTable table = TableWith({});
  CallerAccess access = CheckAccess(table, kRoute, std::nullopt);
  DOCTEST_CHECK_FALSE(access.m_refusal.has_value());
  DOCTEST_CHECK(access.m_workspace == nullptr);
}

DOCTEST_TEST_CASE("a workspace's priority overrides the route's")
{
  Workspace urgent{ .m_name = "a", .m_priority = 0 };
  Workspace plain{ .m_name = "b" };
  DOCTEST_CHECK(EffectivePriority(kRoute, &urgent) == 0);
  DOCTEST_CHECK(EffectivePriority(kRoute, &plain) == 3);
  DOCTEST_CHECK(EffectivePriority(kRoute, nullptr) == 3);
}

} // namespace
} // namespace ebonykeel
