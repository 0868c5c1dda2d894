#include "node/peer/peer_service.h"

#include <utility>
#include <vector>

#include <kj/debug.h>

#include "core/query/replica_selector.h"
#include "node/filing/filing_task.h"
#include "node/query/search_task.h"
#include "node/wire/peer_codec.h"

namespace ebonykeel {
namespace {

// The largest time budget that a peer can give to a request.
constexpr Duration kMaxTimeBudget = Seconds(60);

WorkPriority
ReadPriority(uint8_t aAttempt)
{
  return aAttempt == static_cast<uint8_t>(AttemptKind::kFirst)
           ? WorkPriority::kInteractive
           : WorkPriority::kSecondary;
}

} // namespace

// Runs the sub-queries of one `search` call. Answers that arrive in one turn of
// the loop are sent to the sink together.
class PeerService::SearchSession final
  : public SubAnswerListener
  , public kj::Refcounted
  , private kj::TaskSet::ErrorHandler
{
public:
  SearchSession(PeerService& aService, wire::AnswerSink::Client aSink)
    : m_service(aService)
    , m_sink(kj::mv(aSink))
    , m_tasks(*this)
  {
    auto paf = kj::newPromiseAndFulfiller<void>();
    m_donePromise = kj::mv(paf.promise);
    m_doneFulfiller = kj::mv(paf.fulfiller);
  }

  ~SearchSession() noexcept override = default;

  kj::Promise<void> Start(wire::SearchRequest::Reader aRequest)
  {
    TimePoint deadline =
      m_service.m_loop.Clock().Now() +
      std::min(FromMicroseconds(aRequest.getRemaining()), kMaxTimeBudget);
    CallerName caller(ToView(aRequest.getCaller()));
    m_unfinished = aRequest.getSubQueries().size();
    for (wire::SubQuery::Reader reader : aRequest.getSubQueries()) {
      SubQuery subQuery{ .m_id = std::string(ToView(reader.getId())),
                         .m_service = ServiceName(ToView(reader.getService())),
                         .m_shard = ShardName(ToView(reader.getShard())),
                         .m_upstream = UpstreamId(ToView(reader.getUpstream())),
                         .m_indexVersion = reader.getIndexVersion(),
                         .m_text = std::string(ToView(aRequest.getText())),
                         .m_limit = aRequest.getLimit() };
      UpstreamWork work{ .m_deadline = deadline,
                         .m_caller = caller,
                         .m_priority = ReadPriority(reader.getAttempt()),
                         .m_hedge = reader.getHedge() };
      Submit(std::move(subQuery), work);
    }
    FulfillIfDone();
    return kj::mv(m_donePromise);
  }

  void OnSubAnswer(SubAnswer aAnswer) override
  {
    if (m_cancelled) {
      return;
    }
    RemoveSubQuery(aAnswer.m_id);
    m_answers.push_back(std::move(aAnswer));
    --m_unfinished;
    if (!std::exchange(m_flushScheduled, true)) {
      m_tasks.add(kj::evalLater([this]() { return DeliverAnswers(); }));
    }
  }

  void CancelSubQuery(std::string_view aId)
  {
    auto ticket = m_tickets.find(aId);
    if (ticket == m_tickets.end()) {
      return;
    }
    m_service.m_upstreams.Cancel(ticket->second);
    RemoveSubQuery(aId);
    --m_unfinished;
    FulfillIfDone();
  }

  void CancelAll()
  {
    m_cancelled = true;
    for (auto& [id, ticket] : std::exchange(m_tickets, {})) {
      m_service.m_sessionsBySubQuery.erase(id);
      m_service.m_upstreams.Cancel(ticket);
    }
  }

private:
  void taskFailed(kj::Exception&& /* aException */) override
  {
    // The peer that made the call has disconnected, so its call is dropped as
    // well.
  }

  void Submit(SubQuery aSubQuery, const UpstreamWork& aWork)
  {
    std::string id = aSubQuery.m_id;
    UpstreamId upstream = aSubQuery.m_upstream;
    m_tickets.emplace(id, UpstreamTicket{});
    m_service.m_sessionsBySubQuery.emplace(id, this);
    UpstreamTicket ticket = m_service.m_upstreams.Submit(
      upstream, aWork, kj::heap<SearchTask>(std::move(aSubQuery), *this));
    auto found = m_tickets.find(id);
    if (found != m_tickets.end()) {
      found->second = ticket;
    }
  }

  void RemoveSubQuery(std::string_view aId)
  {
    auto ticket = m_tickets.find(aId);
    if (ticket != m_tickets.end()) {
      m_tickets.erase(ticket);
    }
    auto running = m_service.m_sessionsBySubQuery.find(aId);
    if (running != m_service.m_sessionsBySubQuery.end() &&
        running->second == this) {
      m_service.m_sessionsBySubQuery.erase(running);
    }
  }

  kj::Promise<void> DeliverAnswers()
  {
    m_flushScheduled = false;
    std::vector<SubAnswer> answers = std::exchange(m_answers, {});
    auto request = m_sink.deliverRequest();
    auto list = request.initAnswers(answers.size());
    for (size_t i = 0; i < answers.size(); ++i) {
      WriteSubAnswer(answers[i], list[i]);
    }
    ++m_deliveriesInFlight;
    return request.send().ignoreResult().then([this]() {
      --m_deliveriesInFlight;
      FulfillIfDone();
    });
  }

  void FulfillIfDone()
  {
    if (m_unfinished == 0 && m_deliveriesInFlight == 0 && m_answers.empty()) {
      m_doneFulfiller->fulfill();
    }
  }

  PeerService& m_service;
  wire::AnswerSink::Client m_sink;
  size_t m_unfinished = 0;
  size_t m_deliveriesInFlight = 0;
  bool m_flushScheduled = false;
  bool m_cancelled = false;
  std::vector<SubAnswer> m_answers;
  std::map<std::string, UpstreamTicket, std::less<>> m_tickets;
  kj::Promise<void> m_donePromise = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> m_doneFulfiller;
  kj::TaskSet m_tasks;
};

PeerService::PeerService(Loop& aLoop,
                         MembershipService& aMembership,
                         OwnershipService& aOwnership,
                         ConfigurationService& aConfiguration,
                         UpstreamService& aUpstreams,
                         BurnReportService& aReports)
  : m_loop(aLoop)
  , m_membership(aMembership)
  , m_ownership(aOwnership)
  , m_configuration(aConfiguration)
  , m_upstreams(aUpstreams)
  , m_reports(aReports)
{
}

kj::Promise<void>
PeerService::ping(PingContext aContext)
{
  Gossip ping = ReadGossip(aContext.getParams().getGossip());
  WriteGossip(m_membership.OnPing(ping), aContext.getResults().initGossip());
  return kj::READY_NOW;
}

kj::Promise<void>
PeerService::search(SearchContext aContext)
{
  aContext.allowCancellation();
  auto params = aContext.getParams();
  auto session = kj::refcounted<SearchSession>(*this, params.getSink());
  kj::Promise<void> done = session->Start(params.getRequest());
  // The order in which attachments are destroyed is unspecified, so the
  // deferred cancellation has to own the session.
  return done.attach(
    kj::defer([session = kj::mv(session)]() mutable { session->CancelAll(); }));
}

kj::Promise<void>
PeerService::cancel(CancelContext aContext)
{
  for (capnp::Text::Reader id : aContext.getParams().getIds()) {
    auto found = m_sessionsBySubQuery.find(ToView(id));
    if (found != m_sessionsBySubQuery.end()) {
      found->second->CancelSubQuery(ToView(id));
    }
  }
  return kj::READY_NOW;
}

kj::Promise<void>
PeerService::file(FileContext aContext)
{
  auto reader = aContext.getParams().getRequest();
  UpstreamFiling request{
    .m_service = ServiceName(ToView(reader.getService())),
    .m_operation = std::string(ToView(reader.getOperation())),
    .m_caller = CallerName(ToView(reader.getCaller())),
    .m_requestId = RequestId(ToView(reader.getRequestId())),
    .m_payload = std::string(ToView(reader.getPayload())),
    .m_shard = ShardName(ToView(reader.getShard())),
    .m_upstream = UpstreamId(ToView(reader.getUpstream()))
  };
  TimePoint deadline =
    m_loop.Clock().Now() +
    std::min(FromMicroseconds(reader.getRemaining()), kMaxTimeBudget);
  return SubmitFiling(m_upstreams, std::move(request), deadline)
    .then([aContext](DispatchResult&& aResult) mutable {
      auto reply = aContext.getResults().initReply();
      reply.setOutcome(static_cast<uint8_t>(aResult.m_outcome));
      reply.setReason(static_cast<uint8_t>(aResult.m_reason));
      reply.setResult(ToText(aResult.m_result));
    });
}

kj::Promise<void>
PeerService::configuration(ConfigurationContext aContext)
{
  ConfigurationPtr inForce = m_configuration.InForce();
  if (inForce == nullptr ||
      inForce->m_generation <= aContext.getParams().getHave()) {
    return kj::READY_NOW;
  }
  aContext.getResults().setGeneration(inForce->m_generation);
  aContext.getResults().setBody(ToText(m_configuration.EncodedConfiguration()));
  return kj::READY_NOW;
}

kj::Promise<void>
PeerService::offer(OfferContext aContext)
{
  auto params = aContext.getParams();
  m_configuration.OnPeerGeneration(InstanceId(ToView(params.getInstance())),
                                   params.getGeneration());
  return kj::READY_NOW;
}

kj::Promise<void>
PeerService::acquire(AcquireContext aContext)
{
  AcquireRequest request =
    ReadAcquireRequest(aContext.getParams().getRequest());
  WriteAcquireResponse(m_ownership.OnAcquire(request),
                       aContext.getResults().initReply());
  return kj::READY_NOW;
}

kj::Promise<void>
PeerService::handOver(HandOverContext aContext)
{
  m_ownership.OnHandOver(ReadHandOverNotice(aContext.getParams().getNotice()));
  return kj::READY_NOW;
}

kj::Promise<void>
PeerService::probe(ProbeContext /* aContext */)
{
  return kj::READY_NOW;
}

kj::Promise<void>
PeerService::burnReport(BurnReportContext aContext)
{
  aContext.getResults().setReport(
    ToText(EncodeBurnReport(m_reports.OwnReport())));
  return kj::READY_NOW;
}

} // namespace ebonykeel
