#include "core/ownership/ownership_manager.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Lease kLongLease{ .m_incarnation = 1, .m_until = TimePoint::max() };
const UpstreamId kUpstream("u0");

InstanceRecord
MakeRecord(std::string_view aId)
{
  return { .m_id = InstanceId(aId),
           .m_incarnation = 1,
           .m_peerAddress = absl::StrCat(std::string(aId), ":1"),
           .m_dataCentre = DataCentre("oviedo"),
           .m_region = Region("north"),
           .m_state = InstanceState::kActive };
}

Configuration
MakeConfiguration()
{
  UpstreamConfig upstream{ .m_id = kUpstream,
                           .m_dataCentre = DataCentre("oviedo") };
  ShardConfig shard{ .m_name = ShardName("s"), .m_replicas = { upstream } };
  return { .m_generation = 1,
           .m_services = { { .m_name = ServiceName("desk"),
                             .m_shards = { shard },
                             .m_slots = 3,
                             .m_deadline = Milliseconds(400) } } };
}

MembershipView
MakeView(std::vector<InstanceRecord> aRecords)
{
  std::ranges::sort(aRecords, {}, &InstanceRecord::m_id);
  return { .m_version = 1, .m_records = std::move(aRecords) };
}

// Gives `aManager` the view and an owner map in which `aOwner` owns the
// upstream.
void
ShowOwner(OwnershipManager& aManager,
          const MembershipView& aView,
          std::string_view aOwner,
          TimePoint aNow)
{
  const Configuration configuration = MakeConfiguration();
  std::vector<InstanceRecord> eligible = aView.m_records;
  std::erase_if(eligible, [&](const InstanceRecord& aRecord) {
    return aRecord.m_id.View() != aOwner;
  });
  aManager.OnView(
    std::make_shared<const OwnerMap>(BuildOwnerMap(configuration, eligible)),
    aView,
    configuration,
    aNow);
}

AcquireResponse
MakeResponse(const AcquireAction& aAction, AcquireOutcome aOutcome)
{
  AcquireResponse response{ .m_responder = { aAction.m_target, 1 },
                            .m_requesterIncarnation =
                              aAction.m_request.m_requester.m_incarnation };
  for (const AcquireRequestItem& item : aAction.m_request.m_items) {
    response.m_items.push_back({ .m_upstream = item.m_upstream,
                                 .m_attempt = item.m_attempt,
                                 .m_outcome = aOutcome });
  }
  return response;
}

// Instance "a", the owner of the upstream, with "b" and "c" in its view. It has
// sent its acquire requests.
struct OwnerFixture
{
  MembershipView m_view =
    MakeView({ MakeRecord("a"), MakeRecord("b"), MakeRecord("c") });
  OwnershipManager m_manager{ OwnershipSettings(), InstanceId("a") };
  std::vector<AcquireAction> m_requests;

  OwnerFixture()
  {
    ShowOwner(m_manager, m_view, "a", kStart);
    m_requests = m_manager.Tick(kStart);
  }

  [[nodiscard]] uint32_t Slots(TimePoint aNow, Lease aLease = kLongLease) const
  {
    return m_manager.AllowedSlots(kUpstream, aLease, aNow);
  }
};

DOCTEST_TEST_CASE(
  "an owner starts when all have responded, with one slot until "
  "the longest deadline has passed")
{
  OwnerFixture owner;
  DOCTEST_REQUIRE(owner.m_requests.size() == 2);
  DOCTEST_CHECK(owner.m_manager.StateOf(kUpstream, kStart) ==
                OwnershipState::kAcquiring);
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[0], AcquireOutcome::kNotHeld), kStart);
  DOCTEST_CHECK(owner.Slots(kStart) == 0);
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[1], AcquireOutcome::kNotHeld), kStart);
  DOCTEST_CHECK(owner.Slots(kStart) == 1);
  DOCTEST_CHECK(owner.m_manager.StateOf(kUpstream, kStart) ==
                OwnershipState::kRamping);
  DOCTEST_CHECK(owner.Slots(kStart + Milliseconds(399)) == 1);
  DOCTEST_CHECK(owner.Slots(kStart + Milliseconds(400)) == 3);
}

DOCTEST_TEST_CASE("the slots depend on the lease and its incarnation")
{
  OwnerFixture owner;
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[0], AcquireOutcome::kReleased), kStart);
  DOCTEST_CHECK(owner.Slots(kStart) == 3);
  const TimePoint until = kStart + Seconds(3);
  DOCTEST_CHECK(owner.Slots(until - Milliseconds(1),
                            { .m_incarnation = 1, .m_until = until }) == 3);
  DOCTEST_CHECK(owner.Slots(until, { .m_incarnation = 1, .m_until = until }) ==
                0);
  DOCTEST_CHECK(owner.Slots(kStart, { .m_incarnation = 2, .m_until = until }) ==
                0);
}

DOCTEST_TEST_CASE("a released upstream starts with the slots that the requests "
                  "of the predecessor leave free, until they have ended")
{
  OwnerFixture owner;
  AcquireResponse response =
    MakeResponse(owner.m_requests[0], AcquireOutcome::kReleased);
  response.m_items[0].m_inFlight = 2;
  response.m_items[0].m_remaining = Milliseconds(200);
  const ColdStartState state{ .m_bootId = 7, .m_limit = 3 };
  response.m_items[0].m_coldStartState = state;
  owner.m_manager.OnResponse(response, kStart);
  DOCTEST_CHECK(owner.Slots(kStart) == 1);
  DOCTEST_CHECK(owner.m_manager.ColdStartStateOf(kUpstream) == state);
  const TimePoint polledAt = kStart + Milliseconds(50);
  const auto pollRequests = owner.m_manager.Tick(polledAt);
  DOCTEST_REQUIRE(pollRequests.size() == 1);
  DOCTEST_CHECK(pollRequests[0].m_target == owner.m_requests[0].m_target);
  owner.m_manager.OnResponse(
    MakeResponse(pollRequests[0], AcquireOutcome::kNotHeld), polledAt);
  DOCTEST_CHECK(owner.Slots(polledAt) == 3);
}

DOCTEST_TEST_CASE("responses to another attempt or incarnation, refusals and "
                  "missing responses do not start an owner")
{
  OwnerFixture owner;
  AcquireResponse otherAttempt =
    MakeResponse(owner.m_requests[0], AcquireOutcome::kReleased);
  ++otherAttempt.m_items[0].m_attempt;
  owner.m_manager.OnResponse(otherAttempt, kStart);
  AcquireResponse otherIncarnation =
    MakeResponse(owner.m_requests[0], AcquireOutcome::kReleased);
  ++otherIncarnation.m_requesterIncarnation;
  owner.m_manager.OnResponse(otherIncarnation, kStart);
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[0], AcquireOutcome::kRefused), kStart);
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[1], AcquireOutcome::kNotHeld), kStart);
  DOCTEST_CHECK(owner.Slots(kStart) == 0);
  const auto repeatedRequests =
    owner.m_manager.Tick(kStart + OwnershipSettings().m_requestInterval);
  DOCTEST_REQUIRE(repeatedRequests.size() == 1);
  DOCTEST_CHECK(repeatedRequests[0].m_target == owner.m_requests[0].m_target);
}

DOCTEST_TEST_CASE("requesters named in a response are sent a request too")
{
  OwnerFixture owner;
  AcquireResponse response =
    MakeResponse(owner.m_requests[0], AcquireOutcome::kNotHeld);
  response.m_items[0].m_otherRequesters.push_back(
    { .m_instance = { InstanceId("z"), 5 }, .m_peerAddress = "z:1" });
  owner.m_manager.OnResponse(response, kStart);
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[1], AcquireOutcome::kNotHeld), kStart);
  DOCTEST_CHECK(owner.Slots(kStart) == 0);
  const auto requests = owner.m_manager.Tick(kStart);
  DOCTEST_REQUIRE(requests.size() == 1);
  DOCTEST_CHECK(requests[0].m_target == InstanceId("z"));
  AcquireResponse secondResponse =
    MakeResponse(requests[0], AcquireOutcome::kNotHeld);
  secondResponse.m_responder.m_incarnation = 5;
  owner.m_manager.OnResponse(secondResponse, kStart);
  DOCTEST_CHECK(owner.Slots(kStart) == 1);
}

DOCTEST_TEST_CASE(
  "a recent requester is sent a request although the view lacks it")
{
  OwnershipManager manager(OwnershipSettings(), InstanceId("a"));
  const MembershipView view = MakeView({ MakeRecord("a"), MakeRecord("c") });
  ShowOwner(manager, view, "c", kStart);
  const AcquireRequest request{ .m_requester = { InstanceId("b"), 1 },
                                .m_requesterPeerAddress = "b:1",
                                .m_items = { { .m_upstream = kUpstream } } };
  DOCTEST_CHECK(manager.OnAcquire(request, kStart).m_items[0].m_outcome ==
                AcquireOutcome::kNotHeld);
  ShowOwner(manager, view, "a", kStart);
  const auto requests = manager.Tick(kStart);
  DOCTEST_REQUIRE(requests.size() == 2);
  DOCTEST_CHECK(requests[0].m_target == InstanceId("b"));
  DOCTEST_CHECK(requests[1].m_target == InstanceId("c"));
}

DOCTEST_TEST_CASE(
  "a requester that is dead or superseded in the view is refused")
{
  OwnershipManager manager(OwnershipSettings(), InstanceId("a"));
  MembershipView view = MakeView({ MakeRecord("a"), MakeRecord("b") });
  AcquireRequest request{ .m_requester = { InstanceId("b"), 1 },
                          .m_items = { { .m_upstream = kUpstream } } };
  const auto outcome = [&] {
    return manager.OnAcquire(request, kStart).m_items[0].m_outcome;
  };
  ShowOwner(manager, view, "b", kStart);
  DOCTEST_CHECK(outcome() == AcquireOutcome::kNotHeld);
  view.m_records[1].m_state = InstanceState::kDead;
  ShowOwner(manager, view, "b", kStart);
  DOCTEST_CHECK(outcome() == AcquireOutcome::kRefused);
  view.m_records[1] = MakeRecord("b");
  view.m_records[1].m_incarnation = 2;
  ShowOwner(manager, view, "b", kStart);
  DOCTEST_CHECK(outcome() == AcquireOutcome::kRefused);
  request.m_requester.m_incarnation = 2;
  DOCTEST_CHECK(outcome() == AcquireOutcome::kNotHeld);
}

DOCTEST_TEST_CASE(
  "a manager keeps upstreams that its map gives to it, releases "
  "others on request, and repeats a lost release")
{
  OwnerFixture owner;
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[0], AcquireOutcome::kReleased), kStart);
  owner.m_manager.OnSent(kUpstream, kStart + Milliseconds(300));
  AcquireRequest request{ .m_requester = { InstanceId("b"), 1 },
                          .m_requesterPeerAddress = "b:1",
                          .m_items = {
                            { .m_upstream = kUpstream, .m_attempt = 9 } } };
  const auto sendRequest = [&] {
    return owner.m_manager.OnAcquire(request, kStart).m_items[0];
  };
  DOCTEST_CHECK(sendRequest().m_outcome == AcquireOutcome::kRefused);
  DOCTEST_CHECK(owner.Slots(kStart) == 3);

  ShowOwner(owner.m_manager, owner.m_view, "b", kStart);
  DOCTEST_CHECK(owner.Slots(kStart) == 3);
  const AcquireResponseItem released = sendRequest();
  DOCTEST_CHECK(released.m_outcome == AcquireOutcome::kReleased);
  DOCTEST_CHECK(released.m_attempt == 9);
  DOCTEST_CHECK(released.m_inFlight == 1);
  DOCTEST_CHECK(released.m_remaining == Milliseconds(300));
  DOCTEST_CHECK(owner.Slots(kStart) == 0);
  DOCTEST_CHECK(sendRequest().m_outcome == AcquireOutcome::kReleased);
  // The release is not repeated once the requester has held the upstream.
  request.m_items[0].m_heldEpoch = released.m_epoch + 1;
  DOCTEST_CHECK(sendRequest().m_outcome == AcquireOutcome::kNotHeld);
}

DOCTEST_TEST_CASE("a new incarnation holds no upstreams of the old one")
{
  OwnerFixture owner;
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[0], AcquireOutcome::kReleased), kStart);
  MembershipView view = owner.m_view;
  view.m_records[0].m_incarnation = 2;
  ShowOwner(owner.m_manager, view, "a", kStart);
  DOCTEST_CHECK(
    owner.Slots(kStart, { .m_incarnation = 2, .m_until = TimePoint::max() }) ==
    0);
}

DOCTEST_TEST_CASE("a dead instance does not need to respond")
{
  OwnerFixture owner;
  owner.m_manager.OnResponse(
    MakeResponse(owner.m_requests[0], AcquireOutcome::kNotHeld), kStart);
  MembershipView view = owner.m_view;
  view.m_records[2].m_state = InstanceState::kDead;
  ShowOwner(owner.m_manager, view, "a", kStart);
  static_cast<void>(owner.m_manager.Tick(kStart));
  DOCTEST_CHECK(owner.Slots(kStart) == 1);
}

DOCTEST_TEST_CASE(
  "a handover notice lets the successor send requests before its view names it")
{
  OwnershipManager manager(OwnershipSettings(), InstanceId("a"));
  const MembershipView view = MakeView({ MakeRecord("a"), MakeRecord("b") });
  ShowOwner(manager, view, "b", kStart);
  DOCTEST_CHECK(manager.Tick(kStart).empty());
  manager.OnHandOver({ .m_sender = { InstanceId("b"), 1 },
                       .m_senderPeerAddress = "b:1",
                       .m_upstreams = { kUpstream } },
                     kStart);
  const auto requests = manager.Tick(kStart);
  DOCTEST_REQUIRE(requests.size() == 1);
  manager.OnResponse(MakeResponse(requests[0], AcquireOutcome::kReleased),
                     kStart);
  DOCTEST_CHECK(manager.AllowedSlots(kUpstream, kLongLease, kStart) == 3);
}

} // namespace
} // namespace ebonykeel
