// Plays fleets under random faults and checks the bound on the requests that
// run in any window, as the requirement states it.
#include "core/quota/quota_fleet_simulation.h"

#include <ostream>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace ebonykeel {
namespace {

struct Step
{
  enum Kind
  {
    kWait,
    kCutDataCentre,
    kCutInstance,
    kSplitDataCentre,
    kMoveToOtherDataCentre,
    kMoveCallers,
    kHeal,
    kFreeze,
    kRestart,
    kRestartAll,
    kLossyNetwork,
    kLateNetwork,
    kCalmNetwork,
    kRaise,
    kLower,
    kNormalLimits,
    kSilence,
    kFlood,
    kKindCount,
  };
  int m_kind = kWait;
  size_t m_target = 0;
  int m_spanMs = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << "{" << aStep.m_kind << " at " << aStep.m_target << ", "
              << aStep.m_spanMs << " ms}";
}

rc::Gen<Step>
ArbitraryStep()
{
  return rc::gen::construct<Step>(rc::gen::inRange<int>(0, Step::kKindCount),
                                  rc::gen::inRange<size_t>(0, 64),
                                  rc::gen::inRange(0, 5000));
}

std::vector<Workspace>
WorkspacesScaledBy(double aFactor)
{
  return { { .m_name = "large",
             .m_ratePerSecond = 300 * aFactor,
             .m_burst = 150 * aFactor },
           { .m_name = "small",
             .m_ratePerSecond = 20 * aFactor,
             .m_burst = 40 * aFactor },
           { .m_name = "bursty",
             .m_ratePerSecond = 40 * aFactor,
             .m_burst = 400 * aFactor },
           { .m_name = "tiny", .m_ratePerSecond = 2 * aFactor, .m_burst = 1 } };
}

// The time without callers in which all buckets are filled.
constexpr Duration kFillTime = Seconds(12);

// Every workspace asks for far more than its limit.
void
Flood(QuotaFleetSimulation& aFleet, double aFactor)
{
  aFleet.SetDemand("large", 900 * aFactor);
  aFleet.SetDemand("small", 140 * aFactor);
  aFleet.SetDemand("bursty", 400 * aFactor);
  aFleet.SetDemand("tiny", 30 * aFactor);
}

class Schedule
{
public:
  Schedule(QuotaFleetSimulation& aFleet,
           size_t aDataCentres,
           size_t aPerDataCentre)
    : m_fleet(aFleet)
    , m_dataCentres(aDataCentres)
    , m_perDataCentre(aPerDataCentre)
  {
  }

  void Play(const Step& aStep)
  {
    size_t instance = aStep.m_target % m_fleet.InstanceCount();
    size_t dataCentre = aStep.m_target % m_dataCentres;
    int side = 1 + static_cast<int>(aStep.m_target % 5);
    Duration span = Milliseconds(aStep.m_spanMs);
    switch (aStep.m_kind) {
      case Step::kCutDataCentre:
        m_isCut = true;
        m_fleet.SetSideOfDataCentre(dataCentre, side);
        break;
      case Step::kCutInstance:
        m_isCut = true;
        m_fleet.SetSide(instance, 100 + static_cast<int>(instance));
        break;
      case Step::kSplitDataCentre:
        m_isCut = true;
        for (size_t i = 0; i < m_perDataCentre / 2; ++i) {
          m_fleet.SetSide(dataCentre * m_perDataCentre + i, 10 + side);
        }
        break;
      case Step::kMoveToOtherDataCentre:
        // The instance reaches another data centre, but not its own.
        m_isCut = true;
        m_fleet.SetSideOfDataCentre(
          (instance / m_perDataCentre + 1) % m_dataCentres, 20 + side);
        m_fleet.SetSide(instance, 20 + side);
        break;
      case Step::kMoveCallers:
        m_fleet.MoveCallersTo(instance);
        break;
      case Step::kHeal:
        Heal();
        break;
      case Step::kFreeze:
        m_fleet.Freeze(instance, span);
        break;
      case Step::kRestart:
        Restart(instance, span / 4);
        break;
      case Step::kRestartAll:
        Heal();
        for (size_t i = 0; i < m_fleet.InstanceCount(); ++i) {
          m_fleet.Restart(i, span / 8);
        }
        m_fleet.Run(span / 8 + kFindTime);
        break;
      case Step::kLossyNetwork:
        m_fleet.SetFaults(
          { .m_loss = 0.3, .m_repetition = 0.3, .m_delay = 0.05 });
        break;
      case Step::kLateNetwork:
        m_fleet.SetFaults({ .m_repetition = 0.5, .m_delay = 0.5 });
        break;
      case Step::kCalmNetwork:
        m_fleet.SetFaults({});
        break;
      case Step::kRaise:
        m_fleet.Configure(WorkspacesScaledBy(2), span / 2);
        break;
      case Step::kLower:
        m_fleet.Configure(WorkspacesScaledBy(0.5), span / 2);
        break;
      case Step::kNormalLimits:
        m_fleet.Configure(WorkspacesScaledBy(1), span / 2);
        break;
      case Step::kSilence:
        Flood(m_fleet, 0);
        m_fleet.Run(kFillTime);
        break;
      case Step::kFlood:
        Flood(m_fleet, 1);
        break;
      default:
        break;
    }
    m_fleet.Run(span);
  }

private:
  // In which instances of a fleet that is not cut find each other.
  static constexpr Duration kFindTime = Milliseconds(900);

  void Heal()
  {
    m_fleet.HealPartitions();
    m_fleet.Run(kFindTime);
    m_isCut = false;
    m_restartedWhileCut = false;
  }

  // While the fleet is cut, one instance restarts at most: instances that all
  // restart on one side of a partition cannot know that there is another side,
  // which docs/design/workspaces-rollouts-placement.md states as a limit.
  void Restart(size_t aInstance, Duration aDownFor)
  {
    if (m_isCut && m_restartedWhileCut) {
      return;
    }
    m_restartedWhileCut = m_isCut;
    m_fleet.Restart(aInstance, aDownFor);
    if (!m_isCut) {
      m_fleet.Run(aDownFor + kFindTime);
    }
  }

  QuotaFleetSimulation& m_fleet;
  size_t m_dataCentres;
  size_t m_perDataCentre;
  bool m_isCut = false;
  bool m_restartedWhileCut = false;
};

} // namespace

// Guards against requests beyond a workspace's limit: tokens granted twice by
// two granters or for a repeated request, spent after a freeze, given back and
// kept, added again by a change of limits, or granted anew after a restart.
DOCTEST_TEST_CASE("no schedule of faults breaks the bound in any window")
{
  bool held = rc::check([]() {
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto perDataCentre = *rc::gen::inRange<size_t>(1, 6);
    auto dataCentres = *rc::gen::inRange<size_t>(1, 5);
    auto steps = *rc::gen::container<std::vector<Step>>(ArbitraryStep());
    QuotaFleetSimulation fleet(
      { .m_dataCentres = dataCentres,
        .m_instancesPerDataCentre = perDataCentre,
        .m_namedPerDataCentre = 1 + seed % perDataCentre,
        .m_workspaces = WorkspacesScaledBy(1),
        .m_refusedLater = 0.05 },
      seed);
    fleet.Run(kFillTime);
    Flood(fleet, 1);
    Schedule schedule(fleet, dataCentres, perDataCentre);
    for (const Step& step : steps) {
      schedule.Play(step);
    }
    fleet.Run(Seconds(2));
    RC_ASSERT(!fleet.HadTwoGranters());
    RC_ASSERT(fleet.WorstExcess() <= 0);
  });
  DOCTEST_CHECK(held);
}

} // namespace ebonykeel
