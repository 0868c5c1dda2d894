#include "core/rollout/rollout_coordinator.h"

#include <utility>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
const std::string kSelf = "10.0.0.1";
const std::string kOther = "10.0.0.2";

RolloutEntry
Entry(RolloutState aState,
      StorePosition aPosition,
      const std::string& aTarget = "v2")
{
  return { .m_order = { .m_service = "s",
                        .m_targetVersion = aTarget,
                        .m_duration = Seconds(40) },
           .m_state = aState,
           .m_position = aPosition };
}

RolloutReport
Report(StorePosition aPosition)
{
  return { .m_service = "s",
           .m_targetVersion = "v2",
           .m_position = aPosition,
           .m_processStart = 1,
           .m_sequence = 1,
           .m_requests = 5 };
}

struct Fixture final : RolloutPort
{
  void SendReport(const std::string& /*aHost*/,
                  const RolloutReport& /*aReport*/) override
  {
  }
  void SendAnnouncement(const std::string& /*aHost*/,
                        const RolloutAnnouncement& /*aAnnouncement*/) override
  {
  }
  void CallStore(const std::string& /*aService*/,
                 const RolloutCall& aCall) override
  {
    m_call = aCall;
  }
  [[nodiscard]] bool HasTarget(const RolloutOrder& /*aOrder*/) const override
  {
    return true;
  }
  void OnStageChanged(const RolloutController& /*aController*/,
                      RolloutStage /*aBefore*/,
                      TimePoint /*aNow*/) override
  {
  }

  // Lets the coordinator act after 100 ms; returns the call that it makes.
  std::optional<RolloutCall> Tick()
  {
    m_now += Milliseconds(100);
    m_coordinator.OnTimer({ .m_controller = kSelf,
                            .m_liveHosts = { kSelf, kOther },
                            .m_storeEra = m_storeEra },
                          m_now);
    return std::exchange(m_call, std::nullopt);
  }
  void Set(const RolloutEntry& aEntry)
  {
    m_coordinator.SetEntry(aEntry, m_now);
  }
  void Answer(const std::optional<RolloutEntry>& aEntry, bool aIsWritten)
  {
    m_coordinator.OnCallAnswered("s", aEntry, aIsWritten, m_now);
  }
  [[nodiscard]] const RolloutEntry& Known() const
  {
    return m_chooser.Find("s")->Entry();
  }
  [[nodiscard]] const ReportCollector& Reports() const
  {
    return m_coordinator.FindController("s")->Reports();
  }

  TimePoint m_now = kStart;
  uint64_t m_storeEra = 1;
  std::optional<RolloutCall> m_call;
  VersionChooser m_chooser{ {} };
  RolloutCoordinator m_coordinator{ m_chooser, { .m_host = kSelf }, *this };
};

// Guards against an order that counts as older because the store, back from a
// copy, gives revisions out again.
DOCTEST_TEST_CASE("an entry of a later era with a lower revision replaces")
{
  Fixture fixture;
  fixture.Set(Entry(RolloutState::kRunning, { 1, 120 }));
  fixture.Set(Entry(RolloutState::kOrdered, { 2, 105 }, "v3"));
  DOCTEST_CHECK(fixture.Known().m_order.m_targetVersion == "v3");
  DOCTEST_CHECK(fixture.Known().m_state == RolloutState::kOrdered);
  fixture.Set(Entry(RolloutState::kRunning, { 1, 130 }));
  DOCTEST_CHECK(fixture.Known().m_order.m_targetVersion == "v3");
}

// Guards against answers of an earlier order that count for the present one.
DOCTEST_TEST_CASE("a late report of the old era does not count")
{
  Fixture fixture;
  fixture.Set(Entry(RolloutState::kRunning, { 1, 120 }));
  DOCTEST_CHECK(fixture.m_coordinator.RemoveEntry("s", { 2, 101 }));
  fixture.Set(Entry(RolloutState::kOrdered, { 2, 105 }));
  (void)fixture.Tick();
  fixture.m_coordinator.OnReport(kOther, Report({ 1, 118 }), fixture.m_now);
  DOCTEST_CHECK(fixture.Reports().Requests() == 0);
  fixture.m_coordinator.OnReport(kOther, Report({ 2, 105 }), fixture.m_now);
  DOCTEST_CHECK(fixture.Reports().Requests() == 5);
}

// Guards against a condition that holds by accident, since the revision was
// given out again.
DOCTEST_TEST_CASE("nothing is written under a revision of an old era")
{
  Fixture fixture;
  fixture.Set(Entry(RolloutState::kOrdered, { 1, 120 }));
  DOCTEST_SUBCASE("the feeds have entered a later era")
  {
    fixture.m_storeEra = 2;
  }
  DOCTEST_SUBCASE("another instance has seen an entry of a later era")
  {
    RolloutReport report = Report({ 2, 3 });
    report.m_service = "another";
    fixture.m_coordinator.OnReport(kOther, report, fixture.m_now);
  }
  auto call = fixture.Tick();
  DOCTEST_REQUIRE(call.has_value());
  DOCTEST_CHECK_FALSE(call->m_write.has_value());
  // A late answer of the old era is no statement of the new one.
  fixture.Answer(Entry(RolloutState::kOrdered, { 1, 120 }), false);
  call = fixture.Tick();
  DOCTEST_REQUIRE(call.has_value());
  DOCTEST_CHECK_FALSE(call->m_write.has_value());
  fixture.Answer(Entry(RolloutState::kOrdered, { 2, 105 }), false);
  call = fixture.Tick();
  DOCTEST_REQUIRE(call.has_value());
  DOCTEST_CHECK(call->m_write == RolloutState::kRunning);
  DOCTEST_CHECK(call->m_position == StorePosition{ 2, 105 });
}

// Guards against one false, greater number in an answer, after which every
// true statement would look older.
DOCTEST_TEST_CASE("an answer of an era that the feeds do not know is ignored")
{
  Fixture fixture;
  fixture.Set(Entry(RolloutState::kOrdered, { 1, 120 }));
  DOCTEST_CHECK(fixture.Tick()->m_write == RolloutState::kRunning);
  fixture.Answer(Entry(RolloutState::kOrdered, { 99, 105 }, "v3"), false);
  DOCTEST_CHECK(fixture.Known().m_position == StorePosition{ 1, 120 });
  // The entry is read again, after a delay.
  DOCTEST_CHECK_FALSE(fixture.Tick().has_value());
  fixture.m_now += Milliseconds(500);
  auto call = fixture.Tick();
  DOCTEST_REQUIRE(call.has_value());
  DOCTEST_CHECK_FALSE(call->m_write.has_value());
}

// Guards against requests to a version that was found bad, and an order that
// begins anew, because the store lost the state.
DOCTEST_TEST_CASE("a state that the restored store lacks is written again")
{
  for (RolloutState state : { RolloutState::kRunning,
                              RolloutState::kCompleted,
                              RolloutState::kRolledBack }) {
    Fixture fixture;
    fixture.m_storeEra = 2;
    fixture.Set(Entry(state, { 1, 120 }));
    fixture.m_now += Seconds(20);
    (void)fixture.Tick();
    fixture.Set(Entry(RolloutState::kOrdered, { 2, 105 }));
    // An entry that an operator writes again.
    fixture.Set(Entry(RolloutState::kOrdered, { 2, 107 }));
    DOCTEST_CHECK(fixture.Known().m_state == state);
    DOCTEST_CHECK(fixture.m_chooser.Find("s")->SeenAt() == kStart);
    auto call = fixture.Tick();
    DOCTEST_REQUIRE(call.has_value());
    DOCTEST_CHECK(call->m_write == state);
    DOCTEST_CHECK(call->m_position == StorePosition{ 2, 107 });
    fixture.Answer(Entry(state, { 2, 108 }), true);
    DOCTEST_CHECK_FALSE(fixture.Tick().has_value());
    // In the same era an earlier state shows a new order.
    fixture.Set(Entry(RolloutState::kOrdered, { 2, 111 }));
    DOCTEST_CHECK(fixture.Known().m_state == RolloutState::kOrdered);
  }
}

// Guards against an order that ends at once because the copy lacks its entry:
// the feed retains it until it is written again.
DOCTEST_TEST_CASE("an order ends when the feed states its removal")
{
  Fixture fixture;
  fixture.Set(Entry(RolloutState::kOrdered, { 1, 120 }));
  fixture.m_storeEra = 2;
  DOCTEST_CHECK(fixture.Tick().has_value());
  fixture.Answer(std::nullopt, false);
  DOCTEST_REQUIRE(fixture.m_chooser.Find("s") != nullptr);
  // The store is asked again, after a delay.
  DOCTEST_CHECK_FALSE(fixture.Tick().has_value());
  fixture.m_now += Milliseconds(500);
  auto call = fixture.Tick();
  DOCTEST_REQUIRE(call.has_value());
  DOCTEST_CHECK_FALSE(call->m_write.has_value());
  fixture.Answer(Entry(RolloutState::kOrdered, { 2, 105 }), false);
  DOCTEST_CHECK_FALSE(fixture.m_coordinator.RemoveEntry("s", { 2, 101 }));
  DOCTEST_CHECK(fixture.m_chooser.Find("s") != nullptr);
  DOCTEST_CHECK(fixture.m_coordinator.RemoveEntry("s", { 2, 106 }));
  DOCTEST_CHECK(fixture.m_chooser.Find("s") == nullptr);
}

} // namespace
} // namespace ebonykeel
