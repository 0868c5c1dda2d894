// The HTTP API of the platform stand-in on top of its object store and instance
// list, with faults that a test can switch on.
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
  // The initial age of the returned instance list.
  Duration m_listLag = Seconds(1);
  // Calls per second; 0 means no limit.
  double m_readRate = 0;
  double m_writeRate = 0;
};

// The faults that `POST /standin/faults` sets. A request may contain any of
// them; the others keep their values.
struct PlatformFaults
{
  // While `m_outage` is set, each call fails as `m_outageMode` says: "reset" of
  // the connection, "refuse" (status 503) or "hang".
  bool m_outage = false;
  std::string m_outageMode = "reset";
  // Delays the reply to a call, but not its effect.
  Duration m_latency = Duration::zero();
  // Delays the effect of a change.
  Duration m_applyDelay = Duration::zero();
  // The number of next changes that are applied but get no reply, and the HTTP
  // method that they must have; empty means any.
  uint64_t m_loseReplies = 0;
  std::string m_loseRepliesMethod;
  // A lost reply leaves the connection open instead of resetting it.
  bool m_hangOnLostReply = false;
  // Each change is applied a second time, `kDuplicateDelay` after the first.
  bool m_duplicateChanges = false;
  // Reads and watches return the state from this long ago.
  Duration m_staleness = Duration::zero();
  // The age of the returned instance list.
  Duration m_listLag = Seconds(1);
};

struct PlatformCounters
{
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
  uint64_t m_watchesStarted = 0;
  uint64_t m_watchesWaiting = 0;
  uint64_t m_instanceListReads = 0;
  // Calls that failed because of an outage or a rate limit.
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
  // Returns whether the reply to the next change is lost, and counts the loss.
  [[nodiscard]] bool TakeReplyLoss(std::string_view aMethod);
  [[nodiscard]] Reply OutageReply() const;
  // The time whose state reads return.
  [[nodiscard]] TimePoint ReadTime() const;
  void taskFailed(kj::Exception&& aException) override;

  RuntimeClock& m_clock;
  PlatformFaults m_faults;
  PlatformCounters m_counters;
  ObjectStore m_objects;
  InstanceList m_instances;
  TokenBucket m_reads;
  TokenBucket m_writes;
  // The waiting watches by the key of their object. Not owned.
  std::multimap<std::string, Watch*, std::less<>> m_watches;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel::standins
