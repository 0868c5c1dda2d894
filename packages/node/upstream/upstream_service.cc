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

// A reply may come this much after the deadline and still free its slot early.
constexpr Duration kReplyGrace = Milliseconds(20);

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

// Returns what is known of a reply that was not believed, for the log.
std::string
DescribeReply(const HttpReply& aReply)
{
  constexpr size_t kShown = 120;
  if (!aReply.m_status.ok()) {
    return std::string(aReply.m_status.message());
  }
  return absl::StrCat("status ",
                      aReply.m_response.m_status,
                      ", ",
                      aReply.m_response.m_body.size(),
                      " bytes: ",
                      aReply.m_response.m_body.substr(0, kShown));
}

// Whether the upstream may go on with work that ended like this.
bool
MayStillRun(UpstreamResultKind aKind)
{
  return aKind == UpstreamResultKind::kReset ||
         aKind == UpstreamResultKind::kTimeout ||
         aKind == UpstreamResultKind::kBadAnswer;
}

// Frees a promise in a later turn, since it may be on the call stack.
void
DropLater(Loop& aLoop, kj::Maybe<kj::Promise<void>>& aPromise)
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
        if (Owned* owned = FindOwned(replica.m_id)) {
          owned->m_config = replica;
        }
      }
    }
  }
  for (auto& [id, owned] : m_owned) {
    if (configured.contains(id)) {
      ApplyClosures(*owned);
      continue;
    }
    Perform(*owned,
            owned->m_gate->SetClosed(
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
          MakeOwned(replica, service);
        }
      }
    }
  }
  TimePoint now = m_loop.Clock().Now();
  for (auto& [id, owned] : m_owned) {
    bool held = m_ownership.AllowedSlots(id, now) > 0;
    if (held && !owned->m_held) {
      owned->m_gate->OnOwnershipGained(StartOf(id), now);
    }
    owned->m_held = held;
    Perform(*owned, owned->m_gate->OnPermitChanged(now));
  }
}

UpstreamTicket
UpstreamService::Submit(const UpstreamId& aUpstream,
                        const UpstreamWork& aWork,
                        kj::Own<UpstreamTask> aTask)
{
  TimePoint now = m_loop.Clock().Now();
  Owned* owned = FindOwned(aUpstream);
  if (owned == nullptr || m_ownership.AllowedSlots(aUpstream, now) == 0) {
    ++m_counters.m_refused;
    aTask->OnRefused(MissingReason::kNoOwner);
    return {};
  }
  if (aWork.m_hedge && !owned->m_gate->Warm()) {
    ++m_counters.m_refused;
    aTask->OnRefused(MissingReason::kShed);
    return {};
  }
  WorkId work = ++m_lastWork;
  owned->m_tasks.emplace(
    work,
    ActiveTask{ .m_task = kj::mv(aTask), .m_deadline = aWork.m_deadline });
  Perform(*owned,
          owned->m_gate->Enqueue({ .m_id = work,
                                   .m_deadline = aWork.m_deadline,
                                   .m_priority = aWork.m_priority,
                                   .m_caller = aWork.m_caller },
                                 now));
  return { aUpstream, work };
}

void
UpstreamService::Cancel(const UpstreamTicket& aTicket)
{
  Owned* owned = FindOwned(aTicket.m_upstream);
  if (owned == nullptr) {
    return;
  }
  auto task = owned->m_tasks.find(aTicket.m_work);
  if (task == owned->m_tasks.end()) {
    return;
  }
  task->second.m_cancelled = true;
  Perform(*owned, owned->m_gate->Cancel(aTicket.m_work, m_loop.Clock().Now()));
  task = owned->m_tasks.find(aTicket.m_work);
  if (task != owned->m_tasks.end()) {
    EndTask(*owned, task);
  }
}

size_t
UpstreamService::Queued() const
{
  return std::transform_reduce(
    m_owned.begin(),
    m_owned.end(),
    size_t{ 0 },
    std::plus<>(),
    [](auto& aEntry) { return aEntry.second->m_gate->Queued(); });
}

size_t
UpstreamService::InFlight() const
{
  return std::transform_reduce(
    m_owned.begin(),
    m_owned.end(),
    size_t{ 0 },
    std::plus<>(),
    [](auto& aEntry) { return size_t{ aEntry.second->m_gate->InFlight() }; });
}

size_t
UpstreamService::Cold() const
{
  return std::ranges::count_if(m_owned, [](auto& aEntry) {
    return aEntry.second->m_held && !aEntry.second->m_gate->Warm();
  });
}

void
UpstreamService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "upstream task failed", aException);
}

UpstreamService::Owned*
UpstreamService::FindOwned(const UpstreamId& aUpstream)
{
  auto found = m_owned.find(aUpstream);
  return found == m_owned.end() ? nullptr : found->second.get();
}

UpstreamService::Owned&
UpstreamService::MakeOwned(const UpstreamConfig& aConfig,
                           const ServiceConfig& aService)
{
  TimePoint now = m_loop.Clock().Now();
  auto owned = std::make_unique<Owned>();
  Owned* pointer = owned.get();
  owned->m_config = aConfig;
  owned->m_gate = std::make_unique<UpstreamDispatcher>(
    aConfig.m_id,
    UpstreamLimits{ .m_slots = aService.m_slots,
                    .m_connectionLimit = aService.m_connectionLimit },
    m_options.m_gate,
    m_ownership,
    std::make_unique<ColdStartRamp>(
      aService.m_slots, m_options.m_coldStart, now),
    now);
  owned->m_alarm = std::make_unique<Alarm>(m_loop.Clock(), [this, pointer]() {
    Perform(*pointer, pointer->m_gate->OnTimer(m_loop.Clock().Now()));
  });
  m_owned.emplace(aConfig.m_id, std::move(owned));
  ApplyClosures(*pointer);
  return *pointer;
}

void
UpstreamService::ApplyClosures(Owned& aOwned)
{
  TimePoint now = m_loop.Clock().Now();
  const UpstreamConfig& config = aOwned.m_config;
  bool withdrawn =
    m_configuration->m_withdrawnDataCentres.contains(config.m_dataCentre);
  bool drained = m_configuration->m_drainedUpstreams.contains(config.m_id);
  Perform(aOwned,
          aOwned.m_gate->SetClosed(ClosureReason::kWithdrawn, withdrawn, now));
  Perform(aOwned,
          aOwned.m_gate->SetClosed(ClosureReason::kDrained, drained, now));
}

void
UpstreamService::Perform(Owned& aOwned, DispatcherActions aActions)
{
  for (DispatcherAction& action : aActions) {
    std::visit(Overloaded{
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
                   (void)aOwned.m_gate->OnConnectionsClosed(
                     aOwned.m_gate->OpenConnections(), 0, m_loop.Clock().Now());
                 },
                 [&](const ProbeUpstream& /* aProbe */) { Probe(aOwned); } },
               action);
  }
  NoteWarmth(aOwned);
  Arm(aOwned);
}

void
UpstreamService::NoteWarmth(Owned& aOwned)
{
  if (!aOwned.m_held) {
    return;
  }
  WarmthHint hint = aOwned.m_gate->Hint(m_loop.Clock().Now());
  bool warm = aOwned.m_gate->Warm();
  bool changed = warm != aOwned.m_warm || hint.m_limit != aOwned.m_limit ||
                 hint.m_bootId != aOwned.m_bootId;
  if (!changed) {
    return;
  }
  if (aOwned.m_warm && !warm) {
    LogEvent(Event::kUpstreamCold,
             { { "upstream", aOwned.m_config.m_id.Text() },
               { "boot", absl::StrCat(hint.m_bootId) } });
  }
  aOwned.m_warm = warm;
  aOwned.m_limit = hint.m_limit;
  aOwned.m_bootId = hint.m_bootId;
  m_ownership.SetColdStartState(
    aOwned.m_config.m_id,
    { .m_bootId = hint.m_bootId,
      .m_limit = hint.m_limit,
      .m_expectedLatency = hint.m_expectedLatency });
}

OwnershipStart
UpstreamService::StartOf(const UpstreamId& aUpstream) const
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
UpstreamService::Dispatch(Owned& aOwned, WorkId aWork)
{
  auto found = aOwned.m_tasks.find(aWork);
  if (found == aOwned.m_tasks.end()) {
    return;
  }
  ActiveTask& task = found->second;
  const UpstreamId& upstream = aOwned.m_config.m_id;
  Duration remaining = task.m_deadline - m_loop.Clock().Now();
  ++m_counters.m_dispatched;
  task.m_counted = true;
  m_ownership.OnSent(upstream, task.m_deadline);
  task.m_sending = m_client
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
  Owned* owned = FindOwned(aUpstream);
  if (owned == nullptr) {
    return;
  }
  auto found = owned->m_tasks.find(aWork);
  if (found == owned->m_tasks.end()) {
    return;
  }
  UpstreamResult result =
    found->second.m_task->OnReply(aReply, !owned->m_gate->Warm());
  if (result.m_kind == UpstreamResultKind::kBadAnswer) {
    ++m_counters.m_badAnswers;
    LogEvent(Event::kUpstreamBadAnswer,
             { { "upstream", aUpstream.Text() },
               { "problem", DescribeReply(aReply) } });
  }
  if (MayStillRun(result.m_kind)) {
    FinishLater(*owned, found->second);
  }
  EndTask(*owned, found);
  Perform(*owned, owned->m_gate->OnResult(aWork, result, m_loop.Clock().Now()));
}

void
UpstreamService::Refuse(Owned& aOwned, WorkId aWork, MissingReason aReason)
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
UpstreamService::CancelInFlight(Owned& aOwned, WorkId aWork)
{
  auto found = aOwned.m_tasks.find(aWork);
  if (found == aOwned.m_tasks.end()) {
    return;
  }
  ++m_counters.m_cancelled;
  kj::Own<UpstreamTask> task = kj::mv(found->second.m_task);
  bool tell = !found->second.m_cancelled;
  FinishLater(aOwned, found->second);
  EndTask(aOwned, found);
  if (tell) {
    HttpReply abandoned{ .m_status = absl::DeadlineExceededError("abandoned"),
                         .m_progress = HttpProgress::kSent };
    (void)task->OnReply(abandoned, !aOwned.m_gate->Warm());
  }
  UpstreamId upstream = aOwned.m_config.m_id;
  HttpRequest request{ .m_method = "DELETE",
                       .m_path = absl::StrCat("/work/", task->RequestId()) };
  m_tasks.add(
    m_client
      .Send(EndpointOf(aOwned), std::move(request), m_options.m_cancelTimeout)
      .then([this, upstream, aWork](HttpReply&& aReply) {
        Owned* owned = FindOwned(upstream);
        if (owned == nullptr) {
          return;
        }
        bool acknowledged =
          aReply.m_status.ok() && aReply.m_response.m_status == 200;
        if (!acknowledged) {
          // Kept connections may have gone silent as well.
          m_client.CloseIdle(EndpointOf(*owned));
        }
        UpstreamResult result{ .m_kind = acknowledged
                                           ? UpstreamResultKind::kCancelled
                                           : UpstreamResultKind::kTimeout,
                               .m_connection = ConnectionDisposition::kClosed };
        Perform(*owned,
                owned->m_gate->OnResult(aWork, result, m_loop.Clock().Now()));
      }));
}

void
UpstreamService::FinishLater(Owned& aOwned, ActiveTask& aTask)
{
  if (!std::exchange(aTask.m_counted, false)) {
    return;
  }
  TimePoint end = aTask.m_deadline + m_options.m_gate.m_abandonedMargin;
  m_tasks.add(
    m_loop.Clock().At(end).then([this, upstream = aOwned.m_config.m_id]() {
      m_ownership.OnFinished(upstream);
    }));
}

void
UpstreamService::EndTask(Owned& aOwned,
                         std::map<WorkId, ActiveTask>::iterator aTask)
{
  ActiveTask& task = aTask->second;
  if (task.m_counted) {
    m_ownership.OnFinished(aOwned.m_config.m_id);
  }
  DropLater(m_loop, task.m_sending);
  if (task.m_task.get() != nullptr) {
    m_loop.RunLater([held = kj::mv(task.m_task)]() mutable { held = nullptr; });
  }
  aOwned.m_tasks.erase(aTask);
}

void
UpstreamService::Probe(Owned& aOwned)
{
  UpstreamId upstream = aOwned.m_config.m_id;
  m_tasks.add(m_client
                .Send(EndpointOf(aOwned),
                      { .m_path = "/health" },
                      m_options.m_gate.m_probeTimeout)
                .then([this, upstream](HttpReply&& aReply) {
                  Owned* owned = FindOwned(upstream);
                  if (owned != nullptr) {
                    Perform(*owned,
                            owned->m_gate->OnProbe(ReadProbe(aReply),
                                                   m_loop.Clock().Now()));
                  }
                }));
}

void
UpstreamService::Arm(Owned& aOwned)
{
  aOwned.m_alarm->Set(aOwned.m_gate->NextTimer());
}

Endpoint
UpstreamService::EndpointOf(const Owned& aOwned) const
{
  return { aOwned.m_config.m_host, aOwned.m_config.m_port };
}

} // namespace ebonykeel
