#include "core/quota/burst_share.h"

#include <set>
#include <string>

#include <doctest/doctest.h>

#include "core/quota/quota_policy.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

} // namespace

// Guards against fractions of a request that no instance can use, and against a
// sum that grows with the number of instances.
DOCTEST_TEST_CASE(
  "the reserve of a data centre is one whole request for it all")
{
  QuotaSettings settings{
    .m_dataCentres = { DataCentre("a"), DataCentre("b"), DataCentre("c") }
  };
  QuotaPolicy policy(settings);
  for (size_t count : { 1, 2, 5, 40 }) {
    DOCTEST_CAPTURE(count);
    std::set<std::string> hosts;
    for (size_t i = 0; i < count; ++i) {
      hosts.insert("10.0.0." + std::to_string(i));
    }
    double sum = 0;
    int holders = 0;
    for (const std::string& host : hosts) {
      BurstShare share(policy.Reserve(), host);
      share.SetParticipants(hosts, kStart);
      DOCTEST_CHECK(share.Available("w", kStart) == 0);
      double available = share.Available("w", kStart + Seconds(60));
      sum += available;
      holders += available >= 1 ? 1 : 0;
    }
    DOCTEST_CHECK(holders == 1);
    DOCTEST_CHECK(sum < 1.001);
  }
}

// Guards against a wrong delay for callers that the reserve cannot serve.
DOCTEST_TEST_CASE("the time until a request is available is stated")
{
  BurstShare share({ .m_burst = 10,
                     .m_heldShare = 0.2,
                     .m_refilledShare = 0.2,
                     .m_window = Seconds(5) },
                   "a");
  DOCTEST_CHECK(!share.UntilAvailable("w", kStart));
  share.SetParticipants({ "a" }, kStart);
  std::optional<Duration> wait = share.UntilAvailable("w", kStart);
  DOCTEST_REQUIRE(wait);
  DOCTEST_CHECK(ToMilliseconds(*wait) == 2500);
  DOCTEST_CHECK(share.UntilAvailable("w", kStart + *wait) == Duration{});
  share.Take("w", 1, kStart + *wait);
  DOCTEST_CHECK(share.Available("w", kStart + *wait) < 1);
}

} // namespace ebonykeel
