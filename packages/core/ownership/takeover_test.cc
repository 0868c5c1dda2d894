// Tests properties of membership and ownership together, under generated
// sequences of faults.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

#include "core/ownership/testing/schedule.h"

namespace ebonykeel {
namespace {

using testing::FleetSimulation;
using testing::FleetSimulationOptions;
using testing::SimulatedInstance;

// Longer than it takes to detect every fault: an instance that died with its
// monitors is declared dead after about 20 s.
constexpr Duration kSettleTime = Seconds(40);

enum class FaultKind
{
  kCrash,
  kStart,
  kPause,
  kResume,
  kStopGracefully,
  kCutBothWays,
  kCutOneWay,
  kIsolate,
  kSplit,
  kLoss,
  kSlow,
  kCount,
};

struct Fault
{
  FaultKind m_kind = FaultKind::kCrash;
  size_t m_first = 0;
  size_t m_second = 0;
  int m_durationMs = 0;
};

std::ostream&
operator<<(std::ostream& aStream, const Fault& aFault)
{
  return aStream << "{" << static_cast<int>(aFault.m_kind) << " "
                 << aFault.m_first << " " << aFault.m_second << " +"
                 << aFault.m_durationMs << "ms}";
}

rc::Gen<Fault>
GenFault()
{
  return rc::gen::build<Fault>(
    rc::gen::set(
      &Fault::m_kind,
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(FaultKind::kCount)),
                   [](int aKind) { return static_cast<FaultKind>(aKind); })),
    rc::gen::set(&Fault::m_first, rc::gen::inRange<size_t>(0, 8)),
    rc::gen::set(&Fault::m_second, rc::gen::inRange<size_t>(0, 8)),
    rc::gen::set(&Fault::m_durationMs, rc::gen::inRange(10, 5000)));
}

void
Inject(FleetSimulation& aSimulation, const Fault& aFault)
{
  const size_t count = aSimulation.Instances().size();
  const size_t first = aFault.m_first % count;
  const size_t second = aFault.m_second % count;
  switch (aFault.m_kind) {
    case FaultKind::kCrash:
      aSimulation.Crash(first);
      break;
    case FaultKind::kStart:
      aSimulation.Start(first);
      break;
    case FaultKind::kPause:
      aSimulation.Pause(first);
      break;
    case FaultKind::kResume:
      aSimulation.Resume(first);
      break;
    case FaultKind::kStopGracefully:
      aSimulation.StopGracefully(first);
      break;
    case FaultKind::kCutBothWays:
      aSimulation.Cut(first, second);
      aSimulation.Cut(second, first);
      break;
    case FaultKind::kCutOneWay:
      aSimulation.Cut(first, second);
      break;
    case FaultKind::kIsolate:
      for (size_t index = 0; index < count; ++index) {
        aSimulation.Cut(first, index);
        aSimulation.Cut(index, first);
      }
      break;
    case FaultKind::kSplit:
      for (size_t left = 0; left <= first; ++left) {
        for (size_t right = first + 1; right < count; ++right) {
          aSimulation.Cut(left, right);
          aSimulation.Cut(right, left);
        }
      }
      break;
    case FaultKind::kLoss:
      aSimulation.SetLossProbability(0.05 *
                                     static_cast<double>(aFault.m_second));
      break;
    case FaultKind::kSlow:
      aSimulation.SetSlowNetwork(aFault.m_second % 2 == 0);
      break;
    case FaultKind::kCount:
      break;
  }
}

// Heals the network, resumes paused instances and starts stopped ones.
void
EndFaults(FleetSimulation& aSimulation)
{
  aSimulation.Heal();
  aSimulation.SetLossProbability(0);
  aSimulation.SetSlowNetwork(false);
  for (size_t index = 0; index < aSimulation.Instances().size(); ++index) {
    aSimulation.Resume(index);
    aSimulation.Start(index);
  }
}

// Returns a description of two instances that may both send to one upstream, or
// an empty string.
std::string
FindOverlap(const FleetSimulation& aSimulation)
{
  for (const UpstreamId& upstream : aSimulation.Upstreams()) {
    std::string holder;
    for (const auto& instance : aSimulation.Instances()) {
      if (aSimulation.UsableSlots(*instance, upstream) == 0) {
        continue;
      }
      if (!holder.empty()) {
        return absl::StrCat(upstream.Text(),
                            " held by ",
                            holder,
                            " and ",
                            instance->m_self.m_id.Text(),
                            " at ",
                            ToMilliseconds(aSimulation.Now()),
                            " ms");
      }
      holder = instance->m_self.m_id.Text();
    }
  }
  return "";
}

// Returns a description of an instance that holds its lease although another
// one has a record of that incarnation as dead, or an empty string.
std::string
FindFalseDeath(const FleetSimulation& aSimulation)
{
  for (const auto& target : aSimulation.Instances()) {
    if (!target->m_running ||
        !target->m_membership->HoldsLease(aSimulation.LocalNow(*target))) {
      continue;
    }
    const InstanceRecord& self = target->m_membership->Self();
    for (const auto& observer : aSimulation.Instances()) {
      if (!observer->m_running || observer == target) {
        continue;
      }
      const InstanceRecord* record =
        observer->m_membership->View().Find(self.m_id);
      const bool dead = record != nullptr &&
                        record->m_state == InstanceState::kDead &&
                        record->m_incarnation == self.m_incarnation;
      if (dead) {
        return absl::StrCat(self.m_id.Text(),
                            " is dead in the view of ",
                            observer->m_self.m_id.Text(),
                            " at ",
                            ToMilliseconds(aSimulation.Now()),
                            " ms but holds its lease");
      }
    }
  }
  return "";
}

size_t
CountOwned(const FleetSimulation& aSimulation)
{
  return static_cast<size_t>(std::ranges::count_if(
    aSimulation.Upstreams(), [&](const UpstreamId& aUpstream) {
      return std::ranges::any_of(
        aSimulation.Instances(), [&](const auto& aInstance) {
          return aSimulation.UsableSlots(*aInstance, aUpstream) > 0;
        });
    }));
}

// Returns one line per instance, for the report of a violation.
std::string
Describe(const FleetSimulation& aSimulation)
{
  std::string text;
  for (const auto& instance : aSimulation.Instances()) {
    absl::StrAppend(&text, "\n", instance->m_self.m_id.Text());
    if (!instance->m_running) {
      absl::StrAppend(&text, " down");
      continue;
    }
    const InstanceRecord& self = instance->m_membership->Self();
    const TimePoint now = aSimulation.LocalNow(*instance);
    absl::StrAppend(&text,
                    " ",
                    std::string(InstanceStateName(self.m_state)),
                    " incarnation ",
                    self.m_incarnation,
                    " epoch ",
                    self.m_monitorEpoch,
                    " monitors ",
                    self.m_monitors.size(),
                    " lease ",
                    instance->m_membership->HoldsLease(now),
                    " view");
    for (const InstanceRecord& record :
         instance->m_membership->View().m_records) {
      absl::StrAppend(&text,
                      " ",
                      record.m_id.Text(),
                      ":",
                      std::string(InstanceStateName(record.m_state)));
    }
    absl::StrAppend(&text, " slots");
    for (const UpstreamId& upstream : aSimulation.Upstreams()) {
      absl::StrAppend(&text,
                      " ",
                      upstream.Text(),
                      ":",
                      std::string(OwnershipStateName(
                        instance->m_manager->StateOf(upstream, now))));
    }
  }
  return text;
}

// Injects faults into a settled fleet and returns the first violation, or an
// empty string.
std::string
RunFaults(const FleetSimulationOptions& aOptions,
          const std::vector<Fault>& aFaults)
{
  FleetSimulation simulation(aOptions);
  std::string violation;
  const auto check = [&] {
    if (violation.empty()) {
      violation = FindOverlap(simulation);
    }
    if (violation.empty()) {
      violation = FindFalseDeath(simulation);
    }
  };
  for (size_t index = 0; index < aOptions.m_instances; ++index) {
    simulation.Start(index);
  }
  simulation.RunUntil(Seconds(10), check);
  if (CountOwned(simulation) != simulation.Upstreams().size()) {
    return absl::StrCat("fleet did not settle at the start",
                        Describe(simulation));
  }
  for (const Fault& fault : aFaults) {
    Inject(simulation, fault);
    simulation.RunUntil(simulation.Now() + Milliseconds(fault.m_durationMs),
                        check);
  }
  EndFaults(simulation);
  simulation.RunUntil(simulation.Now() + kSettleTime, check);
  if (!violation.empty()) {
    return violation;
  }
  if (CountOwned(simulation) != simulation.Upstreams().size()) {
    return absl::StrCat(CountOwned(simulation),
                        " upstreams owned after the faults",
                        Describe(simulation));
  }
  return "";
}

DOCTEST_TEST_CASE(
  "at most one instance sends to an upstream, and all upstreams "
  "are owned again once the faults end")
{
  DOCTEST_CHECK(rc::check([] {
    FleetSimulationOptions options;
    options.m_seed = *rc::gen::arbitrary<uint32_t>();
    options.m_instances = *rc::gen::inRange<size_t>(3, 9);
    options.m_dataCentres = *rc::gen::inRange<size_t>(1, 4);
    options.m_regions = *rc::gen::inRange<size_t>(
      1, std::min<size_t>(options.m_dataCentres, 2) + 1);
    const auto faults = *rc::gen::container<std::vector<Fault>>(GenFault());
    const std::string violation = RunFaults(options, faults);
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  }));
}

DOCTEST_TEST_CASE("sequences of faults that once caused a violation")
{
  constexpr auto kCrash = FaultKind::kCrash;
  constexpr auto kStop = FaultKind::kStopGracefully;
  const auto run = [](size_t aInstances, const std::vector<Fault>& aFaults) {
    return RunFaults(
      { .m_seed = 0, .m_instances = aInstances, .m_dataCentres = 1 }, aFaults);
  };
  // An immediate restart with an incarnation that others had already seen.
  DOCTEST_CHECK(run(3, { { kCrash, 0, 0, 48 } }) == "");
  // Two instances leave and stop while the others restart; they were never
  // declared dead.
  DOCTEST_CHECK(run(4,
                    { { kCrash, 2, 0, 1137 },
                      { kStop, 1, 0, 20 },
                      { kStop, 0, 0, 428 },
                      { kCrash, 2, 0, 1625 } }) == "");
  // Three instances that rejoined together kept losing their leases.
  DOCTEST_CHECK(run(3,
                    { { kCrash, 0, 0, 273 },
                      { kCrash, 0, 0, 463 },
                      { kCrash, 1, 0, 87 },
                      { FaultKind::kStart, 0, 0, 418 } }) == "");
  // An instance restarted with a lower incarnation and was not remembered as a
  // requester.
  DOCTEST_CHECK(run(3,
                    { { kCrash, 0, 0, 309 },
                      { kCrash, 1, 0, 362 },
                      { kCrash, 0, 0, 417 },
                      { FaultKind::kStart, 0, 0, 412 } }) == "");
}

const auto kNoCheck = [] {};

// Returns a settled fleet with the given number of instances.
std::unique_ptr<FleetSimulation>
MakeSettled(size_t aInstances, size_t aDataCentres, uint32_t aSeed)
{
  auto simulation = std::make_unique<FleetSimulation>(
    FleetSimulationOptions{ .m_seed = aSeed,
                            .m_instances = aInstances,
                            .m_dataCentres = aDataCentres });
  for (size_t index = 0; index < aInstances; ++index) {
    simulation->Start(index);
  }
  simulation->RunUntil(Seconds(12), kNoCheck);
  return simulation;
}

InstanceState
StateSeenBy(const SimulatedInstance& aWitness, const SimulatedInstance& aTarget)
{
  const InstanceRecord* record =
    aWitness.m_membership->View().Find(aTarget.m_self.m_id);
  return record == nullptr ? InstanceState::kDead : record->m_state;
}

bool
AllSeeDead(const FleetSimulation& aSimulation, const SimulatedInstance& aTarget)
{
  return std::ranges::all_of(
    aSimulation.Instances(), [&](const auto& aInstance) {
      return !aInstance->m_running ||
             StateSeenBy(*aInstance, aTarget) == InstanceState::kDead;
    });
}

bool
HoldsLeaseNow(const FleetSimulation& aSimulation, size_t aInstance)
{
  const SimulatedInstance& instance = *aSimulation.Instances()[aInstance];
  return instance.m_membership->HoldsLease(aSimulation.LocalNow(instance));
}

uint32_t
TotalSlots(const FleetSimulation& aSimulation,
           const SimulatedInstance& aInstance)
{
  uint32_t slots = 0;
  for (const UpstreamId& upstream : aSimulation.Upstreams()) {
    slots += aSimulation.UsableSlots(aInstance, upstream);
  }
  return slots;
}

DOCTEST_TEST_CASE(
  "all instances see a crashed one as dead within the bound, and "
  "its upstreams are owned again")
{
  DOCTEST_CHECK(rc::check([] {
    const auto instances = *rc::gen::inRange<size_t>(3, 9);
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const auto victim = *rc::gen::inRange<size_t>(0, instances);
    const auto simulation =
      MakeSettled(instances, *rc::gen::inRange<size_t>(1, 4), seed);
    simulation->Crash(victim);
    const MembershipSettings settings;
    // Clock rates differ by up to 2%, and a fleet this small disseminates an
    // update in a few rounds.
    const Duration detectionTime =
      settings.m_lease + settings.m_margin + settings.m_heartbeat;
    const Duration bound =
      detectionTime + detectionTime / 50 + 2 * settings.m_heartbeat;
    simulation->RunUntil(simulation->Now() + bound, kNoCheck);
    RC_ASSERT(AllSeeDead(*simulation, *simulation->Instances()[victim]));
    simulation->RunUntil(simulation->Now() + Seconds(2), kNoCheck);
    RC_ASSERT(CountOwned(*simulation) == simulation->Upstreams().size());
  }));
}

DOCTEST_TEST_CASE(
  "an instance that resumes after its lease has ended does not act "
  "until it has rejoined with a new incarnation")
{
  const auto simulation = MakeSettled(5, 3, 3);
  const SimulatedInstance& paused = *simulation->Instances()[2];
  const BootId before = paused.m_membership->Self().m_incarnation;
  DOCTEST_REQUIRE(TotalSlots(*simulation, paused) > 0);
  simulation->Pause(2);
  // The others must not acquire anything before the lease has ended.
  simulation->RunUntil(simulation->Now() + Seconds(2), kNoCheck);
  DOCTEST_CHECK(FindOverlap(*simulation).empty());
  simulation->RunUntil(simulation->Now() + Seconds(8), kNoCheck);
  DOCTEST_CHECK(TotalSlots(*simulation, paused) == 0);
  DOCTEST_CHECK(CountOwned(*simulation) == simulation->Upstreams().size());
  simulation->Resume(2);
  DOCTEST_CHECK(TotalSlots(*simulation, paused) == 0);
  simulation->RunUntil(simulation->Now() + Seconds(6), kNoCheck);
  DOCTEST_CHECK(paused.m_membership->Self().m_incarnation > before);
  DOCTEST_CHECK(TotalSlots(*simulation, paused) > 0);
}

DOCTEST_TEST_CASE(
  "two instances that cannot reach each other do not act, until the "
  "link heals or the platform's list drops one")
{
  const auto simulation = MakeSettled(2, 1, 3);
  DOCTEST_REQUIRE(HoldsLeaseNow(*simulation, 0));
  simulation->Cut(0, 1);
  simulation->Cut(1, 0);
  simulation->RunUntil(simulation->Now() + Seconds(4), kNoCheck);
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*simulation, 0));
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*simulation, 1));
  simulation->RunUntil(simulation->Now() + Seconds(60), kNoCheck);
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*simulation, 0));
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*simulation, 1));
  simulation->Heal();
  simulation->RunUntil(simulation->Now() + Seconds(10), kNoCheck);
  DOCTEST_CHECK(HoldsLeaseNow(*simulation, 0));
  DOCTEST_CHECK(CountOwned(*simulation) == simulation->Upstreams().size());
  // After a crash of one instance, the other continues once the platform's list
  // no longer names the first.
  simulation->Crash(1);
  simulation->RunUntil(simulation->Now() + Seconds(30), kNoCheck);
  DOCTEST_CHECK(HoldsLeaseNow(*simulation, 0));
  DOCTEST_CHECK(CountOwned(*simulation) == simulation->Upstreams().size());
}

DOCTEST_TEST_CASE("a single instance acts, and loses its lease during a pause")
{
  const auto simulation = MakeSettled(1, 1, 3);
  DOCTEST_CHECK(HoldsLeaseNow(*simulation, 0));
  simulation->Pause(0);
  simulation->RunUntil(simulation->Now() + Seconds(4), kNoCheck);
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*simulation, 0));
}

DOCTEST_TEST_CASE("a graceful stop hands over every upstream within 500 ms and "
                  "without two owners at once")
{
  DOCTEST_CHECK(rc::check([] {
    const auto instances = *rc::gen::inRange<size_t>(3, 9);
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const auto simulation =
      MakeSettled(instances, *rc::gen::inRange<size_t>(1, 4), seed);
    const auto leaving = *rc::gen::inRange<size_t>(0, instances);
    std::string violation;
    simulation->StopGracefully(leaving);
    simulation->RunUntil(simulation->Now() + Milliseconds(500), [&] {
      violation = violation.empty() ? FindOverlap(*simulation) : violation;
    });
    RC_ASSERT(violation.empty());
    RC_ASSERT(TotalSlots(*simulation, *simulation->Instances()[leaving]) == 0U);
    RC_ASSERT(CountOwned(*simulation) == simulation->Upstreams().size());
    simulation->RunUntil(simulation->Now() + Seconds(4), kNoCheck);
    RC_ASSERT(AllSeeDead(*simulation, *simulation->Instances()[leaving]));
  }));
}

DOCTEST_TEST_CASE(
  "regions that cannot reach each other keep their leases and upstreams")
{
  FleetSimulation simulation(FleetSimulationOptions{
    .m_seed = 3, .m_instances = 8, .m_dataCentres = 4, .m_regions = 2 });
  for (size_t index = 0; index < 8; ++index) {
    simulation.Start(index);
  }
  std::string violation;
  const auto check = [&] {
    violation = violation.empty() ? FindOverlap(simulation) : violation;
  };
  simulation.RunUntil(Seconds(12), check);
  for (size_t left = 0; left < 8; left += 2) {
    for (size_t right = 1; right < 8; right += 2) {
      simulation.Cut(left, right);
      simulation.Cut(right, left);
    }
  }
  for (int minute = 0; minute < 3; ++minute) {
    simulation.RunUntil(simulation.Now() + Seconds(60), check);
    DOCTEST_CHECK(CountOwned(simulation) == simulation.Upstreams().size());
    for (size_t index = 0; index < 8; ++index) {
      DOCTEST_CHECK(HoldsLeaseNow(simulation, index));
    }
  }
  simulation.Heal();
  simulation.RunUntil(simulation.Now() + Seconds(20), check);
  DOCTEST_CHECK(CountOwned(simulation) == simulation.Upstreams().size());
  DOCTEST_CHECK(violation == "");
}

DOCTEST_TEST_CASE("two of three data centres continue when the third is lost")
{
  const auto simulation = MakeSettled(9, 3, 4);
  for (size_t index = 0; index < 9; index += 3) {
    simulation->Crash(index);
  }
  simulation->RunUntil(simulation->Now() + Seconds(8), kNoCheck);
  for (size_t index = 0; index < 9; index += 3) {
    DOCTEST_CHECK(AllSeeDead(*simulation, *simulation->Instances()[index]));
  }
  for (const size_t index : { 1, 2, 4, 5, 7, 8 }) {
    DOCTEST_CHECK(HoldsLeaseNow(*simulation, index));
  }
  DOCTEST_CHECK(CountOwned(*simulation) == simulation->Upstreams().size());
}

DOCTEST_TEST_CASE("no message is larger than 8 KiB")
{
  constexpr size_t kMaxMessageBytes = 8192;
  const auto simulation = MakeSettled(40, 3, 5);
  for (size_t index = 0; index < 40; index += 3) {
    simulation->Crash(index);
  }
  simulation->RunUntil(simulation->Now() + Seconds(10), kNoCheck);
  DOCTEST_MESSAGE("largest: ", simulation->MaxMessageBytes());
  DOCTEST_CHECK(simulation->MaxMessageBytes() < kMaxMessageBytes);
}

} // namespace
} // namespace ebonykeel
