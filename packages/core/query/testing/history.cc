#include "core/query/testing/history.h"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace ebonykeel::testing {
namespace {

using Kind = Event::Kind;
// The shard maps of all configurations, by service and index version.
using ShardMaps =
  std::map<std::pair<ServiceName, IndexVersion>, std::set<ShardName>>;

struct Origin
{
  std::string m_text;
  std::string m_service;
  IndexVersion m_version = 0;
  std::string m_shard;
};

Origin
OriginOf(const Hit& aHit)
{
  std::vector<std::string> parts = absl::StrSplit(aHit.m_document, '|');
  parts.resize(4);
  return { parts[0], parts[1], std::stoull("0" + parts[2]), parts[3] };
}

ShardMaps
ShardMapsOf(const History& aHistory)
{
  ShardMaps maps;
  for (const Event& event : aHistory.m_events) {
    if (event.m_kind != Kind::kConfiguration) {
      continue;
    }
    for (const ServiceConfig& service : event.m_configuration->m_services) {
      for (const ShardConfig& shard : service.m_shards) {
        maps[{ service.m_name, service.m_indexVersion }].insert(shard.m_name);
      }
    }
  }
  return maps;
}

// Calls `aCheck(finish event, service answer)` for each service of each answer.
template<typename Check>
void
ForEachServiceAnswer(const History& aHistory, Check aCheck)
{
  for (const Event& event : aHistory.m_events) {
    if (event.m_kind == Kind::kFinish) {
      for (const ServiceAnswer& serviceAnswer : event.m_finish.m_services) {
        aCheck(event, serviceAnswer);
      }
    }
  }
}

struct SearchedShardSet
{
  std::set<ShardName> m_whole;
  std::set<ShardName> m_partial;
};

// Recomputes from the events which shards were searched for `aQuery` at
// `aVersion`.
SearchedShardSet
SearchedShards(const History& aHistory,
               size_t aQuery,
               const ServiceName& aService,
               IndexVersion aVersion)
{
  SearchedShardSet searched;
  std::map<std::string, SubQuery> open;
  for (const Event& event : aHistory.m_events) {
    if (event.m_query != aQuery) {
      continue;
    }
    if (event.m_kind == Kind::kSend) {
      open.emplace(event.m_send.m_subQuery.m_id, event.m_send.m_subQuery);
    }
    if (event.m_kind == Kind::kCancel) {
      open.erase(event.m_cancelled);
    }
    auto sent = open.find(event.m_answer.m_id);
    if (event.m_kind != Kind::kDeliver || sent == open.end()) {
      continue;
    }
    SubQuery subQuery = sent->second;
    open.erase(sent);
    const SubAnswer& answer = event.m_answer;
    bool counts = answer.m_reason == MissingReason::kNone &&
                  answer.m_upstream == subQuery.m_upstream &&
                  answer.m_shard == subQuery.m_shard &&
                  answer.m_indexVersion == subQuery.m_indexVersion &&
                  subQuery.m_service == aService &&
                  subQuery.m_indexVersion == aVersion;
    if (counts) {
      (answer.m_whole ? searched.m_whole : searched.m_partial)
        .insert(subQuery.m_shard);
    }
  }
  return searched;
}

} // namespace

Hit
HitFor(const SubQuery& aSubQuery, double aScore)
{
  return { .m_document = absl::StrCat(aSubQuery.m_text,
                                      "|",
                                      aSubQuery.m_service.Text(),
                                      "|",
                                      aSubQuery.m_indexVersion,
                                      "|",
                                      aSubQuery.m_shard.Text()),
           .m_score = aScore };
}

Violations
CheckSingleSnapshot(const History& aHistory)
{
  Violations violations;
  ShardMaps maps = ShardMapsOf(aHistory);
  ForEachServiceAnswer(
    aHistory, [&](const Event&, const ServiceAnswer& aServiceAnswer) {
      const auto& map =
        maps[{ aServiceAnswer.m_service, aServiceAnswer.m_indexVersion }];
      if (aServiceAnswer.m_coverage.m_shards != map.size()) {
        violations.push_back(
          absl::StrCat("shard count differs from the version's shard map: ",
                       aServiceAnswer.m_coverage.m_shards));
      }
      for (const Hit& hit : aServiceAnswer.m_hits) {
        Origin origin = OriginOf(hit);
        bool same = origin.m_version == aServiceAnswer.m_indexVersion &&
                    map.contains(ShardName(origin.m_shard));
        if (!same) {
          violations.push_back(absl::StrCat(
            "hit of another index version or shard map: ", hit.m_document));
        }
      }
    });
  return violations;
}

Violations
CheckTrueCoverage(const History& aHistory)
{
  Violations violations;
  ShardMaps maps = ShardMapsOf(aHistory);
  ForEachServiceAnswer(
    aHistory, [&](const Event& aEvent, const ServiceAnswer& aServiceAnswer) {
      SearchedShardSet searched = SearchedShards(aHistory,
                                                 aEvent.m_query,
                                                 aServiceAnswer.m_service,
                                                 aServiceAnswer.m_indexVersion);
      std::set<ShardName> missing =
        maps[{ aServiceAnswer.m_service, aServiceAnswer.m_indexVersion }];
      std::erase_if(missing, [&](const ShardName& aShard) {
        return searched.m_whole.contains(aShard);
      });
      std::set<ShardName> reported;
      for (const MissingShard& shard : aServiceAnswer.m_coverage.m_missing) {
        bool partial = searched.m_partial.contains(shard.m_shard);
        bool hasReason = shard.m_reason != MissingReason::kNone;
        if (!reported.insert(shard.m_shard).second || partial == hasReason ||
            shard.m_partial != partial) {
          violations.push_back(absl::StrCat("wrong entry for missing shard ",
                                            shard.m_shard.Text()));
        }
      }
      if (reported != missing ||
          aServiceAnswer.m_coverage.m_answered != searched.m_whole.size()) {
        violations.push_back(absl::StrCat("answered shards reported: ",
                                          aServiceAnswer.m_coverage.m_answered,
                                          ", searched: ",
                                          searched.m_whole.size()));
      }
    });
  return violations;
}

Violations
CheckHitsBelongToQuery(const History& aHistory)
{
  Violations violations;
  ForEachServiceAnswer(
    aHistory, [&](const Event& aEvent, const ServiceAnswer& aServiceAnswer) {
      const QueryRequest& request = aHistory.m_queries[aEvent.m_query];
      std::set<std::string> seen;
      for (const Hit& hit : aServiceAnswer.m_hits) {
        Origin origin = OriginOf(hit);
        bool belongs = origin.m_text == request.m_text &&
                       origin.m_service == aServiceAnswer.m_service.Text() &&
                       seen.insert(hit.m_document).second;
        if (!belongs) {
          violations.push_back(
            absl::StrCat(request.m_text, " got the hit ", hit.m_document));
        }
      }
      if (aEvent.m_finish.m_requestId != request.m_requestId) {
        violations.emplace_back("the answer has another request's id");
      }
    });
  return violations;
}

Violations
CheckAnsweredByDeadline(const History& aHistory)
{
  Violations violations;
  std::vector<int> answers(aHistory.m_queries.size(), 0);
  for (const Event& event : aHistory.m_events) {
    if (event.m_kind == Kind::kFinish) {
      ++answers[event.m_query];
      if (event.m_at >= aHistory.m_queries[event.m_query].m_deadline) {
        violations.emplace_back("answered at or after the deadline");
      }
    }
    bool acts = event.m_kind == Kind::kSend || event.m_kind == Kind::kCancel;
    if (acts && answers[event.m_query] > 0) {
      violations.emplace_back("sent or cancelled a sub-query after the answer");
    }
  }
  if (std::ranges::any_of(answers, [](int aCount) { return aCount != 1; })) {
    violations.emplace_back("a query was not answered exactly once");
  }
  if (aHistory.m_timersStillDue > 0) {
    violations.emplace_back("a timer was still due after OnTimer");
  }
  return violations;
}

Violations
CheckExtraLoad(const History& aHistory,
               double aHedgeShare,
               double aHedgeBurst,
               double aRetryShare,
               double aRetryBurst)
{
  Violations violations;
  std::set<std::string> ids;
  std::map<std::string, size_t> attemptsByShard;
  std::map<AttemptKind, double> sent;
  for (const Event& event : aHistory.m_events) {
    if (event.m_kind != Kind::kSend) {
      continue;
    }
    const SubQuery& subQuery = event.m_send.m_subQuery;
    ++sent[event.m_send.m_attemptKind];
    std::string shard =
      absl::StrCat(event.m_query, HitFor(subQuery, 0).m_document);
    if (!ids.insert(subQuery.m_id).second || ++attemptsByShard[shard] > 4) {
      violations.push_back(
        absl::StrCat("duplicate id or too many attempts: ", shard));
    }
    // The bounds hold at every event, since a query sends all its first
    // attempts before its hedges and retries.
    double first = sent[AttemptKind::kFirst];
    if (sent[AttemptKind::kHedge] > aHedgeShare * first + aHedgeBurst) {
      violations.emplace_back("too many hedges");
    }
    if (sent[AttemptKind::kRetry] > aRetryShare * first + aRetryBurst) {
      violations.emplace_back("too many retries");
    }
  }
  return violations;
}

Violations
CheckNoWorkToWithdrawn(const History& aHistory)
{
  Violations violations;
  ConfigurationPtr inForce;
  std::map<UpstreamId, DataCentre> dataCentres;
  for (const Event& event : aHistory.m_events) {
    if (event.m_kind == Kind::kConfiguration) {
      inForce = event.m_configuration;
      for (const ServiceConfig& service : inForce->m_services) {
        for (const ShardConfig& shard : service.m_shards) {
          for (const UpstreamConfig& replica : shard.m_replicas) {
            dataCentres[replica.m_id] = replica.m_dataCentre;
          }
        }
      }
    }
    if (event.m_kind != Kind::kSend) {
      continue;
    }
    const UpstreamId& upstream = event.m_send.m_subQuery.m_upstream;
    bool withdrawn =
      inForce->m_drainedUpstreams.contains(upstream) ||
      inForce->m_withdrawnDataCentres.contains(dataCentres[upstream]);
    if (withdrawn) {
      violations.push_back(absl::StrCat(
        "sent to a drained or withdrawn upstream: ", upstream.Text()));
    }
  }
  return violations;
}

} // namespace ebonykeel::testing
