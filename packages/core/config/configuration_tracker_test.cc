#include "core/config/configuration_tracker.h"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "core/config/configuration_json.h"
#include "core/config/in_force_report.h"

namespace ebonykeel {
namespace {

const InstanceId kPeer("entry-02");
constexpr TimePoint kStart{};

template<typename Action>
std::vector<Action>
ActionsOfType(const ConfigurationActions& aActions)
{
  std::vector<Action> found;
  for (const ConfigurationAction& action : aActions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

ChangeResult
ToggleDataCentre(const Configuration& aCurrent, const std::string& aChangeId)
{
  DataCentre dataCentre("oviedo");
  bool out = aCurrent.m_withdrawnDataCentres.contains(dataCentre);
  return SetDataCentre(aCurrent,
                       dataCentre,
                       out ? AvailabilityChange::kRestore
                           : AvailabilityChange::kWithdraw,
                       { .m_author = "maite", .m_changeId = aChangeId },
                       { dataCentre });
}

// Returns the encoded configuration of generation `aGeneration`. Each
// generation up to it is one change with the id "c1", "c2" and so on.
std::string
EncodedGeneration(Generation aGeneration)
{
  Configuration configuration;
  while (configuration.m_generation < aGeneration) {
    std::string id = "c" + std::to_string(configuration.m_generation + 1);
    configuration = *ToggleDataCentre(configuration, id).m_next;
  }
  return EncodeConfiguration(configuration);
}

ChangeRequest
MakeRequest(uint64_t aRequest,
            const std::string& aChangeId,
            OnConflict aOnConflict = OnConflict::kReport)
{
  auto make = [aChangeId](const Configuration& aCurrent) {
    return ToggleDataCentre(aCurrent, aChangeId);
  };
  return { aRequest, aChangeId, make, std::nullopt, aOnConflict };
}

class TrackerHarness
{
public:
  TrackerHarness()
  {
    m_read = ActionsOfType<ReadStore>(m_tracker.Start(kStart)).at(0);
  }

  ConfigurationActions ReplyToCall(StoreToken aToken,
                                   StoreStatus aStatus,
                                   StoreVersion aVersion = 0,
                                   const std::string& aBody = "")
  {
    return m_tracker.OnStoreReply({ aToken, aStatus, aVersion, aBody }, m_now);
  }

  void LoadFromStore(Generation aGeneration)
  {
    (void)ReplyToCall(m_read.m_token,
                      StoreStatus::kOk,
                      aGeneration,
                      EncodedGeneration(aGeneration));
  }

  // Starts a change and returns its write of `config/current`.
  WriteStore StartWrite(const ChangeRequest& aRequest, Generation aBase)
  {
    auto read =
      ActionsOfType<ReadStore>(m_tracker.RequestChange(aRequest, m_now)).at(0);
    auto history = ActionsOfType<WriteStore>(ReplyToCall(
      read.m_token, StoreStatus::kOk, aBase, EncodedGeneration(aBase)));
    DOCTEST_CHECK(history.at(0).m_key == ConfigurationHistoryKey(aBase));
    return ActionsOfType<WriteStore>(
             ReplyToCall(history.at(0).m_token, StoreStatus::kOk, 90))
      .at(0);
  }

  // Advances until the tracker returns an action of this type, `aEnd` has
  // passed or too many timers have run. Returns all actions since the start.
  template<typename Action>
  ConfigurationActions AdvanceUntil(TimePoint aEnd)
  {
    ConfigurationActions all;
    constexpr int kMaxTimers = 1000;
    for (int i = 0; i < kMaxTimers && m_now < aEnd; ++i) {
      if (!ActionsOfType<Action>(all).empty()) {
        break;
      }
      std::ranges::move(AdvanceToNextTimer(), std::back_inserter(all));
    }
    return all;
  }

  // Advances to the next timer and runs it.
  ConfigurationActions AdvanceToNextTimer()
  {
    m_now = m_tracker.NextTimer().value();
    return m_tracker.OnTimer(m_now);
  }

  std::mt19937_64 m_random{ 5 };
  ConfigurationTracker m_tracker{ {}, m_random };
  ReadStore m_read;
  TimePoint m_now = kStart;
};

DOCTEST_TEST_CASE("with the store down a peer's configuration is used")
{
  TrackerHarness harness;
  (void)harness.ReplyToCall(harness.m_read.m_token, StoreStatus::kFailed);
  auto fetch = ActionsOfType<FetchFromPeer>(
    harness.m_tracker.OnPeerGeneration(kPeer, 3, kStart));
  DOCTEST_REQUIRE(fetch.size() == 1);
  DOCTEST_CHECK(fetch[0].m_peer == kPeer);
  auto actions =
    harness.m_tracker.OnPeerConfiguration(kPeer, EncodedGeneration(3), kStart);
  DOCTEST_CHECK(ActionsOfType<PutInForce>(actions).size() == 1);
  DOCTEST_CHECK(ActionsOfType<OfferToPeers>(actions).at(0).m_generation == 3);
  DOCTEST_CHECK(harness.m_tracker.InForceGeneration() == 3);
}

DOCTEST_TEST_CASE("a generation is fetched again only after a timeout")
{
  TrackerHarness harness;
  harness.LoadFromStore(1);
  auto fetches = [&](Generation aGeneration, Duration aAfter) {
    return ActionsOfType<FetchFromPeer>(harness.m_tracker.OnPeerGeneration(
                                          kPeer, aGeneration, kStart + aAfter))
      .size();
  };
  DOCTEST_CHECK(fetches(2, Milliseconds(0)) == 1);
  DOCTEST_CHECK(fetches(2, Milliseconds(10)) == 0);
  DOCTEST_CHECK(fetches(3, Milliseconds(20)) == 1);
  DOCTEST_CHECK(fetches(3, Milliseconds(1019)) == 0);
  DOCTEST_CHECK(fetches(3, Milliseconds(1020)) == 1);
}

DOCTEST_TEST_CASE("an older generation is never put in force")
{
  TrackerHarness harness;
  harness.LoadFromStore(5);
  DOCTEST_CHECK(ActionsOfType<FetchFromPeer>(
                  harness.m_tracker.OnPeerGeneration(kPeer, 4, kStart))
                  .empty());
  DOCTEST_CHECK(
    harness.m_tracker.OnPeerConfiguration(kPeer, EncodedGeneration(4), kStart)
      .empty());
  auto late = harness.ReplyToCall(
    harness.m_read.m_token, StoreStatus::kOk, 2, EncodedGeneration(2));
  DOCTEST_CHECK(ActionsOfType<PutInForce>(late).empty());
  DOCTEST_CHECK(ActionsOfType<ConfigurationProblem>(late).at(0).m_kind ==
                ConfigurationProblem::Kind::kStoreBehind);
  DOCTEST_CHECK(harness.m_tracker.InForceGeneration() == 5);
}

DOCTEST_TEST_CASE("invalid bytes never replace the configuration in force")
{
  TrackerHarness harness;
  harness.LoadFromStore(2);
  std::string cut = EncodedGeneration(3);
  cut.resize(cut.size() / 2);
  auto actions = harness.m_tracker.OnPeerConfiguration(kPeer, cut, kStart);
  DOCTEST_CHECK(ActionsOfType<ConfigurationProblem>(actions).size() == 1);
  auto watch =
    ActionsOfType<WatchStore>(harness.m_tracker.SetWatcher(true, kStart)).at(0);
  actions = harness.ReplyToCall(watch.m_token, StoreStatus::kOk, 7, "");
  DOCTEST_CHECK(ActionsOfType<ConfigurationProblem>(actions).size() == 1);
  DOCTEST_CHECK(harness.m_tracker.InForceGeneration() == 2);
  auto again = ActionsOfType<WatchStore>(harness.AdvanceToNextTimer()).at(0);
  DOCTEST_CHECK(again.m_version == 7);
  (void)harness.ReplyToCall(
    again.m_token, StoreStatus::kOk, 8, EncodedGeneration(3));
  DOCTEST_CHECK(harness.m_tracker.InForceGeneration() == 3);
}

DOCTEST_TEST_CASE("only watchers hold a watch, and the others read rarely")
{
  auto callsInTenMinutes = [](bool aWatcher) {
    TrackerHarness harness;
    harness.LoadFromStore(1);
    size_t reads = 0;
    size_t watches = 0;
    auto actions = harness.m_tracker.SetWatcher(aWatcher, kStart);
    while (harness.m_now < kStart + Seconds(600)) {
      for (const auto& read : ActionsOfType<ReadStore>(actions)) {
        ++reads;
        (void)harness.ReplyToCall(
          read.m_token, StoreStatus::kOk, 1, EncodedGeneration(1));
      }
      for (const auto& watch : ActionsOfType<WatchStore>(actions)) {
        ++watches;
        harness.m_now += Seconds(2);
        (void)harness.ReplyToCall(watch.m_token, StoreStatus::kUnchanged);
      }
      actions = harness.AdvanceToNextTimer();
    }
    return std::pair(reads, watches);
  };
  TrackerHarness former;
  former.LoadFromStore(1);
  (void)former.m_tracker.SetWatcher(true, kStart);
  DOCTEST_CHECK(former.m_tracker.SetWatcher(false, kStart).empty());
  DOCTEST_CHECK(former.m_tracker.NextTimer() >= kStart + Seconds(60));
  auto [reads, watches] = callsInTenMinutes(false);
  DOCTEST_CHECK(reads <= 10);
  DOCTEST_CHECK(watches == 0);
  DOCTEST_CHECK(callsInTenMinutes(true).second >= 290);
}

DOCTEST_TEST_CASE("a watch that ends without a change is renewed later")
{
  TrackerHarness harness;
  harness.LoadFromStore(1);
  auto watch =
    ActionsOfType<WatchStore>(harness.m_tracker.SetWatcher(true, kStart)).at(0);
  int watches = 0;
  while (harness.m_now < kStart + Seconds(10)) {
    (void)harness.ReplyToCall(
      watch.m_token, StoreStatus::kOk, 1, EncodedGeneration(1));
    watch = ActionsOfType<WatchStore>(harness.AdvanceToNextTimer()).at(0);
    ++watches;
  }
  DOCTEST_CHECK(watches < 25);
}

DOCTEST_TEST_CASE("a watch without a reply times out and is renewed")
{
  TrackerHarness harness;
  harness.LoadFromStore(1);
  auto watch =
    ActionsOfType<WatchStore>(harness.m_tracker.SetWatcher(true, kStart)).at(0);
  ConfigurationActions actions =
    harness.AdvanceUntil<WatchStore>(kStart + Seconds(60));
  DOCTEST_CHECK(harness.m_now <= kStart + Milliseconds(3200));
  DOCTEST_CHECK(ActionsOfType<WatchStore>(actions).at(0).m_token !=
                watch.m_token);
}

DOCTEST_TEST_CASE("an accepted change is in force at once on its instance")
{
  TrackerHarness harness;
  harness.LoadFromStore(1);
  WriteStore write = harness.StartWrite(MakeRequest(7, "mine"), 1);
  DOCTEST_CHECK(write.m_ifVersion == 1);
  auto actions = harness.ReplyToCall(write.m_token, StoreStatus::kOk, 2);
  DOCTEST_CHECK(ActionsOfType<PutInForce>(actions).size() == 1);
  ChangeReply reply = ActionsOfType<ChangeReply>(actions).at(0);
  DOCTEST_CHECK(reply.m_request == 7);
  DOCTEST_CHECK(reply.m_outcome == ChangeOutcome::kAccepted);
  DOCTEST_CHECK(reply.m_generation == 2);
}

DOCTEST_TEST_CASE("a change that conflicts is reported or applied again")
{
  for (OnConflict onConflict : { OnConflict::kReport, OnConflict::kReapply }) {
    TrackerHarness harness;
    harness.LoadFromStore(1);
    WriteStore write =
      harness.StartWrite(MakeRequest(7, "mine", onConflict), 1);
    auto read = ActionsOfType<ReadStore>(
      harness.ReplyToCall(write.m_token, StoreStatus::kConflict));
    auto actions = harness.ReplyToCall(
      read.at(0).m_token, StoreStatus::kOk, 2, EncodedGeneration(2));
    if (onConflict == OnConflict::kReport) {
      ChangeReply reply = ActionsOfType<ChangeReply>(actions).at(0);
      DOCTEST_CHECK(reply.m_outcome == ChangeOutcome::kConflict);
      DOCTEST_CHECK(reply.m_generation == 2);
    } else {
      DOCTEST_CHECK(ActionsOfType<WriteStore>(actions).at(0).m_key ==
                    ConfigurationHistoryKey(2));
    }
  }
}

DOCTEST_TEST_CASE("the outcome of a lost reply is read from the store")
{
  TrackerHarness harness;
  harness.LoadFromStore(1);
  WriteStore write = harness.StartWrite(MakeRequest(7, "mine"), 1);
  (void)harness.ReplyToCall(write.m_token, StoreStatus::kFailed);
  auto read = ActionsOfType<ReadStore>(harness.AdvanceToNextTimer()).at(0);
  // Another change has been accepted in the meantime.
  Configuration later =
    *ToggleDataCentre(*DecodeConfiguration(write.m_body), "theirs").m_next;
  auto actions = harness.ReplyToCall(
    read.m_token, StoreStatus::kOk, 9, EncodeConfiguration(later));
  ChangeReply reply = ActionsOfType<ChangeReply>(actions).at(0);
  DOCTEST_CHECK(reply.m_outcome == ChangeOutcome::kAccepted);
  DOCTEST_CHECK(reply.m_generation == 2);
  DOCTEST_CHECK(harness.m_tracker.InForceGeneration() == 3);
}

DOCTEST_TEST_CASE("a change whose last write has no reply ends as unknown")
{
  TrackerHarness harness;
  harness.LoadFromStore(1);
  (void)harness.StartWrite(MakeRequest(7, "mine"), 1);
  auto replies = ActionsOfType<ChangeReply>(
    harness.AdvanceUntil<ChangeReply>(kStart + Seconds(60)));
  DOCTEST_CHECK(replies.at(0).m_outcome == ChangeOutcome::kUnknown);
  DOCTEST_CHECK(harness.m_now <= kStart + Seconds(8));
}

DOCTEST_TEST_CASE("with the store down a change ends as not written")
{
  TrackerHarness harness;
  harness.LoadFromStore(1);
  (void)harness.m_tracker.RequestChange(MakeRequest(7, "mine"), harness.m_now);
  ConfigurationActions actions =
    harness.AdvanceUntil<ChangeReply>(kStart + Seconds(60));
  DOCTEST_CHECK(ActionsOfType<WriteStore>(actions).empty());
  DOCTEST_CHECK(ActionsOfType<ChangeReply>(actions).at(0).m_outcome ==
                ChangeOutcome::kStoreUnreachable);
}

DOCTEST_TEST_CASE("a change with a stale base or a known id is not written")
{
  TrackerHarness harness;
  harness.LoadFromStore(3);
  ChangeRequest stale = MakeRequest(7, "mine");
  stale.m_baseGeneration = 2;
  auto read =
    ActionsOfType<ReadStore>(harness.m_tracker.RequestChange(stale, kStart))
      .at(0);
  auto actions = harness.ReplyToCall(
    read.m_token, StoreStatus::kOk, 3, EncodedGeneration(3));
  DOCTEST_CHECK(ActionsOfType<ChangeReply>(actions).at(0).m_outcome ==
                ChangeOutcome::kConflict);
  read = ActionsOfType<ReadStore>(
           harness.m_tracker.RequestChange(MakeRequest(8, "c2"), kStart))
           .at(0);
  actions = harness.ReplyToCall(
    read.m_token, StoreStatus::kOk, 3, EncodedGeneration(3));
  DOCTEST_CHECK(ActionsOfType<ChangeReply>(actions).at(0).m_generation == 2);
  DOCTEST_CHECK(ActionsOfType<WriteStore>(actions).empty());
}

DOCTEST_TEST_CASE("a report lists instances that lack an accepted change")
{
  std::vector<InstanceGeneration> instances{
    { InstanceId("c"), 4 },       { InstanceId("b"), 3 },
    { InstanceId("a"), 2 },       { InstanceId("d"), 5 },
    { InstanceId("e"), 1, true },
  };
  InForceReport report = ReportInForce(4, instances);
  DOCTEST_CHECK(FormatInForce(report) == "in force on 2 of 4, missing: a, b");
  DOCTEST_CHECK(!report.Everywhere());
  DOCTEST_CHECK(FormatInForce(ReportInForce(2, instances)) ==
                "in force on 4 of 4");
}

} // namespace
} // namespace ebonykeel
