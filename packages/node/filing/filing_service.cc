#include "node/filing/filing_service.h"

#include <utility>

#include <kj/debug.h>
#include <openssl/sha.h>

#include "absl/random/distributions.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "core/base/stable_hash.h"
#include "node/filing/filing_task.h"
#include "node/wire/peer_codec.h"
#include "runtime/log/events.h"

namespace ebonykeel {
namespace {

// The time after the deadline during which the owner's reply is still awaited.
constexpr Duration kReplyGrace = Milliseconds(50);

WallTime
CurrentWallTime()
{
  return WallTime(std::chrono::milliseconds(absl::ToUnixMillis(absl::Now())));
}

// Returns a digest of the fields that must be equal in all attempts at one
// request.
std::string
ComputeDigest(const FilingInput& aInput)
{
  std::string text = absl::StrCat(aInput.m_service.Text(),
                                  std::string(1, '\0'),
                                  aInput.m_operation,
                                  std::string(1, '\0'),
                                  aInput.m_key,
                                  std::string(1, '\0'),
                                  aInput.m_payload);
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(
    reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  return absl::BytesToHexString(absl::string_view(
    reinterpret_cast<const char*>(digest), SHA256_DIGEST_LENGTH / 2));
}

StoreReplyKind
ToReplyKind(StoreReadOutcome aOutcome)
{
  switch (aOutcome) {
    case StoreReadOutcome::kFound:
      return StoreReplyKind::kOk;
    case StoreReadOutcome::kNotFound:
      return StoreReplyKind::kNotFound;
    case StoreReadOutcome::kUnchanged:
    case StoreReadOutcome::kFailed:
      return StoreReplyKind::kNoReply;
  }
  return StoreReplyKind::kNoReply;
}

StoreReplyKind
ToReplyKind(StoreWriteOutcome aOutcome)
{
  switch (aOutcome) {
    case StoreWriteOutcome::kWritten:
      return StoreReplyKind::kOk;
    case StoreWriteOutcome::kConflict:
      return StoreReplyKind::kConflict;
    case StoreWriteOutcome::kRefused:
    case StoreWriteOutcome::kUnknown:
      return StoreReplyKind::kNoReply;
  }
  return StoreReplyKind::kNoReply;
}

} // namespace

struct FilingService::ActiveFiling
{
  ActiveFiling(FilingInput aInput,
               const FilingRequest& aRequest,
               const FilingSettings& aSettings,
               const DispatchGuard& aGuard)
    : m_input(std::move(aInput))
    , m_ticket(aRequest.m_ticket)
    , m_run(aRequest, aSettings, aGuard)
  {
  }

  FilingInput m_input;
  ClaimTicket m_ticket;
  FilingRun m_run;
  kj::Own<kj::PromiseFulfiller<FilingAnswer>> m_fulfiller;
  std::unique_ptr<Alarm> m_alarm;
};

FilingService::FilingService(Loop& aLoop,
                             PeerLinks& aLinks,
                             ObjectStore& aStore,
                             OwnershipService& aOwnership,
                             UpstreamService& aUpstreams,
                             SnapshotTracker& aSnapshots,
                             ReplicaSelector& aSelector,
                             InstanceId aSelf,
                             absl::BitGenRef aRandom)
  : m_loop(aLoop)
  , m_links(aLinks)
  , m_store(aStore)
  , m_ownership(aOwnership)
  , m_upstreams(aUpstreams)
  , m_snapshots(aSnapshots)
  , m_selector(aSelector)
  , m_random(aRandom)
  , m_batcher({}, std::move(aSelf), aRandom)
  , m_batcherAlarm(
      aLoop.Clock(),
      [this]() { PerformBatcher(m_batcher.OnTimer(CurrentTime())); })
  , m_tasks(*this)
{
}

FilingService::~FilingService() noexcept = default;

kj::Promise<FilingAnswer>
FilingService::Run(FilingInput aInput)
{
  FilingRequest request{
    .m_ticket = ++m_lastTicket,
    .m_key = { aInput.m_caller, aInput.m_requestId },
    .m_nonce = { absl::Uniform<uint64_t>(m_random, 1, UINT64_MAX),
                 absl::Uniform<uint64_t>(m_random, 1, UINT64_MAX) },
    .m_digest = ComputeDigest(aInput),
    .m_issuedAt = aInput.m_issuedAt,
    .m_deadline = aInput.m_deadline
  };
  const DispatchGuard& guard = *this;
  auto filing = std::make_unique<ActiveFiling>(
    std::move(aInput), request, m_settings, guard);
  ActiveFiling& started = *filing;
  ClaimTicket ticket = request.m_ticket;
  started.m_alarm = std::make_unique<Alarm>(m_loop.Clock(), [this, ticket]() {
    if (ActiveFiling* found = FindActive(ticket)) {
      PerformFiling(*found, found->m_run.OnTimer(CurrentTime()));
    }
  });
  auto paf = kj::newPromiseAndFulfiller<FilingAnswer>();
  started.m_fulfiller = kj::mv(paf.fulfiller);
  m_activeFilings.emplace(ticket, std::move(filing));
  PerformFiling(started, started.m_run.Start(CurrentTime()));
  return kj::mv(paf.promise);
}

bool
FilingService::MayDispatch(TimePoint /* aNow */) const
{
  // No lease is checked here: the owner of the upstream checks its own lease,
  // and the claim alone decides which instance may dispatch.
  return m_snapshots.InForce() != nullptr;
}

void
FilingService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "filing task failed", aException);
}

EventTime
FilingService::CurrentTime() const
{
  return { m_loop.Clock().Now(), CurrentWallTime() };
}

void
FilingService::PerformFiling(ActiveFiling& aFiling, FilingActions aActions)
{
  ClaimTicket ticket = aFiling.m_ticket;
  for (FilingAction& action : aActions) {
    if (auto* claim = std::get_if<FilingClaim>(&action)) {
      PerformBatcher(m_batcher.Acquire(claim->m_request, CurrentTime()));
    } else if (auto* giveUp = std::get_if<FilingGiveUpClaim>(&action)) {
      PerformBatcher(
        m_batcher.GiveUp(giveUp->m_key, giveUp->m_ticket, CurrentTime()));
    } else if (auto* dispatch = std::get_if<FilingDispatch>(&action)) {
      Dispatch(aFiling, dispatch->m_notAfter);
    } else if (auto* record = std::get_if<FilingRecord>(&action)) {
      PerformBatcher(m_batcher.Record(record->m_request, CurrentTime()));
    } else if (auto* finish = std::get_if<FilingFinish>(&action)) {
      SendAnswer(aFiling, std::move(finish->m_answer));
    }
  }
  RemoveIfEnded(ticket);
}

void
FilingService::PerformBatcher(BatcherActions aActions)
{
  for (BatcherAction& action : aActions) {
    if (auto* read = std::get_if<BatcherRead>(&action)) {
      m_tasks.add(m_store.Read(read->m_key)
                    .then([this, call = read->m_call](StoreRead&& aRead) {
                      OnStoreReply({ .m_call = call,
                                     .m_kind = ToReplyKind(aRead.m_outcome),
                                     .m_version = aRead.m_version,
                                     .m_value = std::move(aRead.m_value) });
                    }));
    } else if (auto* write = std::get_if<BatcherWrite>(&action)) {
      m_tasks.add(
        m_store.Write(write->m_key, write->m_ifVersion, write->m_value)
          .then([this, call = write->m_call](StoreWrite&& aWrite) {
            OnStoreReply({ .m_call = call,
                           .m_kind = ToReplyKind(aWrite.m_outcome),
                           .m_version = aWrite.m_version });
          }));
    } else if (auto* claimed = std::get_if<BatcherClaimDone>(&action)) {
      // Called in a later turn of the loop, since the run may be on the call
      // stack.
      m_loop.RunLater([this, done = std::move(*claimed)]() {
        if (ActiveFiling* filing = FindActive(done.m_ticket)) {
          PerformFiling(*filing,
                        filing->m_run.OnClaim(done.m_reply, CurrentTime()));
        }
      });
    } else if (auto* recorded = std::get_if<BatcherRecordDone>(&action)) {
      m_loop.RunLater([this, done = *recorded]() {
        if (ActiveFiling* filing = FindActive(done.m_ticket)) {
          PerformFiling(
            *filing, filing->m_run.OnRecorded(done.m_recorded, CurrentTime()));
        }
      });
    }
  }
  m_batcherAlarm.Set(m_batcher.NextTimer());
}

void
FilingService::Dispatch(ActiveFiling& aFiling, TimePoint aDispatchDeadline)
{
  const FilingInput& input = aFiling.m_input;
  std::optional<Target> target = ChooseTarget(input);
  ClaimTicket ticket = aFiling.m_ticket;
  auto finish = [this, ticket](DispatchResult&& aResult) {
    if (ActiveFiling* filing = FindActive(ticket)) {
      PerformFiling(*filing,
                    filing->m_run.OnDispatched(aResult, CurrentTime()));
    }
  };
  if (!target) {
    m_loop.RunLater([finish]() {
      finish({ .m_outcome = Outcome::kNotRun,
               .m_reason = MissingReason::kWithdrawn });
    });
    return;
  }
  UpstreamFiling request{ .m_service = input.m_service,
                          .m_operation = input.m_operation,
                          .m_caller = input.m_caller,
                          .m_requestId = input.m_requestId,
                          .m_payload = input.m_payload,
                          .m_shard = target->m_shard,
                          .m_upstream = target->m_upstream };
  // Moved, since kj only keeps a reference to a callback that is an lvalue.
  m_tasks.add(
    SendToOwner(std::move(request), aDispatchDeadline).then(std::move(finish)));
}

kj::Promise<DispatchResult>
FilingService::SendToOwner(UpstreamFiling aRequest, TimePoint aDispatchDeadline)
{
  if (m_ownership.Owns(aRequest.m_upstream)) {
    return SubmitFiling(m_upstreams, std::move(aRequest), aDispatchDeadline);
  }
  const InstanceRecord* owner = m_ownership.OwnerOf(aRequest.m_upstream);
  if (owner == nullptr) {
    return DispatchResult{ .m_outcome = Outcome::kNotRun,
                           .m_reason = MissingReason::kNoOwner };
  }
  return SendToPeer(
    owner->m_peerAddress, std::move(aRequest), aDispatchDeadline);
}

kj::Promise<DispatchResult>
FilingService::SendToPeer(const std::string& aAddress,
                          UpstreamFiling aRequest,
                          TimePoint aDispatchDeadline)
{
  // Set directly before the call is sent; until then the request cannot have
  // run.
  auto sent = kj::heap<bool>(false);
  bool& sentFlag = *sent;
  auto call = m_links.Connect(aAddress).then(
    [this, &sentFlag, aDispatchDeadline, request = std::move(aRequest)](
      wire::Peer::Client aPeer) -> kj::Promise<DispatchResult> {
      Duration remaining = aDispatchDeadline - m_loop.Clock().Now();
      if (remaining <= Duration::zero()) {
        return DispatchResult{ .m_outcome = Outcome::kNotRun,
                               .m_reason = MissingReason::kDeadline };
      }
      auto message = aPeer.fileRequest();
      auto body = message.initRequest();
      body.setService(ToText(request.m_service.Text()));
      body.setOperation(ToText(request.m_operation));
      body.setCaller(ToText(request.m_caller.Text()));
      body.setRequestId(ToText(request.m_requestId.Text()));
      body.setPayload(ToText(request.m_payload));
      body.setShard(ToText(request.m_shard.Text()));
      body.setUpstream(ToText(request.m_upstream.Text()));
      body.setRemaining(ToMicroseconds(remaining));
      sentFlag = true;
      return message.send().then(
        [](capnp::Response<wire::Peer::FileResults>&& aResults) {
          auto reply = aResults.getReply();
          return DispatchResult{ .m_outcome = ReadOutcome(reply.getOutcome()),
                                 .m_reason =
                                   ReadMissingReason(reply.getReason()),
                                 .m_result =
                                   std::string(ToView(reply.getResult())) };
        });
    });
  TimePoint replyDeadline = aDispatchDeadline + kReplyGrace;
  return m_loop.Clock()
    .Timer()
    .timeoutAfter((replyDeadline - m_loop.Clock().Now()).count() *
                    kj::NANOSECONDS,
                  kj::mv(call))
    .catch_([this, &sentFlag, aAddress](kj::Exception&& aException) {
      LogEvent(Event::kPeerFailed,
               { { "address", aAddress },
                 { "call", "file" },
                 { "reason", aException.getDescription().cStr() } });
      m_links.Drop(aAddress);
      return DispatchResult{ .m_outcome =
                               sentFlag ? Outcome::kUnknown : Outcome::kNotRun,
                             .m_reason = MissingReason::kUnreachable };
    })
    .attach(kj::mv(sent));
}

std::optional<FilingService::Target>
FilingService::ChooseTarget(const FilingInput& aInput)
{
  ConfigurationPtr configuration = m_snapshots.InForce();
  const ServiceConfig* service = configuration->FindService(aInput.m_service);
  if (service == nullptr || service->m_shards.empty()) {
    return std::nullopt;
  }
  const ShardConfig& shard =
    service->m_shards[StableHash(aInput.m_key) % service->m_shards.size()];
  ReplicaChoice choice =
    m_selector.Choose(shard, {}, AttemptKind::kFirst, m_loop.Clock().Now());
  if (choice.m_replica == nullptr) {
    return std::nullopt;
  }
  return Target{ shard.m_name, choice.m_replica->m_id };
}

void
FilingService::SendAnswer(ActiveFiling& aFiling, FilingAnswer aAnswer)
{
  switch (aAnswer.m_outcome) {
    case Outcome::kRan:
      ++(aAnswer.m_repeated ? m_totals.m_repeated : m_totals.m_ran);
      break;
    case Outcome::kNotRun:
      ++m_totals.m_notRun;
      break;
    case Outcome::kUnknown:
      ++m_totals.m_unknown;
      break;
  }
  if (aAnswer.m_outcome != Outcome::kRan) {
    LogEvent(aAnswer.m_outcome == Outcome::kUnknown ? Event::kFilingUnknown
                                                    : Event::kFilingRefused,
             { { "request", aFiling.m_input.m_requestId.Text() },
               { "caller", aFiling.m_input.m_caller.Text() },
               { "reason", std::string(FilingReasonName(aAnswer.m_reason)) } });
  }
  aFiling.m_fulfiller->fulfill(std::move(aAnswer));
}

void
FilingService::OnStoreReply(const StoreReply& aReply)
{
  PerformBatcher(m_batcher.OnStoreReply(aReply, CurrentTime()));
}

void
FilingService::RemoveIfEnded(ClaimTicket aTicket)
{
  auto found = m_activeFilings.find(aTicket);
  if (found == m_activeFilings.end()) {
    return;
  }
  if (!found->second->m_run.Ended()) {
    found->second->m_alarm->Set(found->second->m_run.NextTimer());
    return;
  }
  // Destroyed in a later turn of the loop, since the filing's alarm may be on
  // the call stack.
  auto ended = kj::heap(std::move(found->second));
  m_activeFilings.erase(found);
  m_loop.RunLater([ended = kj::mv(ended)]() mutable { ended = nullptr; });
}

FilingService::ActiveFiling*
FilingService::FindActive(ClaimTicket aTicket)
{
  auto found = m_activeFilings.find(aTicket);
  return found == m_activeFilings.end() ? nullptr : found->second.get();
}

} // namespace ebonykeel
