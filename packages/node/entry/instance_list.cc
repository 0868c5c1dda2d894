#include "node/entry/instance_list.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {
namespace {

constexpr int kOkStatus = 200;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kServerErrorStatus = 500;

// Returns whether a later call may succeed where this one did not. One that
// adds an entry which exists is answered with 409.
bool
IsWorthRetry(const Http1Result& aResult)
{
  int status = aResult.m_response.m_status;
  return aResult.m_outcome != Http1Outcome::kAnswered ||
         status == kTooManyRequestsStatus || status >= kServerErrorStatus;
}

} // namespace

InstanceList::InstanceList(
  UvLoop& aLoop,
  Http1Client& aClient,
  const StoreProtocol& aProtocol,
  InstanceListOptions aOptions,
  std::function<void(const std::vector<std::string>&)> aOnListed)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_options(std::move(aOptions))
  , m_onListed(std::move(aOnListed))
{
}

void
InstanceList::OnTick(Duty aDuty, std::span<const std::string> aDeadHosts)
{
  if (aDuty == Duty::kNone) {
    return;
  }
  if (m_listAt && m_loop.Now() >= *m_listAt) {
    List();
  }
  if (aDuty != Duty::kReader) {
    return;
  }
  for (const std::string& host : aDeadHosts) {
    if (std::erase(m_hosts, host) > 0) {
      Remove(host);
    }
  }
}

void
InstanceList::OnEraEntered()
{
  m_needsCurrent = true;
  m_listAt = m_loop.Now();
}

void
InstanceList::List()
{
  m_listAt.reset();
  uint64_t attempt = ++m_attempt;
  ListFreshness freshness =
    m_needsCurrent ? ListFreshness::kCurrent : ListFreshness::kMayBeStale;
  Call(m_protocol.MakeListInstancesRequest(freshness),
       [this, attempt](const Http1Result& aResult) {
         if (attempt == m_attempt) {
           OnListed(aResult);
         }
       });
}

void
InstanceList::OnListed(const Http1Result& aResult)
{
  if (IsWorthRetry(aResult)) {
    m_listAt = m_loop.Now() + m_options.m_retryDelay;
    return;
  }
  auto hosts = m_protocol.ReadInstances(aResult.m_response.m_body);
  bool isRead = aResult.m_response.m_status == kOkStatus && hosts.ok();
  m_hosts = isRead ? *std::move(hosts) : std::vector<std::string>();
  m_onListed(m_hosts);
  if (std::ranges::find(m_hosts, m_options.m_host) == m_hosts.end()) {
    AddSelf();
  }
}

void
InstanceList::AddSelf()
{
  Call(
    m_protocol.MakeAddInstanceRequest(m_options.m_host, m_options.m_dataCentre),
    [this, attempt = m_attempt](const Http1Result& aResult) {
      if (attempt == m_attempt && IsWorthRetry(aResult)) {
        m_listAt = m_loop.Now() + m_options.m_retryDelay;
      }
    });
}

void
InstanceList::Remove(const std::string& aHost)
{
  Call(m_protocol.MakeRemoveInstanceRequest(aHost), [](const Http1Result&) {
    // A failure is harmless: a stale entry costs a later instance one datagram.
  });
}

void
InstanceList::Call(const Http1Request& aRequest,
                   Http1Client::Callback aCallback)
{
  ++m_callCount;
  m_client.Send({ .m_address = m_options.m_store,
                  .m_bytes = SerializeRequest(aRequest),
                  .m_timeout = m_options.m_callTimeout },
                std::move(aCallback));
}

} // namespace ebonykeel
