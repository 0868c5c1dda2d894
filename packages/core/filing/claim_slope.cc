// Counts the store calls that the claims of filings cause, for several rates of
// filings, numbers of buckets and numbers of instances.
//
// The claim batchers run on a simulated clock, with a store that always replies
// after 5 ms.
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/filing/claim_batcher.h"

namespace ebonykeel {
namespace {

constexpr uint64_t kSeed = 7;
constexpr Duration kStoreLatency = Milliseconds(5);
constexpr Duration kUpstreamLatency = Milliseconds(20);
constexpr Duration kWarmUpTime = Seconds(2);
constexpr Duration kMeasuredTime = Seconds(10);
// Short, since the horizon affects the size of an object but not the number of
// calls.
constexpr std::chrono::milliseconds kHorizon{ 500 };
const TimePoint kStart = TimePoint(Seconds(1000));

struct Counts
{
  uint64_t m_filings = 0;
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
  uint64_t m_conflicts = 0;
  uint64_t m_bytesWritten = 0;
  uint64_t m_claimsWritten = 0;
};

struct Object
{
  uint64_t m_version = 0;
  std::string m_value;
};

// Instances that claim requests and record each result 20 ms after the grant.
class Fleet
{
public:
  Fleet(uint32_t aInstances, uint32_t aBuckets, Duration aSpacing)
  {
    for (uint32_t i = 0; i < aInstances; ++i) {
      m_batchers.push_back(std::make_unique<ClaimBatcher>(
        ClaimBatcherSettings{ .m_bucketCount = aBuckets,
                              .m_horizon = kHorizon,
                              .m_clockSkew = std::chrono::milliseconds(0),
                              .m_writeSpacing = aSpacing },
        InstanceId(absl::StrCat("n", i)),
        m_random));
    }
  }

  // Runs `aRate` filings per second, spread evenly over the instances.
  Counts Run(uint32_t aRate)
  {
    std::exponential_distribution<double> gap(aRate / 1e9);
    TimePoint at = kStart;
    while (at < kStart + kWarmUpTime + kMeasuredTime) {
      size_t instance = m_random() % m_batchers.size();
      m_events.emplace(at, [this, instance] { SubmitFiling(instance); });
      at += Duration(static_cast<int64_t>(gap(m_random)));
    }
    RunUntil(kStart + kWarmUpTime);
    m_counts = {};
    RunUntil(kStart + kWarmUpTime + kMeasuredTime);
    return m_counts;
  }

private:
  void After(Duration aDelay, std::function<void()> aEvent)
  {
    m_events.emplace(m_now + aDelay, std::move(aEvent));
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!m_events.empty() && m_events.begin()->first <= aEnd) {
      auto next = m_events.extract(m_events.begin());
      m_now = next.key();
      next.mapped()();
    }
  }

  [[nodiscard]] EventTime At() const
  {
    return { m_now,
             WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
               m_now.time_since_epoch())) };
  }

  void SubmitFiling(size_t aInstance)
  {
    ClaimTicket ticket = ++m_lastTicket;
    ClaimRequest request{ .m_ticket = ticket,
                          .m_key = { CallerName("desk"),
                                     RequestId(absl::StrCat("r", ticket)) },
                          .m_nonce = { ticket, 1 },
                          .m_digest = "0123456789abcdef0123456789abcdef",
                          .m_issuedAt = At().m_wall };
    m_requests[ticket] = request;
    Perform(aInstance, m_batchers[aInstance]->Acquire(request, At()));
  }

  void Record(size_t aInstance, ClaimTicket aTicket)
  {
    const ClaimRequest& request = m_requests[aTicket];
    RecordRequest record{ .m_ticket = aTicket,
                          .m_key = request.m_key,
                          .m_nonce = request.m_nonce,
                          .m_issuedAt = request.m_issuedAt,
                          .m_state = ClaimState::kRan,
                          .m_result = "certificate 0123456789" };
    m_requests.erase(aTicket);
    Perform(aInstance, m_batchers[aInstance]->Record(record, At()));
  }

  void Perform(size_t aInstance, const BatcherActions& aActions)
  {
    for (const BatcherAction& action : aActions) {
      if (const auto* read = std::get_if<BatcherRead>(&action)) {
        ++m_counts.m_reads;
        Reply(aInstance, [this, read = *read] { return Read(read); });
      } else if (const auto* write = std::get_if<BatcherWrite>(&action)) {
        ++m_counts.m_writes;
        m_counts.m_bytesWritten += write->m_value.size();
        m_counts.m_claimsWritten += DecodeBucket(write->m_value)->size();
        Reply(aInstance, [this, write = *write] { return Write(write); });
      } else if (const auto* done = std::get_if<BatcherClaimDone>(&action)) {
        After(kUpstreamLatency, [this, aInstance, ticket = done->m_ticket] {
          Record(aInstance, ticket);
        });
      } else {
        ++m_counts.m_filings;
      }
    }
    ArmTimer(aInstance);
  }

  void ArmTimer(size_t aInstance)
  {
    auto timer = m_batchers[aInstance]->NextTimer();
    if (!timer || *timer < m_now ||
        !m_armedTimers.insert({ aInstance, *timer }).second) {
      return;
    }
    After(*timer - m_now, [this, aInstance, at = *timer] {
      m_armedTimers.erase({ aInstance, at });
      Perform(aInstance, m_batchers[aInstance]->OnTimer(At()));
    });
  }

  // The store processes a call half-way between the call and its reply.
  void Reply(size_t aInstance, const std::function<StoreReply()>& aCall)
  {
    After(kStoreLatency / 2, [this, aInstance, aCall] {
      After(kStoreLatency / 2, [this, aInstance, reply = aCall()] {
        Perform(aInstance, m_batchers[aInstance]->OnStoreReply(reply, At()));
      });
    });
  }

  StoreReply Read(const BatcherRead& aRead)
  {
    const Object& object = m_objects[aRead.m_key];
    bool exists = object.m_version > 0;
    return { .m_call = aRead.m_call,
             .m_kind = exists ? StoreReplyKind::kOk : StoreReplyKind::kNotFound,
             .m_version = object.m_version,
             .m_value = object.m_value };
  }

  StoreReply Write(const BatcherWrite& aWrite)
  {
    Object& object = m_objects[aWrite.m_key];
    if (object.m_version != aWrite.m_ifVersion) {
      ++m_counts.m_conflicts;
      return { .m_call = aWrite.m_call, .m_kind = StoreReplyKind::kConflict };
    }
    object = { aWrite.m_ifVersion + 1, aWrite.m_value };
    return { .m_call = aWrite.m_call,
             .m_kind = StoreReplyKind::kOk,
             .m_version = object.m_version };
  }

  std::mt19937_64 m_random{ kSeed };
  TimePoint m_now = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<std::unique_ptr<ClaimBatcher>> m_batchers;
  std::map<std::string, Object> m_objects;
  std::map<ClaimTicket, ClaimRequest> m_requests;
  std::set<std::pair<size_t, TimePoint>> m_armedTimers;
  ClaimTicket m_lastTicket = 0;
  Counts m_counts;
};

void
PrintLine(uint32_t aInstances,
          uint32_t aBuckets,
          Duration aSpacing,
          uint32_t aRate)
{
  Fleet fleet(aInstances, aBuckets, aSpacing);
  Counts counts = fleet.Run(aRate);
  double seconds = ToMillisecondsF(kMeasuredTime) / 1000;
  auto filings = static_cast<double>(counts.m_filings);
  auto writes = static_cast<double>(counts.m_writes);
  auto reads = static_cast<double>(counts.m_reads);
  std::printf("%9u %7u %7lld %9u %8.1f %8.1f %8.1f %11.2f %11.2f %11.0f\n",
              aInstances,
              aBuckets,
              static_cast<long long>(ToMilliseconds(aSpacing)),
              aRate,
              filings / seconds,
              writes / seconds,
              reads / seconds,
              writes / filings,
              reads / filings,
              static_cast<double>(counts.m_bytesWritten) /
                static_cast<double>(counts.m_claimsWritten));
  std::fflush(stdout);
}

} // namespace
} // namespace ebonykeel

int
main()
{
  std::printf("store calls of the claim batchers, simulated clock, store reply "
              "5 ms, seed 7\n"
              "instances buckets spacing filings/s  ended/s writes/s  reads/s "
              "writes/each  reads/each bytes/claim\n");
  for (uint32_t instances : { 1U, 15U }) {
    for (uint32_t buckets : { 4U, 16U }) {
      for (int64_t spacing : { 0, 20 }) {
        for (uint32_t rate : { 1U, 10U, 100U, 1000U }) {
          ebonykeel::PrintLine(
            instances, buckets, ebonykeel::Milliseconds(spacing), rate);
        }
      }
    }
  }
  return 0;
}
