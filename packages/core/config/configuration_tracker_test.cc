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
Only(const ConfigurationActions& aActions)
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
Toggle(const Configuration& aCurrent, const std::string& aChangeId)
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

// Returns the body of generation `aGeneration`, made by one change after the
// other.
std::string
Body(Generation aGeneration)
{
  Configuration configuration;
  while (configuration.m_generation < aGeneration) {
    std::string id = "c" + std::to_string(configuration.m_generation + 1);
    configuration = *Toggle(configuration, id).m_next;
  }
  return EncodeConfiguration(configuration);
}

ChangeRequest
Request(uint64_t aRequest,
        const std::string& aChangeId,
        OnConflict aOnConflict = OnConflict::kReport)
{
  auto make = [aChangeId](const Configuration& aCurrent) {
    return Toggle(aCurrent, aChangeId);
  };
  return { aRequest, aChangeId, make, std::nullopt, aOnConflict };
}

class Bench
{
public:
  Bench() { m_read = Only<ReadStore>(m_tracker.Start(kStart)).at(0); }

  ConfigurationActions Answer(StoreToken aToken,
                              StoreStatus aStatus,
                              StoreVersion aVersion = 0,
                              const std::string& aBody = "")
  {
    return m_tracker.OnStoreReply({ aToken, aStatus, aVersion, aBody }, m_now);
  }

  void Boot(Generation aGeneration)
  {
    (void)Answer(
      m_read.m_token, StoreStatus::kOk, aGeneration, Body(aGeneration));
  }

  // Starts a change up to the write of `config/current`.
  WriteStore StartWrite(const ChangeRequest& aRequest, Generation aBase)
  {
    auto read = Only<ReadStore>(m_tracker.RequestChange(aRequest, m_now)).at(0);
    auto keep = Only<WriteStore>(
      Answer(read.m_token, StoreStatus::kOk, aBase, Body(aBase)));
    DOCTEST_CHECK(keep.at(0).m_key == ConfigurationHistoryKey(aBase));
    return Only<WriteStore>(Answer(keep.at(0).m_token, StoreStatus::kOk, 90))
      .at(0);
  }

  // Advances until an action of this type is asked for, and returns all that
  // were asked for on the way. Returns too when `aEnd` has passed or after too
  // many turns.
  template<typename Action>
  ConfigurationActions TickUntil(TimePoint aEnd)
  {
    ConfigurationActions all;
    constexpr int kMaxTurns = 1000;
    for (int i = 0; i < kMaxTurns && m_now < aEnd; ++i) {
      if (!Only<Action>(all).empty()) {
        break;
      }
      std::ranges::move(Tick(), std::back_inserter(all));
    }
    return all;
  }

  // Advances to the next timer.
  ConfigurationActions Tick()
  {
    m_now = m_tracker.NextTimer().value();
    return m_tracker.OnTimer(m_now);
  }

  std::mt19937_64 m_random{ 5 };
  ConfigurationTracker m_tracker{ {}, m_random };
  ReadStore m_read;
  TimePoint m_now = kStart;
};

DOCTEST_TEST_CASE("with the store down a peer's configuration is taken")
{
  Bench bench;
  (void)bench.Answer(bench.m_read.m_token, StoreStatus::kFailed);
  auto fetch =
    Only<FetchFromPeer>(bench.m_tracker.OnPeerGeneration(kPeer, 3, kStart));
  DOCTEST_REQUIRE(fetch.size() == 1);
  DOCTEST_CHECK(fetch[0].m_peer == kPeer);
  auto actions = bench.m_tracker.OnPeerConfiguration(kPeer, Body(3), kStart);
  DOCTEST_CHECK(Only<PutInForce>(actions).size() == 1);
  DOCTEST_CHECK(Only<OfferToPeers>(actions).at(0).m_generation == 3);
  DOCTEST_CHECK(bench.m_tracker.InForceGeneration() == 3);
}

DOCTEST_TEST_CASE("a generation is asked for once until the peer is silent")
{
  Bench bench;
  bench.Boot(1);
  auto fetches = [&](Generation aGeneration, Duration aAfter) {
    return Only<FetchFromPeer>(bench.m_tracker.OnPeerGeneration(
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
  Bench bench;
  bench.Boot(5);
  DOCTEST_CHECK(
    Only<FetchFromPeer>(bench.m_tracker.OnPeerGeneration(kPeer, 4, kStart))
      .empty());
  DOCTEST_CHECK(
    bench.m_tracker.OnPeerConfiguration(kPeer, Body(4), kStart).empty());
  auto late = bench.Answer(bench.m_read.m_token, StoreStatus::kOk, 2, Body(2));
  DOCTEST_CHECK(Only<PutInForce>(late).empty());
  DOCTEST_CHECK(Only<ConfigurationProblem>(late).at(0).m_kind ==
                ConfigurationProblem::Kind::kStoreBehind);
  DOCTEST_CHECK(bench.m_tracker.InForceGeneration() == 5);
}

DOCTEST_TEST_CASE("bad bytes never displace the configuration in force")
{
  Bench bench;
  bench.Boot(2);
  std::string cut = Body(3);
  cut.resize(cut.size() / 2);
  auto actions = bench.m_tracker.OnPeerConfiguration(kPeer, cut, kStart);
  DOCTEST_CHECK(Only<ConfigurationProblem>(actions).size() == 1);
  auto watch = Only<WatchStore>(bench.m_tracker.SetWatcher(true, kStart)).at(0);
  actions = bench.Answer(watch.m_token, StoreStatus::kOk, 7, "");
  DOCTEST_CHECK(Only<ConfigurationProblem>(actions).size() == 1);
  DOCTEST_CHECK(bench.m_tracker.InForceGeneration() == 2);
  auto again = Only<WatchStore>(bench.Tick()).at(0);
  DOCTEST_CHECK(again.m_version == 7);
  (void)bench.Answer(again.m_token, StoreStatus::kOk, 8, Body(3));
  DOCTEST_CHECK(bench.m_tracker.InForceGeneration() == 3);
}

DOCTEST_TEST_CASE("only watchers watch, and the others read rarely")
{
  auto callsInTenMinutes = [](bool aWatcher) {
    Bench bench;
    bench.Boot(1);
    size_t reads = 0;
    size_t watches = 0;
    auto actions = bench.m_tracker.SetWatcher(aWatcher, kStart);
    while (bench.m_now < kStart + Seconds(600)) {
      for (const auto& read : Only<ReadStore>(actions)) {
        ++reads;
        (void)bench.Answer(read.m_token, StoreStatus::kOk, 1, Body(1));
      }
      for (const auto& watch : Only<WatchStore>(actions)) {
        ++watches;
        bench.m_now += Seconds(2);
        (void)bench.Answer(watch.m_token, StoreStatus::kUnchanged);
      }
      actions = bench.Tick();
    }
    return std::pair(reads, watches);
  };
  Bench former;
  former.Boot(1);
  (void)former.m_tracker.SetWatcher(true, kStart);
  DOCTEST_CHECK(former.m_tracker.SetWatcher(false, kStart).empty());
  DOCTEST_CHECK(former.m_tracker.NextTimer() >= kStart + Seconds(60));
  auto [reads, watches] = callsInTenMinutes(false);
  DOCTEST_CHECK(reads <= 10);
  DOCTEST_CHECK(watches == 0);
  DOCTEST_CHECK(callsInTenMinutes(true).second >= 290);
}

DOCTEST_TEST_CASE("a watch that is answered at once is not renewed at once")
{
  Bench bench;
  bench.Boot(1);
  auto watch = Only<WatchStore>(bench.m_tracker.SetWatcher(true, kStart)).at(0);
  int watches = 0;
  while (bench.m_now < kStart + Seconds(10)) {
    (void)bench.Answer(watch.m_token, StoreStatus::kOk, 1, Body(1));
    watch = Only<WatchStore>(bench.Tick()).at(0);
    ++watches;
  }
  DOCTEST_CHECK(watches < 25);
}

DOCTEST_TEST_CASE("a silent watch is given up and renewed")
{
  Bench bench;
  bench.Boot(1);
  auto watch = Only<WatchStore>(bench.m_tracker.SetWatcher(true, kStart)).at(0);
  ConfigurationActions actions =
    bench.TickUntil<WatchStore>(kStart + Seconds(60));
  DOCTEST_CHECK(bench.m_now <= kStart + Milliseconds(3200));
  DOCTEST_CHECK(Only<WatchStore>(actions).at(0).m_token != watch.m_token);
}

DOCTEST_TEST_CASE("a change is accepted and in force here at once")
{
  Bench bench;
  bench.Boot(1);
  WriteStore write = bench.StartWrite(Request(7, "mine"), 1);
  DOCTEST_CHECK(write.m_ifVersion == 1);
  auto actions = bench.Answer(write.m_token, StoreStatus::kOk, 2);
  DOCTEST_CHECK(Only<PutInForce>(actions).size() == 1);
  ChangeReply reply = Only<ChangeReply>(actions).at(0);
  DOCTEST_CHECK(reply.m_request == 7);
  DOCTEST_CHECK(reply.m_outcome == ChangeOutcome::kAccepted);
  DOCTEST_CHECK(reply.m_generation == 2);
}

DOCTEST_TEST_CASE("whoever loses the race is told, or makes the change anew")
{
  for (OnConflict onConflict : { OnConflict::kReport, OnConflict::kReapply }) {
    Bench bench;
    bench.Boot(1);
    WriteStore write = bench.StartWrite(Request(7, "mine", onConflict), 1);
    auto read =
      Only<ReadStore>(bench.Answer(write.m_token, StoreStatus::kConflict));
    auto actions =
      bench.Answer(read.at(0).m_token, StoreStatus::kOk, 2, Body(2));
    if (onConflict == OnConflict::kReport) {
      ChangeReply reply = Only<ChangeReply>(actions).at(0);
      DOCTEST_CHECK(reply.m_outcome == ChangeOutcome::kConflict);
      DOCTEST_CHECK(reply.m_generation == 2);
    } else {
      DOCTEST_CHECK(Only<WriteStore>(actions).at(0).m_key ==
                    ConfigurationHistoryKey(2));
    }
  }
}

DOCTEST_TEST_CASE("a lost reply is resolved by reading back")
{
  Bench bench;
  bench.Boot(1);
  WriteStore write = bench.StartWrite(Request(7, "mine"), 1);
  (void)bench.Answer(write.m_token, StoreStatus::kFailed);
  auto read = Only<ReadStore>(bench.Tick()).at(0);
  // Another change has followed by then.
  Configuration later =
    *Toggle(*DecodeConfiguration(write.m_body), "theirs").m_next;
  auto actions =
    bench.Answer(read.m_token, StoreStatus::kOk, 9, EncodeConfiguration(later));
  ChangeReply reply = Only<ChangeReply>(actions).at(0);
  DOCTEST_CHECK(reply.m_outcome == ChangeOutcome::kAccepted);
  DOCTEST_CHECK(reply.m_generation == 2);
  DOCTEST_CHECK(bench.m_tracker.InForceGeneration() == 3);
}

DOCTEST_TEST_CASE("a change without a definite end is unknown, not refused")
{
  Bench bench;
  bench.Boot(1);
  (void)bench.StartWrite(Request(7, "mine"), 1);
  auto replies =
    Only<ChangeReply>(bench.TickUntil<ChangeReply>(kStart + Seconds(60)));
  DOCTEST_CHECK(replies.at(0).m_outcome == ChangeOutcome::kUnknown);
  DOCTEST_CHECK(bench.m_now <= kStart + Seconds(8));
}

DOCTEST_TEST_CASE("with the store down a change is truly refused")
{
  Bench bench;
  bench.Boot(1);
  (void)bench.m_tracker.RequestChange(Request(7, "mine"), bench.m_now);
  ConfigurationActions actions =
    bench.TickUntil<ChangeReply>(kStart + Seconds(60));
  DOCTEST_CHECK(Only<WriteStore>(actions).empty());
  DOCTEST_CHECK(Only<ChangeReply>(actions).at(0).m_outcome ==
                ChangeOutcome::kStoreUnreachable);
}

DOCTEST_TEST_CASE("a change that names another base or was made is not made")
{
  Bench bench;
  bench.Boot(3);
  ChangeRequest stale = Request(7, "mine");
  stale.m_baseGeneration = 2;
  auto read =
    Only<ReadStore>(bench.m_tracker.RequestChange(stale, kStart)).at(0);
  auto actions = bench.Answer(read.m_token, StoreStatus::kOk, 3, Body(3));
  DOCTEST_CHECK(Only<ChangeReply>(actions).at(0).m_outcome ==
                ChangeOutcome::kConflict);
  read =
    Only<ReadStore>(bench.m_tracker.RequestChange(Request(8, "c2"), kStart))
      .at(0);
  actions = bench.Answer(read.m_token, StoreStatus::kOk, 3, Body(3));
  DOCTEST_CHECK(Only<ChangeReply>(actions).at(0).m_generation == 2);
  DOCTEST_CHECK(Only<WriteStore>(actions).empty());
}

DOCTEST_TEST_CASE("accepted is told apart from in force everywhere")
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
