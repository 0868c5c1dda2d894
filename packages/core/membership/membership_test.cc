#include "core/membership/membership.h"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

InstanceRecord
MakeRecord(std::string_view aId, BootId aIncarnation)
{
  return { .m_id = InstanceId(aId),
           .m_incarnation = aIncarnation,
           .m_peerAddress = absl::StrCat(std::string(aId), ":1"),
           .m_dataCentre = DataCentre("oviedo"),
           .m_region = Region("north"),
           .m_state = InstanceState::kActive,
           .m_sequence = 5 };
}

// Returns a message that the instance of `aRecord` sends with its record.
Gossip
MessageOf(const InstanceRecord& aRecord)
{
  return { .m_sender = { aRecord.m_id, aRecord.m_incarnation },
           .m_senderSequence = aRecord.m_sequence,
           .m_senderState = aRecord.m_state,
           .m_records = { aRecord } };
}

// Returns the acknowledgement, by the instance of `aRecord`, of a ping that
// `aMembership` has just sent.
Gossip
AckFrom(const InstanceRecord& aRecord, const Membership& aMembership)
{
  Gossip ack = MessageOf(aRecord);
  ack.m_ackedIncarnation = aMembership.Self().m_incarnation;
  ack.m_knownSequence = aMembership.Self().m_sequence;
  ack.m_knownEpoch = aMembership.Self().m_monitorEpoch;
  return ack;
}

// Instance "a", which holds its lease with the monitors "b" and "c".
struct MonitoredInstance
{
  std::mt19937_64 m_random{ 1 };
  InstanceRecord m_b = MakeRecord("b", 10);
  InstanceRecord m_c = MakeRecord("c", 20);
  Membership m_a{ MembershipSettings(), MakeRecord("a", 30), m_random, kStart };

  MonitoredInstance()
  {
    ReceiveRecord(m_b);
    ReceiveRecord(m_c);
    Tick(kStart);
    Ack(m_b, kStart, kStart);
    Ack(m_c, kStart, kStart);
  }

  void ReceiveRecord(const InstanceRecord& aRecord)
  {
    static_cast<void>(m_a.OnPing(MessageOf(aRecord), kStart));
  }
  void Tick(TimePoint aNow) { static_cast<void>(m_a.Tick(aNow)); }
  void Ack(const InstanceRecord& aFrom, TimePoint aSentAt, TimePoint aNow)
  {
    m_a.OnAck(aFrom.m_id, aSentAt, AckFrom(aFrom, m_a), aNow);
  }
};

DOCTEST_TEST_CASE(
  "a quorum for the lease and one for a death have a monitor in "
  "common")
{
  for (size_t monitors = 1; monitors <= 9; ++monitors) {
    DOCTEST_CHECK(LeaseQuorum(monitors) >= 1);
    DOCTEST_CHECK(LeaseQuorum(monitors) + DeathQuorum(monitors) > monitors);
    DOCTEST_CHECK(DeathQuorum(monitors) <= monitors);
  }
  DOCTEST_CHECK(LeaseQuorum(0) == 0);
}

DOCTEST_TEST_CASE("the lease counts from the sending of the ping, not from its "
                  "acknowledgement")
{
  MonitoredInstance fixture;
  DOCTEST_REQUIRE(fixture.m_a.HoldsLease(kStart));
  const TimePoint sentAt = kStart + Seconds(1);
  const TimePoint ackedAt = kStart + Milliseconds(2900);
  fixture.Tick(sentAt);
  fixture.Ack(fixture.m_b, sentAt, ackedAt);
  const TimePoint end = sentAt + MembershipSettings().m_lease;
  DOCTEST_CHECK(fixture.m_a.LeaseUntil() == end);
  DOCTEST_CHECK(fixture.m_a.HoldsLease(end - Milliseconds(1)));
  DOCTEST_CHECK_FALSE(fixture.m_a.HoldsLease(end));
}

DOCTEST_TEST_CASE("an instance takes a new incarnation when its lease expires, "
                  "and acknowledgements of the old one grant no lease")
{
  MonitoredInstance fixture;
  const BootId before = fixture.m_a.Self().m_incarnation;
  const Gossip late = AckFrom(fixture.m_b, fixture.m_a);
  const TimePoint resumedAt = kStart + Seconds(20);
  DOCTEST_CHECK_FALSE(fixture.m_a.HoldsLease(resumedAt));
  fixture.m_a.OnAck(
    fixture.m_b.m_id, resumedAt - Milliseconds(1), late, resumedAt);
  DOCTEST_CHECK(fixture.m_a.Self().m_incarnation > before);
  DOCTEST_CHECK(fixture.m_a.Self().m_state == InstanceState::kJoining);
  DOCTEST_CHECK_FALSE(fixture.m_a.HoldsLease(resumedAt));
  DOCTEST_CHECK(fixture.m_a.CurrentLease().m_until == TimePoint::min());
}

DOCTEST_TEST_CASE("acknowledgements of a monitor that suspects the instance do "
                  "not extend its lease")
{
  MonitoredInstance fixture;
  const TimePoint now = kStart + Seconds(1);
  for (const InstanceRecord* monitor : { &fixture.m_b, &fixture.m_c }) {
    Gossip ack = AckFrom(*monitor, fixture.m_a);
    ack.m_suspectedEpoch = fixture.m_a.Self().m_monitorEpoch;
    fixture.m_a.OnAck(monitor->m_id, now, ack, now);
  }
  DOCTEST_CHECK(fixture.m_a.LeaseUntil() <=
                kStart + MembershipSettings().m_lease);
}

DOCTEST_TEST_CASE("an instance takes a higher incarnation when it receives its "
                  "own record as dead or superseded")
{
  MonitoredInstance fixture;
  InstanceRecord conflictingRecord = fixture.m_a.Self();
  conflictingRecord.m_incarnation += 7;
  Gossip message = MessageOf(fixture.m_b);
  message.m_records.push_back(conflictingRecord);
  static_cast<void>(fixture.m_a.OnPing(message, kStart));
  DOCTEST_CHECK(fixture.m_a.Self().m_incarnation >
                conflictingRecord.m_incarnation);
  const BootId before = fixture.m_a.Self().m_incarnation;
  conflictingRecord = fixture.m_a.Self();
  conflictingRecord.m_state = InstanceState::kDead;
  message.m_records = { conflictingRecord };
  static_cast<void>(fixture.m_a.OnPing(message, kStart));
  DOCTEST_CHECK(fixture.m_a.Self().m_incarnation > before);
  DOCTEST_CHECK_FALSE(fixture.m_a.HoldsLease(kStart));
}

DOCTEST_TEST_CASE("a dead instance becomes active with a new incarnation, not "
                  "with stale gossip")
{
  MonitoredInstance fixture;
  const auto stateOfC = [&] {
    return fixture.m_a.View().Find(InstanceId("c"))->m_state;
  };
  InstanceRecord dead = fixture.m_c;
  dead.m_state = InstanceState::kDead;
  fixture.ReceiveRecord(dead);
  DOCTEST_CHECK(stateOfC() == InstanceState::kDead);
  InstanceRecord stale = fixture.m_c;
  stale.m_sequence += 100;
  fixture.ReceiveRecord(stale);
  DOCTEST_CHECK(stateOfC() == InstanceState::kDead);
  InstanceRecord rejoined = fixture.m_c;
  ++rejoined.m_incarnation;
  fixture.ReceiveRecord(rejoined);
  DOCTEST_CHECK(stateOfC() == InstanceState::kActive);
}

DOCTEST_TEST_CASE("dead records are removed after the retention time, and only "
                  "when the platform's list does not name them")
{
  MonitoredInstance fixture;
  InstanceRecord dead = fixture.m_c;
  dead.m_state = InstanceState::kDead;
  fixture.ReceiveRecord(dead);
  const std::vector<ListedInstance> listed{ { .m_id = dead.m_id,
                                              .m_region = dead.m_region } };
  const TimePoint later = kStart + MembershipSettings().m_deadRetention;
  fixture.m_a.OnInstanceList({}, later - Seconds(1));
  DOCTEST_CHECK(fixture.m_a.View().Find(dead.m_id) != nullptr);
  fixture.m_a.OnInstanceList(listed, later);
  DOCTEST_CHECK(fixture.m_a.View().Find(dead.m_id) != nullptr);
  fixture.m_a.OnInstanceList({}, later);
  DOCTEST_CHECK(fixture.m_a.View().Find(dead.m_id) == nullptr);
}

DOCTEST_TEST_CASE("the view's version increases with changes of members only")
{
  MonitoredInstance fixture;
  const uint64_t before = fixture.m_a.View().m_version;
  fixture.m_a.SetLoad(0.5F);
  fixture.m_a.SetGeneration(4);
  Gossip message = MessageOf(fixture.m_b);
  message.m_statusSequence = 9;
  message.m_generation = 6;
  message.m_load = 0.7F;
  static_cast<void>(fixture.m_a.OnPing(message, kStart));
  DOCTEST_CHECK(fixture.m_a.View().m_version == before);
  DOCTEST_CHECK(fixture.m_a.View().Find(fixture.m_b.m_id)->m_generation == 6);
  DOCTEST_CHECK(fixture.m_a.FindNewestGeneration().m_generation == 6);
  DOCTEST_CHECK(fixture.m_a.FindNewestGeneration().m_source ==
                fixture.m_b.m_id);
  InstanceRecord leaving = fixture.m_b;
  leaving.m_state = InstanceState::kLeaving;
  ++leaving.m_sequence;
  fixture.ReceiveRecord(leaving);
  DOCTEST_CHECK(fixture.m_a.View().m_version > before);
}

DOCTEST_TEST_CASE("an instance runs alone only after the join delay and a list "
                  "that names no other one of its region")
{
  std::mt19937_64 random(1);
  const MembershipSettings settings;
  const std::vector<ListedInstance> other{ { .m_id = InstanceId("b"),
                                             .m_region = Region("north") } };
  const TimePoint joinDelayOver = kStart + settings.m_joinDelay;
  Membership withoutList(settings, MakeRecord("a", 1), random, kStart);
  static_cast<void>(withoutList.Tick(joinDelayOver));
  DOCTEST_CHECK_FALSE(withoutList.HoldsLease(joinDelayOver));
  Membership notAlone(settings, MakeRecord("a", 1), random, kStart);
  notAlone.OnInstanceList(other, joinDelayOver);
  static_cast<void>(notAlone.Tick(joinDelayOver));
  DOCTEST_CHECK_FALSE(notAlone.HoldsLease(joinDelayOver));
  Membership alone(settings, MakeRecord("a", 1), random, kStart);
  alone.OnInstanceList({}, joinDelayOver - Seconds(1));
  static_cast<void>(alone.Tick(joinDelayOver - Seconds(1)));
  DOCTEST_CHECK_FALSE(alone.HoldsLease(joinDelayOver - Seconds(1)));
  static_cast<void>(alone.Tick(joinDelayOver));
  DOCTEST_CHECK(alone.HoldsLease(joinDelayOver));
}

DOCTEST_TEST_CASE("monitors are in three data centres if there are that many")
{
  std::mt19937_64 random(1);
  Membership membership(
    MembershipSettings(), MakeRecord("a", 1), random, kStart);
  for (int index = 0; index < 12; ++index) {
    InstanceRecord record = MakeRecord(absl::StrCat("b", index), 1);
    record.m_dataCentre = DataCentre(absl::StrCat("dc", index % 4));
    static_cast<void>(membership.OnPing(MessageOf(record), kStart));
  }
  static_cast<void>(membership.Tick(kStart));
  std::vector<DataCentre> dataCentres;
  for (const InstanceRef& monitor : membership.Self().m_monitors) {
    dataCentres.push_back(membership.View().Find(monitor.m_id)->m_dataCentre);
  }
  std::ranges::sort(dataCentres);
  DOCTEST_CHECK(dataCentres.size() == 3);
  DOCTEST_CHECK(std::ranges::adjacent_find(dataCentres) == dataCentres.end());
}

// Returns the record of a target "t" with the monitors "x", "y" and "z".
InstanceRecord
MakeWatched()
{
  InstanceRecord target = MakeRecord("t", 50);
  target.m_monitorEpoch = 2;
  target.m_monitors = { { InstanceId("x"), 1 },
                        { InstanceId("y"), 1 },
                        { InstanceId("z"), 1 } };
  return target;
}

// Returns the state of the target in the view of "a" after "a" has received
// votes by these monitors for the given epochs.
InstanceState
StateAfterVotes(const InstanceRecord& aTarget,
                const std::vector<std::string_view>& aVoters,
                uint32_t aFromEpoch,
                uint32_t aToEpoch)
{
  MonitoredInstance fixture;
  for (const char* name : { "x", "y", "z", "w" }) {
    fixture.ReceiveRecord(MakeRecord(name, 1));
  }
  fixture.ReceiveRecord(aTarget);
  Gossip message = MessageOf(fixture.m_b);
  for (const std::string_view voter : aVoters) {
    message.m_suspicions.push_back(
      { .m_monitor = { InstanceId(voter), 1 },
        .m_target = { aTarget.m_id, aTarget.m_incarnation },
        .m_fromEpoch = aFromEpoch,
        .m_toEpoch = aToEpoch });
  }
  static_cast<void>(fixture.m_a.OnPing(message, kStart));
  return fixture.m_a.View().Find(aTarget.m_id)->m_state;
}

DOCTEST_TEST_CASE(
  "a death needs votes of a quorum of the target's monitors, for "
  "the epoch of that set")
{
  const InstanceRecord target = MakeWatched();
  const auto kActive = InstanceState::kActive;
  const auto kDead = InstanceState::kDead;
  DOCTEST_CHECK(StateAfterVotes(target, { "x" }, 2, 2) == kActive);
  DOCTEST_CHECK(StateAfterVotes(target, { "x", "w" }, 2, 2) == kActive);
  DOCTEST_CHECK(StateAfterVotes(target, { "x", "y" }, 1, 1) == kActive);
  DOCTEST_CHECK(StateAfterVotes(target, { "x", "y" }, 3, 3) == kActive);
  DOCTEST_CHECK(StateAfterVotes(target, { "x", "y" }, 1, 2) == kDead);
  DOCTEST_CHECK(StateAfterVotes(target, { "x", "y" }, 2, 3) == kDead);
  InstanceRecord joining = target;
  joining.m_state = InstanceState::kJoining;
  DOCTEST_CHECK(StateAfterVotes(joining, { "x", "y", "z" }, 2, 2) ==
                InstanceState::kJoining);
  InstanceRecord changing = target;
  changing.m_monitorEpoch = 3;
  changing.m_changingMonitors = true;
  changing.m_previousMonitors = target.m_monitors;
  changing.m_monitors = { { InstanceId("w"), 1 }, { InstanceId("z"), 1 } };
  DOCTEST_CHECK(StateAfterVotes(changing, { "x", "y" }, 2, 2) == kDead);
  DOCTEST_CHECK(StateAfterVotes(changing, { "w" }, 3, 3) == kActive);
  changing.m_changingMonitors = false;
  DOCTEST_CHECK(StateAfterVotes(changing, { "x", "y" }, 2, 2) == kActive);
}

DOCTEST_TEST_CASE("during a change of monitors the lease needs the old set, "
                  "until a quorum of it has acknowledged the new one")
{
  MonitoredInstance fixture;
  const auto ack = [&](const InstanceRecord& aFrom, TimePoint aAt) {
    fixture.Tick(aAt);
    fixture.Ack(aFrom, aAt, aAt);
  };
  const InstanceRecord added = MakeRecord("d", 40);
  InstanceRecord left = fixture.m_c;
  left.m_state = InstanceState::kLeaving;
  ++left.m_sequence;
  Gossip both = MessageOf(added);
  both.m_records.push_back(left);
  static_cast<void>(fixture.m_a.OnPing(both, kStart));
  DOCTEST_REQUIRE(fixture.m_a.Self().m_changingMonitors);
  const TimePoint before = fixture.m_a.LeaseUntil();
  ack(added, kStart + Seconds(2));
  DOCTEST_CHECK(fixture.m_a.LeaseUntil() == before);
  DOCTEST_CHECK(fixture.m_a.Self().m_changingMonitors);
  ack(left, kStart + Milliseconds(2500));
  DOCTEST_CHECK_FALSE(fixture.m_a.Self().m_changingMonitors);
  DOCTEST_CHECK(fixture.m_a.LeaseUntil() > before);
}

DOCTEST_TEST_CASE("a monitor that voted grants no lease under the same epoch, "
                  "and grants one again under a later epoch")
{
  MonitoredInstance fixture;
  InstanceRecord target = MakeRecord("t", 50);
  target.m_monitorEpoch = 1;
  target.m_monitors = { { InstanceId("a"), fixture.m_a.Self().m_incarnation },
                        { InstanceId("x"), 1 } };
  fixture.ReceiveRecord(target);
  const MembershipSettings settings;
  TimePoint now = kStart;
  const TimePoint votedAt = kStart + settings.m_lease + settings.m_margin;
  while (now < votedAt) {
    now += Milliseconds(500);
    fixture.Tick(now);
    fixture.Ack(fixture.m_b, now, now);
    fixture.Ack(fixture.m_c, now, now);
    DOCTEST_CHECK(fixture.m_a.HoldsLease(now));
    DOCTEST_CHECK(fixture.m_a.IsSuspected(target.m_id) == (now >= votedAt));
  }
  const Gossip refused = fixture.m_a.OnPing(MessageOf(target), now);
  DOCTEST_CHECK(refused.m_suspectedEpoch == 1);
  ++target.m_monitorEpoch;
  ++target.m_sequence;
  const Gossip granted = fixture.m_a.OnPing(MessageOf(target), now);
  DOCTEST_CHECK(granted.m_knownEpoch == 2);
  DOCTEST_CHECK(granted.m_suspectedEpoch < 2);
  DOCTEST_CHECK_FALSE(fixture.m_a.IsSuspected(target.m_id));
}

} // namespace
} // namespace ebonykeel
