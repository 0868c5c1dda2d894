#include "node/query/query_service.h"

#include <algorithm>
#include <utility>

#include <kj/debug.h>

#include "node/wire/peer_codec.h"
#include "runtime/log/events.h"

namespace ebonykeel {
namespace {

// Passes the answers that another instance streams back on to their query.
class RemoteAnswerSink final : public wire::AnswerSink::Server
{
public:
  RemoteAnswerSink(QueryService& aService, uint64_t aQueryNumber)
    : m_service(aService)
    , m_queryNumber(aQueryNumber)
  {
  }

  kj::Promise<void> deliver(DeliverContext aContext) override
  {
    for (wire::SubAnswer::Reader answer : aContext.getParams().getAnswers()) {
      m_service.OnRemoteAnswer(m_queryNumber, ReadSubAnswer(answer));
    }
    return kj::READY_NOW;
  }

private:
  QueryService& m_service;
  uint64_t m_queryNumber;
};

// The attempts to send to one owner.
struct OwnerBatch
{
  std::string m_peerAddress;
  std::vector<SendSubQuery> m_attempts;
};

void
WriteSearchRequest(const OwnerBatch& aBatch,
                   const QueryRequest& aQuery,
                   Generation aGeneration,
                   wire::SearchRequest::Builder aBuilder)
{
  aBuilder.setCaller(ToText(aQuery.m_caller.Text()));
  aBuilder.setText(ToText(aQuery.m_text));
  aBuilder.setLimit(aQuery.m_limit);
  aBuilder.setGeneration(aGeneration);
  Duration remaining{ 0 };
  auto list = aBuilder.initSubQueries(aBatch.m_attempts.size());
  for (size_t i = 0; i < aBatch.m_attempts.size(); ++i) {
    const SubQuery& subQuery = aBatch.m_attempts[i].m_subQuery;
    remaining = std::max(remaining, aBatch.m_attempts[i].m_remaining);
    list[i].setId(ToText(subQuery.m_id));
    list[i].setService(ToText(subQuery.m_service.Text()));
    list[i].setShard(ToText(subQuery.m_shard.Text()));
    list[i].setUpstream(ToText(subQuery.m_upstream.Text()));
    list[i].setIndexVersion(subQuery.m_indexVersion);
    list[i].setHedge(subQuery.m_hedge);
    list[i].setAttempt(
      static_cast<uint8_t>(aBatch.m_attempts[i].m_attemptKind));
  }
  aBuilder.setRemaining(ToMicroseconds(remaining));
}

} // namespace

// A running query, with its timer and its calls to owners.
class QueryService::ActiveQuery final
  : public SubAnswerListener
  , private kj::TaskSet::ErrorHandler
{
public:
  ActiveQuery(QueryService& aService,
              uint64_t aQueryNumber,
              QueryRequest aRequest,
              kj::Own<kj::PromiseFulfiller<QueryAnswer>> aFulfiller)
    : m_service(aService)
    , m_queryNumber(aQueryNumber)
    , m_run(std::move(aRequest),
            { aService.m_snapshots,
              aService.m_selector,
              aService.m_hedgePolicy,
              aService.m_retryBudget },
            SubQueryIds(aService.m_bootId, aQueryNumber))
    , m_fulfiller(kj::mv(aFulfiller))
    , m_alarm(aService.m_loop.Clock(), [this]() { OnTimer(); })
    , m_calls(*this)
  {
  }

  ~ActiveQuery() noexcept override = default;

  void Start() { Perform(m_run.Start(Now())); }

  void OnSubAnswer(SubAnswer aAnswer) override
  {
    m_localTickets.erase(aAnswer.m_id);
    m_remoteSubQueries.erase(aAnswer.m_id);
    Perform(m_run.OnSubAnswer(aAnswer, Now()));
  }

  [[nodiscard]] const QueryRun& Run() const { return m_run; }

private:
  [[nodiscard]] TimePoint Now() const { return m_service.m_loop.Clock().Now(); }

  void taskFailed(kj::Exception&& aException) override
  {
    KJ_LOG(ERROR, "query call failed", aException);
  }

  void OnTimer() { Perform(m_run.OnTimer(Now())); }

  // A sub-answer may arrive while actions are being performed, so actions are
  // queued and performed by the outermost call.
  void Perform(std::vector<QueryAction> aActions)
  {
    std::ranges::move(aActions, std::back_inserter(m_queuedActions));
    if (m_performing) {
      return;
    }
    m_performing = true;
    while (!m_queuedActions.empty() && !m_ended) {
      std::vector<QueryAction> actions = std::exchange(m_queuedActions, {});
      PerformAll(actions);
    }
    m_performing = false;
    if (!m_ended) {
      m_alarm.Set(m_run.NextTimer());
    }
  }

  void PerformAll(std::vector<QueryAction>& aActions)
  {
    std::map<InstanceId, OwnerBatch> batches;
    std::vector<SubQuery> ownerless;
    std::vector<SendSubQuery> local;
    for (QueryAction& action : aActions) {
      if (auto* attempt = std::get_if<SendSubQuery>(&action)) {
        AssignToOwner(std::move(*attempt), batches, local, ownerless);
      } else if (auto* cancel = std::get_if<CancelSubQuery>(&action)) {
        Cancel(*cancel);
      } else if (auto* finish = std::get_if<Finish>(&action)) {
        End(std::move(finish->m_answer));
        return;
      }
    }
    for (auto& [owner, batch] : batches) {
      SendRemote(std::move(batch));
    }
    for (SendSubQuery& attempt : local) {
      SendLocal(std::move(attempt));
    }
    for (const SubQuery& subQuery : ownerless) {
      OnSubAnswer(FailedAnswer(subQuery, MissingReason::kNoOwner));
    }
    SendCancellations();
  }

  void AssignToOwner(SendSubQuery aAttempt,
                     std::map<InstanceId, OwnerBatch>& aBatches,
                     std::vector<SendSubQuery>& aLocal,
                     std::vector<SubQuery>& aOwnerless)
  {
    const UpstreamId& upstream = aAttempt.m_subQuery.m_upstream;
    if (m_service.m_ownership.Owns(upstream)) {
      aLocal.push_back(std::move(aAttempt));
      return;
    }
    const InstanceRecord* owner = m_service.m_ownership.OwnerOf(upstream);
    if (owner == nullptr) {
      aOwnerless.push_back(std::move(aAttempt.m_subQuery));
      return;
    }
    OwnerBatch& batch = aBatches[owner->m_id];
    batch.m_peerAddress = owner->m_peerAddress;
    batch.m_attempts.push_back(std::move(aAttempt));
  }

  void SendLocal(SendSubQuery aAttempt)
  {
    std::string id = aAttempt.m_subQuery.m_id;
    UpstreamId upstream = aAttempt.m_subQuery.m_upstream;
    UpstreamWork work{ .m_deadline = Now() + aAttempt.m_remaining,
                       .m_caller = m_run.Request().m_caller,
                       .m_priority =
                         aAttempt.m_attemptKind == AttemptKind::kFirst
                           ? WorkPriority::kInteractive
                           : WorkPriority::kSecondary,
                       .m_hedge = aAttempt.m_subQuery.m_hedge };
    m_localTickets.emplace(id, UpstreamTicket{});
    UpstreamTicket ticket = m_service.m_upstreams.Submit(
      upstream,
      work,
      kj::heap<SearchTask>(std::move(aAttempt.m_subQuery), *this));
    auto found = m_localTickets.find(id);
    if (found != m_localTickets.end()) {
      found->second = ticket;
    }
  }

  void SendRemote(OwnerBatch aBatch)
  {
    for (const SendSubQuery& attempt : aBatch.m_attempts) {
      m_remoteSubQueries.emplace(
        attempt.m_subQuery.m_id,
        RemoteSubQuery{ attempt.m_subQuery, aBatch.m_peerAddress });
    }
    std::vector<std::string> ids;
    std::ranges::transform(
      aBatch.m_attempts,
      std::back_inserter(ids),
      [](const SendSubQuery& aAttempt) { return aAttempt.m_subQuery.m_id; });
    std::string address = aBatch.m_peerAddress;
    Generation generation = m_service.m_snapshots.InForce() == nullptr
                              ? 0
                              : m_service.m_snapshots.InForce()->m_generation;
    auto call = m_service.m_links.Connect(address).then(
      [this, generation, batch = std::move(aBatch)](wire::Peer::Client aPeer) {
        auto request = aPeer.searchRequest();
        WriteSearchRequest(
          batch, m_run.Request(), generation, request.initRequest());
        request.setSink(kj::heap<RemoteAnswerSink>(m_service, m_queryNumber));
        return request.send().ignoreResult();
      });
    m_calls.add(call.then(
      // The owner sends no more answers once its call has returned, so the
      // sub-queries without an answer have failed.
      [this, ids]() { FailUnanswered(ids); },
      [this, ids, address](kj::Exception&& aException) {
        LogEvent(Event::kPeerFailed,
                 { { "address", address },
                   { "call", "search" },
                   { "reason", aException.getDescription().cStr() } });
        m_service.m_links.Drop(address);
        FailUnanswered(ids);
      }));
  }

  void FailUnanswered(const std::vector<std::string>& aIds)
  {
    for (const std::string& id : aIds) {
      auto found = m_remoteSubQueries.find(id);
      if (found != m_remoteSubQueries.end() && !m_ended) {
        SubQuery subQuery = found->second.m_subQuery;
        OnSubAnswer(FailedAnswer(subQuery, MissingReason::kUnreachable));
      }
    }
  }

  void Cancel(const CancelSubQuery& aCancel)
  {
    auto local = m_localTickets.find(aCancel.m_id);
    if (local != m_localTickets.end()) {
      m_service.m_upstreams.Cancel(local->second);
      m_localTickets.erase(local);
      return;
    }
    auto remote = m_remoteSubQueries.find(aCancel.m_id);
    if (remote != m_remoteSubQueries.end()) {
      m_cancelledIds[remote->second.m_peerAddress].push_back(aCancel.m_id);
      m_service.m_links.Verify(remote->second.m_peerAddress);
      m_remoteSubQueries.erase(remote);
    }
  }

  void SendCancellations()
  {
    for (auto& [address, ids] : std::exchange(m_cancelledIds, {})) {
      m_calls.add(m_service.m_links.Connect(address)
                    .then([ids = std::move(ids)](wire::Peer::Client aPeer) {
                      auto request = aPeer.cancelRequest();
                      auto list = request.initIds(ids.size());
                      for (size_t i = 0; i < ids.size(); ++i) {
                        list.set(i, ToText(ids[i]));
                      }
                      return request.send().ignoreResult();
                    })
                    .catch_([](kj::Exception&& /* aException */) {
                      // Work that is not cancelled ends by its deadline.
                    }));
    }
  }

  // The destruction of this object drops the calls to owners, which cancels the
  // work that is still running there.
  void End(QueryAnswer aAnswer)
  {
    m_ended = true;
    for (const auto& [id, ticket] : m_localTickets) {
      m_service.m_upstreams.Cancel(ticket);
    }
    m_localTickets.clear();
    m_fulfiller->fulfill(std::move(aAnswer));
    m_service.End(m_queryNumber);
  }

  struct RemoteSubQuery
  {
    SubQuery m_subQuery;
    std::string m_peerAddress;
  };

  QueryService& m_service;
  uint64_t m_queryNumber;
  QueryRun m_run;
  kj::Own<kj::PromiseFulfiller<QueryAnswer>> m_fulfiller;
  std::vector<QueryAction> m_queuedActions;
  bool m_performing = false;
  bool m_ended = false;
  std::map<std::string, UpstreamTicket> m_localTickets;
  std::map<std::string, RemoteSubQuery> m_remoteSubQueries;
  // The ids of cancelled sub-queries, by the peer address of their owner.
  std::map<std::string, std::vector<std::string>> m_cancelledIds;
  Alarm m_alarm;
  kj::TaskSet m_calls;
};

QueryService::QueryService(Loop& aLoop,
                           PeerLinks& aLinks,
                           OwnershipService& aOwnership,
                           UpstreamService& aUpstreams,
                           SnapshotTracker& aSnapshots,
                           ReplicaSelector& aSelector,
                           HedgePolicy& aHedgePolicy,
                           BootId aBootId)
  : m_loop(aLoop)
  , m_links(aLinks)
  , m_ownership(aOwnership)
  , m_upstreams(aUpstreams)
  , m_snapshots(aSnapshots)
  , m_selector(aSelector)
  , m_hedgePolicy(aHedgePolicy)
  , m_retryBudget(MakeRetryBudget())
  , m_bootId(aBootId)
  , m_tasks(*this)
{
}

QueryService::~QueryService() = default;

kj::Promise<QueryAnswer>
QueryService::Run(QueryRequest aRequest)
{
  auto paf = kj::newPromiseAndFulfiller<QueryAnswer>();
  uint64_t number = ++m_lastQueryNumber;
  auto query = std::make_unique<ActiveQuery>(
    *this, number, std::move(aRequest), kj::mv(paf.fulfiller));
  ActiveQuery& started = *query;
  m_activeQueries.emplace(number, std::move(query));
  started.Start();
  return kj::mv(paf.promise);
}

void
QueryService::OnRemoteAnswer(uint64_t aQueryNumber, SubAnswer aAnswer)
{
  auto found = m_activeQueries.find(aQueryNumber);
  if (found == m_activeQueries.end()) {
    ++m_totals.m_ignoredAnswers;
    return;
  }
  found->second->OnSubAnswer(std::move(aAnswer));
}

void
QueryService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "query task failed", aException);
}

void
QueryService::End(uint64_t aQueryNumber)
{
  auto found = m_activeQueries.find(aQueryNumber);
  if (found == m_activeQueries.end()) {
    return;
  }
  const QueryCounts& counts = found->second->Run().Counts();
  ++m_totals.m_queries;
  m_totals.m_firstAttempts += counts.m_first;
  m_totals.m_hedges += counts.m_hedges;
  m_totals.m_retries += counts.m_retries;
  m_totals.m_ignoredAnswers +=
    counts.m_ignoredLate + counts.m_ignoredUnknown + counts.m_ignoredMismatched;
  // Destroyed in a later turn of the loop, since the query is on the call
  // stack.
  auto ended = kj::heap(std::move(found->second));
  m_activeQueries.erase(found);
  m_loop.RunLater([ended = kj::mv(ended)]() mutable { ended = nullptr; });
}

} // namespace ebonykeel
