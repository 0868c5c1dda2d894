// The platform stand-in's HTTP API over its object store and instance list,
// with the faults that a test switches on.
//
//   PlatformService service(loop.Clock(), {});
//   HttpListener listener(loop, service);
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "runtime/loop/loop.h"
#include "standins/platform/instance_list.h"
#include "standins/platform/object_store.h"
#include "standins/support/http_listener.h"
#include "standins/support/token_bucket.h"

namespace ebonykeel::standins {

struct PlatformOptions
{
  Duration m_listLag = Seconds(1);
  // Calls a second; 0 means no limit.
  double m_readRate = 0;
  double m_writeRate = 0;
};

// The faults that `POST /standin/faults` sets, all at once or in part.
struct PlatformFaults
{
  // What becomes of a call while `m_outage` holds: "reset", "refuse" (status
  // 503) or "hang".
  bool m_outage = false;
  std::string m_outageMode = "reset";
  // Calls are applied at once and answered this much later.
  Duration m_latency = Duration::zero();
  // Changes are applied this much after they arrive.
  Duration m_applyDelay = Duration::zero();
  // How many of the next changes are applied without an answer, and which.
  uint64_t m_loseReplies = 0;
  std::string m_loseRepliesMethod;
  // A lost reply leaves the connection open in place of a reset.
  bool m_hangOnLostReply = false;
  // Each change is applied a second time after `kDuplicateDelay`.
  bool m_duplicateChanges = false;
  // Reads show what stood this long ago.
  Duration m_staleness = Duration::zero();
  Duration m_listLag = Seconds(1);
};

struct PlatformCounters
{
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
  uint64_t m_watchesStarted = 0;
  uint64_t m_watchesWaiting = 0;
  uint64_t m_instanceListReads = 0;
  // Calls refused by an outage or a rate limit.
  uint64_t m_refused = 0;
};

// The clock must outlive the service.
class PlatformService final
  : public StandinHandler
  , private kj::TaskSet::ErrorHandler
{
public:
  static constexpr size_t kMaxObjectBytes = size_t{ 1 } << 20;
  static constexpr Duration kDuplicateDelay = Milliseconds(500);

  PlatformService(RuntimeClock& aClock, const PlatformOptions& aOptions);
  ~PlatformService() noexcept override;

  kj::Promise<Reply> Handle(HttpRequest aRequest) override;

private:
  class Watch;

  kj::Promise<Reply> HandleControl(const HttpRequest& aRequest);
  Reply ChangeInstance(const HttpRequest& aRequest);
  Reply SetFaults(const HttpRequest& aRequest);
  [[nodiscard]] Reply CountersReply() const;

  kj::Promise<Reply> HandleApiCall(HttpRequest aRequest);
  kj::Promise<Reply> HandleObject(HttpRequest aRequest);
  [[nodiscard]] Reply ListInstances() const;
  [[nodiscard]] Reply ListObjects(const HttpRequest& aRequest) const;
  [[nodiscard]] Reply ReadObject(const std::string& aKey) const;
  kj::Promise<Reply> StartWatch(const HttpRequest& aRequest,
                                const std::string& aKey);
  kj::Promise<void> WaitForChange(const std::string& aKey,
                                  uint64_t aVersion,
                                  TimePoint aDeadline);
  kj::Promise<Reply> ChangeObject(HttpRequest aRequest);
  Reply ApplyChange(const HttpRequest& aRequest);
  [[nodiscard]] bool TakeReplyLoss(std::string_view aMethod);
  [[nodiscard]] Reply OutageReply() const;
  [[nodiscard]] TimePoint ReadTime() const;
  void taskFailed(kj::Exception&& aException) override;

  RuntimeClock& m_clock;
  PlatformFaults m_faults;
  PlatformCounters m_counters;
  ObjectStore m_objects;
  InstanceList m_instances;
  TokenBucket m_reads;
  TokenBucket m_writes;
  // The waiting watches by key; null keys never occur.
  std::multimap<std::string, Watch*, std::less<>> m_watches;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel::standins
