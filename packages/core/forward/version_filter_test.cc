#include "core/replica/version_filter.h"

#include <doctest/doctest.h>

#include "core/forward/forward_run_fixture.h"

namespace ebonykeel {
namespace {

// Allows the replica "s0b" to first attempts that chose the target version, and
// "s0a" to all others.
class FakeFilter final : public VersionFilter
{
public:
  std::span<const ReplicaPtr> Filter(std::string_view /*aService*/,
                                     std::span<const ReplicaPtr> aUsable,
                                     VersionChoice& aChoice,
                                     bool aIsFirst,
                                     TimePoint /*aNow*/) override
  {
    if (aChoice == VersionChoice::kUndecided) {
      aChoice = VersionChoice::kTarget;
    }
    bool isTarget = aIsFirst && aChoice == VersionChoice::kTarget;
    return aUsable.subspan(isTarget ? 1 : 0, 1);
  }
  std::span<const ReplicaPtr> Preview(std::string_view aService,
                                      std::span<const ReplicaPtr> aUsable,
                                      VersionChoice& aChoice,
                                      TimePoint aNow) override
  {
    return Filter(aService, aUsable, aChoice, true, aNow);
  }
};

struct Fixture : ForwardRunFixture
{
  Fixture()
    : ForwardRunFixture(1, RouteTarget::kService)
  {
    m_environment.m_versions = &m_filter;
  }

  FakeFilter m_filter;
};

DOCTEST_TEST_CASE("a first attempt goes to the chosen version and its retry to "
                  "the other")
{
  Fixture fixture;
  fixture.Start();
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 1);
  DOCTEST_CHECK(fixture.m_port.m_sent[0].m_replica == "s0b");
  fixture.Fail(0, 0, AttemptOutcome::kFailure);
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 2);
  DOCTEST_CHECK(fixture.m_port.m_sent[1].m_replica == "s0a");
}

// Guards against requests that fail or wait because the few upstreams of a new
// version are out of reach or full.
DOCTEST_TEST_CASE("a first attempt goes to the current version if no upstream "
                  "of the chosen one can take it")
{
  Fixture fixture;
  const ReplicaPtr target = fixture.m_catalogue.Usable("s0")[1];
  fixture.m_load.OnSent(*target, kStart);
  fixture.m_load.OnUnreachable(*target, kStart, kStart);
  fixture.Start();
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 1);
  DOCTEST_CHECK(fixture.m_port.m_sent[0].m_replica == "s0a");
}

} // namespace
} // namespace ebonykeel
