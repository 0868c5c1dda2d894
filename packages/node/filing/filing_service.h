// Runs the filings that callers send to this instance. A filing is a request
// that must run at most once.
#pragma once

#include <map>
#include <memory>
#include <string>

#include <kj/async.h>

#include "absl/random/bit_gen_ref.h"
#include "core/filing/claim_batcher.h"
#include "core/filing/filing_run.h"
#include "core/query/replica_selector.h"
#include "core/query/snapshot_tracker.h"
#include "node/cluster/membership_service.h"
#include "node/cluster/ownership_service.h"
#include "node/upstream/upstream_protocol.h"
#include "node/upstream/upstream_service.h"
#include "runtime/loop/alarm.h"
#include "runtime/peer/links.h"
#include "runtime/store/object_store.h"

namespace ebonykeel {

// A filing of a caller. The service and the operation have been checked against
// the configuration.
struct FilingInput
{
  ServiceName m_service;
  std::string m_operation;
  CallerName m_caller;
  RequestId m_requestId;
  // Determines the shard.
  std::string m_key;
  std::string m_payload;
  WallTime m_issuedAt;
  TimePoint m_deadline;
};

struct FilingTotals
{
  uint64_t m_ran = 0;
  uint64_t m_repeated = 0;
  uint64_t m_notRun = 0;
  uint64_t m_unknown = 0;
};

// All references must outlive the service.
class FilingService final
  : private DispatchGuard
  , private kj::TaskSet::ErrorHandler
{
public:
  FilingService(Loop& aLoop,
                PeerLinks& aLinks,
                ObjectStore& aStore,
                OwnershipService& aOwnership,
                UpstreamService& aUpstreams,
                SnapshotTracker& aSnapshots,
                ReplicaSelector& aSelector,
                InstanceId aSelf,
                absl::BitGenRef aRandom);
  ~FilingService() noexcept override;

  [[nodiscard]] kj::Promise<FilingAnswer> Run(FilingInput aInput);

  [[nodiscard]] const FilingTotals& Totals() const { return m_totals; }
  // Returns the number of filings that wait for an answer or for their record.
  [[nodiscard]] size_t Active() const { return m_activeFilings.size(); }

private:
  struct ActiveFiling;

  // The shard and the upstream that a filing is sent to.
  struct Target
  {
    ShardName m_shard;
    UpstreamId m_upstream;
  };

  [[nodiscard]] bool MayDispatch(TimePoint aNow) const override;
  void taskFailed(kj::Exception&& aException) override;
  [[nodiscard]] EventTime CurrentTime() const;
  void PerformFiling(ActiveFiling& aFiling, FilingActions aActions);
  void PerformBatcher(BatcherActions aActions);
  void Dispatch(ActiveFiling& aFiling, TimePoint aDispatchDeadline);
  [[nodiscard]] kj::Promise<DispatchResult> SendToOwner(
    UpstreamFiling aRequest,
    TimePoint aDispatchDeadline);
  [[nodiscard]] kj::Promise<DispatchResult> SendToPeer(
    const std::string& aAddress,
    UpstreamFiling aRequest,
    TimePoint aDispatchDeadline);
  [[nodiscard]] std::optional<Target> ChooseTarget(const FilingInput& aInput);
  void SendAnswer(ActiveFiling& aFiling, FilingAnswer aAnswer);
  void OnStoreReply(const StoreReply& aReply);
  void RemoveIfEnded(ClaimTicket aTicket);
  ActiveFiling* FindActive(ClaimTicket aTicket);

  Loop& m_loop;
  PeerLinks& m_links;
  ObjectStore& m_store;
  OwnershipService& m_ownership;
  UpstreamService& m_upstreams;
  SnapshotTracker& m_snapshots;
  ReplicaSelector& m_selector;
  absl::BitGenRef m_random;
  ClaimBatcher m_batcher;
  FilingSettings m_settings;
  ClaimTicket m_lastTicket = 0;
  std::map<ClaimTicket, std::unique_ptr<ActiveFiling>> m_activeFilings;
  FilingTotals m_totals;
  Alarm m_batcherAlarm;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
