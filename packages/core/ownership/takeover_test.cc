// Properties of membership and ownership together, under generated schedules
// of faults.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

#include "core/ownership/testing/schedule.h"

namespace ebonykeel {
namespace {

using testing::Machine;
using testing::Schedule;
using testing::ScheduleOptions;

// Longer than what is left of the faults takes to be noticed: instances that
// died with their monitors are given up after about 20 s.
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
  size_t m_one = 0;
  size_t m_other = 0;
  int m_after = 0;
};

std::ostream&
operator<<(std::ostream& aStream, const Fault& aFault)
{
  return aStream << "{" << static_cast<int>(aFault.m_kind) << " "
                 << aFault.m_one << " " << aFault.m_other << " +"
                 << aFault.m_after << "ms}";
}

rc::Gen<Fault>
GenFault()
{
  return rc::gen::build<Fault>(
    rc::gen::set(
      &Fault::m_kind,
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(FaultKind::kCount)),
                   [](int aKind) { return static_cast<FaultKind>(aKind); })),
    rc::gen::set(&Fault::m_one, rc::gen::inRange<size_t>(0, 8)),
    rc::gen::set(&Fault::m_other, rc::gen::inRange<size_t>(0, 8)),
    rc::gen::set(&Fault::m_after, rc::gen::inRange(10, 5000)));
}

void
Inject(Schedule& aSchedule, const Fault& aFault)
{
  const size_t count = aSchedule.Machines().size();
  const size_t one = aFault.m_one % count;
  const size_t other = aFault.m_other % count;
  switch (aFault.m_kind) {
    case FaultKind::kCrash:
      aSchedule.Crash(one);
      break;
    case FaultKind::kStart:
      aSchedule.Start(one);
      break;
    case FaultKind::kPause:
      aSchedule.Pause(one);
      break;
    case FaultKind::kResume:
      aSchedule.Resume(one);
      break;
    case FaultKind::kStopGracefully:
      aSchedule.StopGracefully(one);
      break;
    case FaultKind::kCutBothWays:
      aSchedule.Cut(one, other);
      aSchedule.Cut(other, one);
      break;
    case FaultKind::kCutOneWay:
      aSchedule.Cut(one, other);
      break;
    case FaultKind::kIsolate:
      for (size_t index = 0; index < count; ++index) {
        aSchedule.Cut(one, index);
        aSchedule.Cut(index, one);
      }
      break;
    case FaultKind::kSplit:
      for (size_t left = 0; left <= one; ++left) {
        for (size_t right = one + 1; right < count; ++right) {
          aSchedule.Cut(left, right);
          aSchedule.Cut(right, left);
        }
      }
      break;
    case FaultKind::kLoss:
      aSchedule.SetLoss(0.05 * static_cast<double>(aFault.m_other));
      break;
    case FaultKind::kSlow:
      aSchedule.SetSlow(aFault.m_other % 2 == 0);
      break;
    case FaultKind::kCount:
      break;
  }
}

// The end of faults: paused ones wake, stopped ones start, cuts heal.
void
EndFaults(Schedule& aSchedule)
{
  aSchedule.Heal();
  aSchedule.SetLoss(0);
  aSchedule.SetSlow(false);
  for (size_t index = 0; index < aSchedule.Machines().size(); ++index) {
    aSchedule.Resume(index);
    aSchedule.Start(index);
  }
}

// Returns a description of two machines that may both send to one upstream, or
// nothing.
std::string
FindOverlap(const Schedule& aSchedule)
{
  for (const UpstreamId& upstream : aSchedule.Upstreams()) {
    std::string holder;
    for (const auto& machine : aSchedule.Machines()) {
      if (aSchedule.Slots(*machine, upstream) == 0) {
        continue;
      }
      if (!holder.empty()) {
        return absl::StrCat(upstream.Text(),
                            " held by ",
                            holder,
                            " and ",
                            machine->m_self.m_id.Text(),
                            " at ",
                            ToMilliseconds(aSchedule.Now()),
                            " ms");
      }
      holder = machine->m_self.m_id.Text();
    }
  }
  return "";
}

// Returns a description of a machine whose lease runs although another one
// takes that incarnation of it for dead, or nothing.
std::string
FindFalseDeath(const Schedule& aSchedule)
{
  for (const auto& target : aSchedule.Machines()) {
    if (!target->m_up ||
        !target->m_membership->HoldsLease(aSchedule.LocalNow(*target))) {
      continue;
    }
    const InstanceRecord& self = target->m_membership->Self();
    for (const auto& judge : aSchedule.Machines()) {
      if (!judge->m_up || judge == target) {
        continue;
      }
      const InstanceRecord* record =
        judge->m_membership->View().Find(self.m_id);
      const bool dead = record != nullptr &&
                        record->m_state == InstanceState::kDead &&
                        record->m_incarnation == self.m_incarnation;
      if (dead) {
        return absl::StrCat(self.m_id.Text(),
                            " is dead to ",
                            judge->m_self.m_id.Text(),
                            " at ",
                            ToMilliseconds(aSchedule.Now()),
                            " ms but holds its lease");
      }
    }
  }
  return "";
}

size_t
CountOwned(const Schedule& aSchedule)
{
  return static_cast<size_t>(std::ranges::count_if(
    aSchedule.Upstreams(), [&](const UpstreamId& aUpstream) {
      return std::ranges::any_of(
        aSchedule.Machines(), [&](const auto& aMachine) {
          return aSchedule.Slots(*aMachine, aUpstream) > 0;
        });
    }));
}

// One line for each machine, for the report of a broken rule.
std::string
Describe(const Schedule& aSchedule)
{
  std::string text;
  for (const auto& machine : aSchedule.Machines()) {
    absl::StrAppend(&text, "\n", machine->m_self.m_id.Text());
    if (!machine->m_up) {
      absl::StrAppend(&text, " down");
      continue;
    }
    const InstanceRecord& self = machine->m_membership->Self();
    const TimePoint now = aSchedule.LocalNow(*machine);
    absl::StrAppend(&text,
                    " ",
                    std::string(InstanceStateName(self.m_state)),
                    " run ",
                    self.m_incarnation,
                    " epoch ",
                    self.m_monitorEpoch,
                    " monitors ",
                    self.m_monitors.size(),
                    " lease ",
                    machine->m_membership->HoldsLease(now),
                    " knows");
    for (const InstanceRecord& record :
         machine->m_membership->View().m_records) {
      absl::StrAppend(&text,
                      " ",
                      record.m_id.Text(),
                      ":",
                      std::string(InstanceStateName(record.m_state)));
    }
    absl::StrAppend(&text, " slots");
    for (const UpstreamId& upstream : aSchedule.Upstreams()) {
      absl::StrAppend(&text,
                      " ",
                      upstream.Text(),
                      ":",
                      std::string(OwnershipStateName(
                        machine->m_manager->StateOf(upstream, now))));
    }
  }
  return text;
}

// Runs faults over a fleet that has settled and returns the first broken rule.
std::string
RunFaults(const ScheduleOptions& aOptions, const std::vector<Fault>& aFaults)
{
  Schedule schedule(aOptions);
  std::string broken;
  const auto check = [&] {
    if (broken.empty()) {
      broken = FindOverlap(schedule);
    }
    if (broken.empty()) {
      broken = FindFalseDeath(schedule);
    }
  };
  for (size_t index = 0; index < aOptions.m_machines; ++index) {
    schedule.Start(index);
  }
  schedule.RunUntil(Seconds(10), check);
  if (CountOwned(schedule) != schedule.Upstreams().size()) {
    return absl::StrCat("not settled at the start", Describe(schedule));
  }
  for (const Fault& fault : aFaults) {
    Inject(schedule, fault);
    schedule.RunUntil(schedule.Now() + Milliseconds(fault.m_after), check);
  }
  EndFaults(schedule);
  schedule.RunUntil(schedule.Now() + kSettleTime, check);
  if (!broken.empty()) {
    return broken;
  }
  if (CountOwned(schedule) != schedule.Upstreams().size()) {
    return absl::StrCat(
      CountOwned(schedule), " owned after the faults", Describe(schedule));
  }
  return "";
}

DOCTEST_TEST_CASE(
  "at most one instance sends to an upstream, and all are owned "
  "again once faults end")
{
  DOCTEST_CHECK(rc::check([] {
    ScheduleOptions options;
    options.m_seed = *rc::gen::arbitrary<uint32_t>();
    options.m_machines = *rc::gen::inRange<size_t>(3, 9);
    options.m_dataCentres = *rc::gen::inRange<size_t>(1, 4);
    options.m_regions = *rc::gen::inRange<size_t>(
      1, std::min<size_t>(options.m_dataCentres, 2) + 1);
    const auto faults = *rc::gen::container<std::vector<Fault>>(GenFault());
    const std::string broken = RunFaults(options, faults);
    if (!broken.empty()) {
      RC_FAIL(broken);
    }
  }));
}

DOCTEST_TEST_CASE("schedules that once broke a rule")
{
  constexpr auto kCrash = FaultKind::kCrash;
  constexpr auto kStop = FaultKind::kStopGracefully;
  const auto run = [](size_t aMachines, const std::vector<Fault>& aFaults) {
    return RunFaults(
      { .m_seed = 0, .m_machines = aMachines, .m_dataCentres = 1 }, aFaults);
  };
  // A restart at once, under an incarnation that others had seen.
  DOCTEST_CHECK(run(3, { { kCrash, 0, 0, 48 } }) == "");
  // Two that leave and end while the others restart: they were never judged.
  DOCTEST_CHECK(run(4,
                    { { kCrash, 2, 0, 1137 },
                      { kStop, 1, 0, 20 },
                      { kStop, 0, 0, 428 },
                      { kCrash, 2, 0, 1625 } }) == "");
  // Three that rejoined together kept losing their leases.
  DOCTEST_CHECK(run(3,
                    { { kCrash, 0, 0, 273 },
                      { kCrash, 0, 0, 463 },
                      { kCrash, 1, 0, 87 },
                      { FaultKind::kStart, 0, 0, 418 } }) == "");
  // One came back under a lower incarnation and was not remembered as asker.
  DOCTEST_CHECK(run(3,
                    { { kCrash, 0, 0, 309 },
                      { kCrash, 1, 0, 362 },
                      { kCrash, 0, 0, 417 },
                      { FaultKind::kStart, 0, 0, 412 } }) == "");
}

const auto kNoCheck = [] {};

// A fleet that has settled, with the machines given.
std::unique_ptr<Schedule>
MakeSettled(size_t aMachines, size_t aDataCentres, uint32_t aSeed)
{
  auto schedule = std::make_unique<Schedule>(ScheduleOptions{
    .m_seed = aSeed, .m_machines = aMachines, .m_dataCentres = aDataCentres });
  for (size_t index = 0; index < aMachines; ++index) {
    schedule->Start(index);
  }
  schedule->RunUntil(Seconds(12), kNoCheck);
  return schedule;
}

InstanceState
StateSeenBy(const Machine& aWitness, const Machine& aTarget)
{
  const InstanceRecord* record =
    aWitness.m_membership->View().Find(aTarget.m_self.m_id);
  return record == nullptr ? InstanceState::kDead : record->m_state;
}

bool
AllSeeDead(const Schedule& aSchedule, const Machine& aTarget)
{
  return std::ranges::all_of(aSchedule.Machines(), [&](const auto& aMachine) {
    return !aMachine->m_up ||
           StateSeenBy(*aMachine, aTarget) == InstanceState::kDead;
  });
}

bool
HoldsLeaseNow(const Schedule& aSchedule, size_t aMachine)
{
  const Machine& machine = *aSchedule.Machines()[aMachine];
  return machine.m_membership->HoldsLease(aSchedule.LocalNow(machine));
}

uint32_t
TotalSlots(const Schedule& aSchedule, const Machine& aMachine)
{
  uint32_t slots = 0;
  for (const UpstreamId& upstream : aSchedule.Upstreams()) {
    slots += aSchedule.Slots(aMachine, upstream);
  }
  return slots;
}

DOCTEST_TEST_CASE("a crashed instance is dead to all within the bound and its "
                  "upstreams are owned again")
{
  DOCTEST_CHECK(rc::check([] {
    const auto machines = *rc::gen::inRange<size_t>(3, 9);
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const auto victim = *rc::gen::inRange<size_t>(0, machines);
    const auto schedule =
      MakeSettled(machines, *rc::gen::inRange<size_t>(1, 4), seed);
    schedule->Crash(victim);
    const MembershipSettings settings;
    // Clocks differ by up to 2%; a fleet this small spreads in a few rounds.
    const Duration judged =
      settings.m_lease + settings.m_margin + settings.m_heartbeat;
    const Duration bound = judged + judged / 50 + 2 * settings.m_heartbeat;
    schedule->RunUntil(schedule->Now() + bound, kNoCheck);
    RC_ASSERT(AllSeeDead(*schedule, *schedule->Machines()[victim]));
    schedule->RunUntil(schedule->Now() + Seconds(2), kNoCheck);
    RC_ASSERT(CountOwned(*schedule) == schedule->Upstreams().size());
  }));
}

DOCTEST_TEST_CASE("an instance that was paused past its lease does not act on "
                  "waking, takes a new incarnation and comes back")
{
  const auto schedule = MakeSettled(5, 3, 3);
  const Machine& paused = *schedule->Machines()[2];
  const BootId before = paused.m_membership->Self().m_incarnation;
  DOCTEST_REQUIRE(TotalSlots(*schedule, paused) > 0);
  schedule->Pause(2);
  // Before the lease is over the others must not have taken anything.
  schedule->RunUntil(schedule->Now() + Seconds(2), kNoCheck);
  DOCTEST_CHECK(FindOverlap(*schedule).empty());
  schedule->RunUntil(schedule->Now() + Seconds(8), kNoCheck);
  DOCTEST_CHECK(TotalSlots(*schedule, paused) == 0);
  DOCTEST_CHECK(CountOwned(*schedule) == schedule->Upstreams().size());
  schedule->Resume(2);
  DOCTEST_CHECK(TotalSlots(*schedule, paused) == 0);
  schedule->RunUntil(schedule->Now() + Seconds(6), kNoCheck);
  DOCTEST_CHECK(paused.m_membership->Self().m_incarnation > before);
  DOCTEST_CHECK(TotalSlots(*schedule, paused) > 0);
}

DOCTEST_TEST_CASE("of two instances whose link is cut neither acts, until the "
                  "link or the platform's list settles it")
{
  const auto schedule = MakeSettled(2, 1, 3);
  DOCTEST_REQUIRE(HoldsLeaseNow(*schedule, 0));
  schedule->Cut(0, 1);
  schedule->Cut(1, 0);
  schedule->RunUntil(schedule->Now() + Seconds(4), kNoCheck);
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*schedule, 0));
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*schedule, 1));
  schedule->RunUntil(schedule->Now() + Seconds(60), kNoCheck);
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*schedule, 0));
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*schedule, 1));
  schedule->Heal();
  schedule->RunUntil(schedule->Now() + Seconds(10), kNoCheck);
  DOCTEST_CHECK(HoldsLeaseNow(*schedule, 0));
  DOCTEST_CHECK(CountOwned(*schedule) == schedule->Upstreams().size());
  // One crashes: the other goes on once the list has dropped it.
  schedule->Crash(1);
  schedule->RunUntil(schedule->Now() + Seconds(30), kNoCheck);
  DOCTEST_CHECK(HoldsLeaseNow(*schedule, 0));
  DOCTEST_CHECK(CountOwned(*schedule) == schedule->Upstreams().size());
}

DOCTEST_TEST_CASE("an instance alone acts, and stops after a pause")
{
  const auto schedule = MakeSettled(1, 1, 3);
  DOCTEST_CHECK(HoldsLeaseNow(*schedule, 0));
  schedule->Pause(0);
  schedule->RunUntil(schedule->Now() + Seconds(4), kNoCheck);
  DOCTEST_CHECK_FALSE(HoldsLeaseNow(*schedule, 0));
}

DOCTEST_TEST_CASE(
  "a graceful stop hands every upstream over without a wait and "
  "without two holders")
{
  DOCTEST_CHECK(rc::check([] {
    const auto machines = *rc::gen::inRange<size_t>(3, 9);
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    const auto schedule =
      MakeSettled(machines, *rc::gen::inRange<size_t>(1, 4), seed);
    const auto leaving = *rc::gen::inRange<size_t>(0, machines);
    std::string broken;
    schedule->StopGracefully(leaving);
    schedule->RunUntil(schedule->Now() + Milliseconds(500), [&] {
      broken = broken.empty() ? FindOverlap(*schedule) : broken;
    });
    RC_ASSERT(broken.empty());
    RC_ASSERT(TotalSlots(*schedule, *schedule->Machines()[leaving]) == 0U);
    RC_ASSERT(CountOwned(*schedule) == schedule->Upstreams().size());
    schedule->RunUntil(schedule->Now() + Seconds(4), kNoCheck);
    RC_ASSERT(AllSeeDead(*schedule, *schedule->Machines()[leaving]));
  }));
}

DOCTEST_TEST_CASE(
  "regions that lose each other keep their leases and upstreams")
{
  Schedule schedule(ScheduleOptions{
    .m_seed = 3, .m_machines = 8, .m_dataCentres = 4, .m_regions = 2 });
  for (size_t index = 0; index < 8; ++index) {
    schedule.Start(index);
  }
  std::string broken;
  const auto check = [&] {
    broken = broken.empty() ? FindOverlap(schedule) : broken;
  };
  schedule.RunUntil(Seconds(12), check);
  for (size_t left = 0; left < 8; left += 2) {
    for (size_t right = 1; right < 8; right += 2) {
      schedule.Cut(left, right);
      schedule.Cut(right, left);
    }
  }
  for (int minute = 0; minute < 3; ++minute) {
    schedule.RunUntil(schedule.Now() + Seconds(60), check);
    DOCTEST_CHECK(CountOwned(schedule) == schedule.Upstreams().size());
    for (size_t index = 0; index < 8; ++index) {
      DOCTEST_CHECK(HoldsLeaseNow(schedule, index));
    }
  }
  schedule.Heal();
  schedule.RunUntil(schedule.Now() + Seconds(20), check);
  DOCTEST_CHECK(CountOwned(schedule) == schedule.Upstreams().size());
  DOCTEST_CHECK(broken == "");
}

DOCTEST_TEST_CASE("of three data centres one is lost: the rest goes on")
{
  const auto schedule = MakeSettled(9, 3, 4);
  for (size_t index = 0; index < 9; index += 3) {
    schedule->Crash(index);
  }
  schedule->RunUntil(schedule->Now() + Seconds(8), kNoCheck);
  for (size_t index = 0; index < 9; index += 3) {
    DOCTEST_CHECK(AllSeeDead(*schedule, *schedule->Machines()[index]));
  }
  for (const size_t index : { 1, 2, 4, 5, 7, 8 }) {
    DOCTEST_CHECK(HoldsLeaseNow(*schedule, index));
  }
  DOCTEST_CHECK(CountOwned(*schedule) == schedule->Upstreams().size());
}

DOCTEST_TEST_CASE("no message is larger than 8 KiB")
{
  constexpr size_t kLargestMessage = 8192;
  const auto schedule = MakeSettled(40, 3, 5);
  for (size_t index = 0; index < 40; index += 3) {
    schedule->Crash(index);
  }
  schedule->RunUntil(schedule->Now() + Seconds(10), kNoCheck);
  DOCTEST_MESSAGE("largest: ", schedule->LargestMessage());
  DOCTEST_CHECK(schedule->LargestMessage() < kLargestMessage);
}

} // namespace
} // namespace ebonykeel
