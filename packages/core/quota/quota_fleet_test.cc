// Plays fleets without faults, and with one fault at a time, and checks what
// callers lose.
#include "core/quota/quota_fleet_simulation.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

double
RefusedShare(const QuotaTally& aTally)
{
  return aTally.m_sent == 0 ? 0
                            : static_cast<double>(aTally.m_refused) /
                                static_cast<double>(aTally.m_sent);
}

void
PrintTally(const std::string& aWhat, const QuotaTally& aTally)
{
  DOCTEST_MESSAGE(aWhat << ": " << aTally.m_sent << " sent, " << aTally.m_run
                        << " run, " << aTally.m_refused << " refused");
}

} // namespace

// Guards against refusals within the limit because tokens are at other
// instances than the callers, or expire unspent.
DOCTEST_TEST_CASE(
  "in a calm fleet uneven demand below the quota is not refused")
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    DOCTEST_CAPTURE(seed);
    QuotaFleetSimulation fleet({ .m_workspaces = { { .m_name = "w",
                                                     .m_ratePerSecond = 48,
                                                     .m_burst = 48 } } },
                               seed);
    fleet.Run(Seconds(5));
    fleet.SetDemand("w", 0.75 * 48);
    fleet.Run(Seconds(30));
    PrintTally("0.75 of the quota", fleet.Tally("w"));
    DOCTEST_CHECK(fleet.Tally("w").m_sent > 900);
    DOCTEST_CHECK(RefusedShare(fleet.Tally("w")) <= 0.01);
    fleet.ResetTallies();
    fleet.SetDemand("w", 0.9 * 48);
    fleet.Run(Seconds(30));
    PrintTally("0.9 of the quota", fleet.Tally("w"));
    fleet.ResetTallies();
    fleet.SetDemand("w", 7 * 48);
    fleet.Run(Seconds(30));
    PrintTally("7 times the quota", fleet.Tally("w"));
    DOCTEST_CHECK(fleet.WorstExcess() <= 0);
  }
}

} // namespace ebonykeel
