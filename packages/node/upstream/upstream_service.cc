#include "node/upstream/upstream_service.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include <kj/debug.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "node/upstream/upstream_protocol.h"
#include "runtime/log/events.h"

namespace ebonykeel {
namespace {

// The time after the deadline during which a reply is still accepted, so that
// it frees its slot early.
constexpr Duration kReplyGrace = Milliseconds(20);

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

// Returns a description of a rejected reply for the log.
std::string
DescribeReply(const HttpReply& aReply)
{
  constexpr size_t kMaxShownBytes = 120;
  if (!aReply.m_status.ok()) {
    return std::string(aReply.m_status.message());
  }
  return absl::StrCat("status ",
                      aReply.m_response.m_status,
                      ", ",
                      aReply.m_response.m_body.size(),
                      " bytes: ",
                      aReply.m_response.m_body.substr(0, kMaxShownBytes));
}

// Returns true if the upstream may still be working after a result of `aKind`.
bool
MayStillRun(UpstreamResultKind aKind)
{
  return aKind == UpstreamResultKind::kReset ||
         aKind == UpstreamResultKind::kTimeout ||
         aKind == UpstreamResultKind::kBadAnswer;
}

// Destroys a promise in a later turn of the loop, since it may be on the call
// stack.
void
DestroyLater(Loop& aLoop, kj::Maybe<kj::Promise<void>>& aPromise)
{
  KJ_IF_MAYBE (promise, aPromise) {
    auto moved = kj::heap(kj::mv(*promise));
    aLoop.RunLater([moved = kj::mv(moved)]() mutable { moved = nullptr; });
  }
  aPromise = nullptr;
}

} // namespace

UpstreamService::UpstreamService(Loop& aLoop,
                                 HttpClient& aClient,
                                 OwnershipService& aOwnership,
                                 const UpstreamServiceOptions& aOptions)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_ownership(aOwnership)
  , m_options(aOptions)
  , m_tasks(*this)
{
}

void
UpstreamService::OnConfiguration(const ConfigurationPtr& aConfiguration)
{
  m_configuration = aConfiguration;
  absl::flat_hash_set<UpstreamId> configured;
  for (const ServiceConfig& service : aConfiguration->m_services) {
    for (const ShardConfig& shard : service.m_shards) {
      for (const UpstreamConfig& replica : shard.m_replicas) {
        configured.insert(replica.m_id);
        if (OwnedUpstream* owned = FindOwned(replica.m_id)) {
          owned->m_config = replica;
        }
      }
    }
  }
  for (auto& [id, owned] : m_ownedUpstreams) {
    if (configured.contains(id)) {
      ApplyClosures(*owned);
      continue;
    }
    Perform(*owned,
            owned->m_dispatcher->SetClosed(
              ClosureReason::kDrained, true, m_loop.Clock().Now()));
  }
  OnOwnershipChanged();
}

void
UpstreamService::OnOwnershipChanged()
{
  if (m_configuration == nullptr) {
    return;
  }
  for (const ServiceConfig& service : m_configuration->m_services) {
    for (const ShardConfig& shard : service.m_shards) {
      for (const UpstreamConfig& replica : shard.m_replicas) {
        if (m_ownership.Owns(replica.m_id) &&
            FindOwned(replica.m_id) == nullptr) {
          AddOwned(replica, service);
        }
      }
    }
  }
  TimePoint now = m_loop.Clock().Now();
  for (auto& [id, owned] : m_ownedUpstreams) {
    bool permitted = m_ownership.AllowedSlots(id, now) > 0;
    if (permitted && !owned->m_permitted) {
      owned->m_dispatcher->OnOwnershipGained(InitialState(id), now);
    }
    owned->m_permitted = permitted;
    Perform(*owned, owned->m_dispatcher->OnPermitChanged(now));
  }
}

UpstreamTicket
UpstreamService::Submit(const UpstreamId& aUpstream,
                        const UpstreamWork& aWork,
                        kj::Own<UpstreamTask> aTask)
{
  TimePoint now = m_loop.Clock().Now();
  OwnedUpstream* owned = FindOwned(aUpstream);
  if (owned == nullptr || m_ownership.AllowedSlots(aUpstream, now) == 0) {
    ++m_counters.m_refused;
    aTask->OnRefused(MissingReason::kNoOwner);
    return {};
  }
  if (aWork.m_hedge && !owned->m_dispatcher->Warm()) {
    ++m_counters.m_refused;
    aTask->OnRefused(MissingReason::kShed);
    return {};
  }
  WorkId work = ++m_lastWork;
  owned->m_tasks.emplace(
    work,
    ActiveTask{ .m_task = kj::mv(aTask), .m_deadline = aWork.m_deadline });
  Perform(*owned,
          owned->m_dispatcher->Enqueue({ .m_id = work,
                                         .m_deadline = aWork.m_deadline,
                                         .m_priority = aWork.m_priority,
                                         .m_caller = aWork.m_caller },
                                       now));
  return { aUpstream, work };
}

void
UpstreamService::Cancel(const UpstreamTicket& aTicket)
{
  OwnedUpstream* owned = FindOwned(aTicket.m_upstream);
  if (owned == nullptr) {
    return;
  }
  auto task = owned->m_tasks.find(aTicket.m_work);
  if (task == owned->m_tasks.end()) {
    return;
  }
  task->second.m_cancelled = true;
  Perform(*owned,
          owned->m_dispatcher->Cancel(aTicket.m_work, m_loop.Clock().Now()));
  task = owned->m_tasks.find(aTicket.m_work);
  if (task != owned->m_tasks.end()) {
    EndTask(*owned, task);
  }
}

size_t
UpstreamService::Queued() const
{
  return std::transform_reduce(
    m_ownedUpstreams.begin(),
    m_ownedUpstreams.end(),
    size_t{ 0 },
    std::plus<>(),
    [](auto& aEntry) { return aEntry.second->m_dispatcher->Queued(); });
}

size_t
UpstreamService::InFlight() const
{
  return std::transform_reduce(
    m_ownedUpstreams.begin(),
    m_ownedUpstreams.end(),
    size_t{ 0 },
    std::plus<>(),
    [](auto& aEntry) {
      return size_t{ aEntry.second->m_dispatcher->InFlight() };
    });
}

size_t
UpstreamService::ColdUpstreams() const
{
  return std::ranges::count_if(m_ownedUpstreams, [](auto& aEntry) {
    return aEntry.second->m_permitted && !aEntry.second->m_dispatcher->Warm();
  });
}

void
UpstreamService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "upstream task failed", aException);
}

UpstreamService::OwnedUpstream*
UpstreamService::FindOwned(const UpstreamId& aUpstream)
{
  auto found = m_ownedUpstreams.find(aUpstream);
  return found == m_ownedUpstreams.end() ? nullptr : found->second.get();
}

UpstreamService::OwnedUpstream&
UpstreamService::AddOwned(const UpstreamConfig& aConfig,
                          const ServiceConfig& aService)
{
  TimePoint now = m_loop.Clock().Now();
  auto owned = std::make_unique<OwnedUpstream>();
  OwnedUpstream* added = owned.get();
  owned->m_config = aConfig;
  owned->m_dispatcher = std::make_unique<UpstreamDispatcher>(
    aConfig.m_id,
    UpstreamLimits{ .m_slots = aService.m_slots,
                    .m_connectionLimit = aService.m_connectionLimit },
    m_options.m_dispatcher,
    m_ownership,
    std::make_unique<ColdStartRamp>(
      aService.m_slots, m_options.m_coldStart, now),
    now);
  owned->m_alarm = std::make_unique<Alarm>(m_loop.Clock(), [this, added]() {
    Perform(*added, added->m_dispatcher->OnTimer(m_loop.Clock().Now()));
  });
  m_ownedUpstreams.emplace(aConfig.m_id, std::move(owned));
  ApplyClosures(*added);
  return *added;
}

void
UpstreamService::ApplyClosures(OwnedUpstream& aOwned)
{
  TimePoint now = m_loop.Clock().Now();
  const UpstreamConfig& config = aOwned.m_config;
  bool withdrawn =
    m_configuration->m_withdrawnDataCentres.contains(config.m_dataCentre);
  bool drained = m_configuration->m_drainedUpstreams.contains(config.m_id);
  Perform(
    aOwned,
    aOwned.m_dispatcher->SetClosed(ClosureReason::kWithdrawn, withdrawn, now));
  Perform(
    aOwned,
    aOwned.m_dispatcher->SetClosed(ClosureReason::kDrained, drained, now));
}

void
UpstreamService::Perform(OwnedUpstream& aOwned, DispatcherActions aActions)
{
  for (DispatcherAction& action : aActions) {
    std::visit(
      Overloaded{
        [&](const DispatchWork& aDispatch) {
          Dispatch(aOwned, aDispatch.m_work);
        },
        [&](const RefuseWork& aRefuse) {
          Refuse(aOwned, aRefuse.m_work, aRefuse.m_reason);
        },
        [&](const CancelWork& aCancel) {
          CancelInFlight(aOwned, aCancel.m_work);
        },
        [&](const CloseIdleConnections& /* aClose */) {
          m_client.CloseIdle(EndpointOf(aOwned));
          (void)aOwned.m_dispatcher->OnConnectionsClosed(
            aOwned.m_dispatcher->OpenConnections(), 0, m_loop.Clock().Now());
        },
        [&](const ProbeUpstream& /* aProbe */) { Probe(aOwned); } },
      action);
  }
  SaveColdStartState(aOwned);
  SetAlarm(aOwned);
}

void
UpstreamService::SaveColdStartState(OwnedUpstream& aOwned)
{
  if (!aOwned.m_permitted) {
    return;
  }
  WarmthHint hint = aOwned.m_dispatcher->Hint(m_loop.Clock().Now());
  bool warm = aOwned.m_dispatcher->Warm();
  bool changed = warm != aOwned.m_savedWarm ||
                 hint.m_limit != aOwned.m_savedLimit ||
                 hint.m_bootId != aOwned.m_savedBootId;
  if (!changed) {
    return;
  }
  if (aOwned.m_savedWarm && !warm) {
    LogEvent(Event::kUpstreamCold,
             { { "upstream", aOwned.m_config.m_id.Text() },
               { "boot", absl::StrCat(hint.m_bootId) } });
  }
  aOwned.m_savedWarm = warm;
  aOwned.m_savedLimit = hint.m_limit;
  aOwned.m_savedBootId = hint.m_bootId;
  m_ownership.SetColdStartState(
    aOwned.m_config.m_id,
    { .m_bootId = hint.m_bootId,
      .m_limit = hint.m_limit,
      .m_expectedLatency = hint.m_expectedLatency });
}

OwnershipStart
UpstreamService::InitialState(const UpstreamId& aUpstream) const
{
  ColdStartState state = m_ownership.ColdStartStateOf(aUpstream);
  if (state.m_bootId == 0) {
    return {};
  }
  return { .m_hint =
             WarmthHint{ .m_bootId = state.m_bootId,
                         .m_limit = state.m_limit,
                         .m_expectedLatency = state.m_expectedLatency } };
}

void
UpstreamService::Dispatch(OwnedUpstream& aOwned, WorkId aWork)
{
  auto found = aOwned.m_tasks.find(aWork);
  if (found == aOwned.m_tasks.end()) {
    return;
  }
  ActiveTask& task = found->second;
  const UpstreamId& upstream = aOwned.m_config.m_id;
  Duration remaining = task.m_deadline - m_loop.Clock().Now();
  ++m_counters.m_dispatched;
  task.m_countedAsSent = true;
  m_ownership.OnSent(upstream, task.m_deadline);
  task.m_sendPromise = m_client
                         .Send(EndpointOf(aOwned),
                               task.m_task->MakeRequest(remaining),
                               remaining + kReplyGrace)
                         .then([this, upstream, aWork](HttpReply&& aReply) {
                           OnReply(upstream, aWork, aReply);
                         })
                         .eagerlyEvaluate([](kj::Exception&& aException) {
                           KJ_LOG(ERROR, "upstream request failed", aException);
                         });
}

void
UpstreamService::OnReply(const UpstreamId& aUpstream,
                         WorkId aWork,
                         const HttpReply& aReply)
{
  OwnedUpstream* owned = FindOwned(aUpstream);
  if (owned == nullptr) {
    return;
  }
  auto found = owned->m_tasks.find(aWork);
  if (found == owned->m_tasks.end()) {
    return;
  }
  UpstreamResult result =
    found->second.m_task->OnReply(aReply, !owned->m_dispatcher->Warm());
  if (result.m_kind == UpstreamResultKind::kBadAnswer) {
    ++m_counters.m_badAnswers;
    LogEvent(Event::kUpstreamBadAnswer,
             { { "upstream", aUpstream.Text() },
               { "problem", DescribeReply(aReply) } });
  }
  if (MayStillRun(result.m_kind)) {
    ScheduleFinished(*owned, found->second);
  }
  EndTask(*owned, found);
  Perform(*owned,
          owned->m_dispatcher->OnResult(aWork, result, m_loop.Clock().Now()));
}

void
UpstreamService::Refuse(OwnedUpstream& aOwned,
                        WorkId aWork,
                        MissingReason aReason)
{
  auto found = aOwned.m_tasks.find(aWork);
  if (found == aOwned.m_tasks.end()) {
    return;
  }
  ++m_counters.m_refused;
  kj::Own<UpstreamTask> task = kj::mv(found->second.m_task);
  EndTask(aOwned, found);
  task->OnRefused(aReason);
}

void
UpstreamService::CancelInFlight(OwnedUpstream& aOwned, WorkId aWork)
{
  auto found = aOwned.m_tasks.find(aWork);
  if (found == aOwned.m_tasks.end()) {
    return;
  }
  ++m_counters.m_cancelled;
  kj::Own<UpstreamTask> task = kj::mv(found->second.m_task);
  bool notify = !found->second.m_cancelled;
  ScheduleFinished(aOwned, found->second);
  EndTask(aOwned, found);
  if (notify) {
    HttpReply abandoned{ .m_status = absl::DeadlineExceededError("abandoned"),
                         .m_progress = HttpProgress::kSent };
    (void)task->OnReply(abandoned, !aOwned.m_dispatcher->Warm());
  }
  UpstreamId upstream = aOwned.m_config.m_id;
  HttpRequest request{ .m_method = "DELETE",
                       .m_path = absl::StrCat("/work/", task->RequestId()) };
  m_tasks.add(
    m_client
      .Send(EndpointOf(aOwned), std::move(request), m_options.m_cancelTimeout)
      .then([this, upstream, aWork](HttpReply&& aReply) {
        OwnedUpstream* owned = FindOwned(upstream);
        if (owned == nullptr) {
          return;
        }
        bool acknowledged =
          aReply.m_status.ok() && aReply.m_response.m_status == 200;
        if (!acknowledged) {
          // The idle connections may have become unresponsive as well.
          m_client.CloseIdle(EndpointOf(*owned));
        }
        UpstreamResult result{ .m_kind = acknowledged
                                           ? UpstreamResultKind::kCancelled
                                           : UpstreamResultKind::kTimeout,
                               .m_connection = ConnectionDisposition::kClosed };
        Perform(
          *owned,
          owned->m_dispatcher->OnResult(aWork, result, m_loop.Clock().Now()));
      }));
}

void
UpstreamService::ScheduleFinished(OwnedUpstream& aOwned, ActiveTask& aTask)
{
  if (!std::exchange(aTask.m_countedAsSent, false)) {
    return;
  }
  TimePoint end = aTask.m_deadline + m_options.m_dispatcher.m_abandonedMargin;
  m_tasks.add(
    m_loop.Clock().At(end).then([this, upstream = aOwned.m_config.m_id]() {
      m_ownership.OnFinished(upstream);
    }));
}

void
UpstreamService::EndTask(OwnedUpstream& aOwned,
                         std::map<WorkId, ActiveTask>::iterator aTask)
{
  ActiveTask& task = aTask->second;
  if (task.m_countedAsSent) {
    m_ownership.OnFinished(aOwned.m_config.m_id);
  }
  DestroyLater(m_loop, task.m_sendPromise);
  if (task.m_task.get() != nullptr) {
    m_loop.RunLater(
      [ended = kj::mv(task.m_task)]() mutable { ended = nullptr; });
  }
  aOwned.m_tasks.erase(aTask);
}

void
UpstreamService::Probe(OwnedUpstream& aOwned)
{
  UpstreamId upstream = aOwned.m_config.m_id;
  m_tasks.add(m_client
                .Send(EndpointOf(aOwned),
                      { .m_path = "/health" },
                      m_options.m_dispatcher.m_probeTimeout)
                .then([this, upstream](HttpReply&& aReply) {
                  OwnedUpstream* owned = FindOwned(upstream);
                  if (owned != nullptr) {
                    Perform(*owned,
                            owned->m_dispatcher->OnProbe(ReadProbe(aReply),
                                                         m_loop.Clock().Now()));
                  }
                }));
}

void
UpstreamService::SetAlarm(OwnedUpstream& aOwned)
{
  aOwned.m_alarm->Set(aOwned.m_dispatcher->NextTimer());
}

Endpoint
UpstreamService::EndpointOf(const OwnedUpstream& aOwned) const
{
  return { aOwned.m_config.m_host, aOwned.m_config.m_port };
}

} // namespace ebonykeel
