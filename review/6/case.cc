// The store comes back from a copy some seconds old, so that its revisions go
// back. Seconds later, when all is calm, the operator moves a route to another
// service. Requests that are sent after the bound must not be run by the old
// service.
#include "../harness-2/standins.h"

using namespace review;

namespace {

constexpr int64_t kConfigApplyMs = 3000;
constexpr int64_t kMaxStretchMs = 12000;
constexpr int64_t kStabilityWindowMs = 4000;
constexpr int kStormVersions = 12;
constexpr int64_t kStormGapMs = 330;
constexpr int64_t kAwayMs = 500;
constexpr int64_t kWatchedMs = 10000;

std::string
Configuration(int aVersion, const std::string& aService, int aTimeoutMs)
{
  return "{\"version\":" + std::to_string(aVersion) +
         ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"pathPrefix\":"
         "\"/r/\",\"kind\":\"unsafe\",\"service\":\"" +
         aService + "\",\"timeoutMs\":" + std::to_string(aTimeoutMs) +
         ",\"targetLatencyMs\":500,\"maxAttempts\":2,\"priority\":1}],"
         "\"services\":[{\"name\":\"old\",\"maxConnections\":100},{\"name\":"
         "\"new\",\"maxConnections\":100}],\"limits\":{\"maxHeaderBytes\":"
         "16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":5000,"
         "\"idleTimeoutMs\":10000}}";
}

} // namespace

int
main(int, char** aArguments)
{
  bool trouble = HasTrouble();
  Record record(aArguments[2]);
  std::string folder = MakeFolder();
  Store store(record);
  store.Start();
  Ledger ledger;
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (const char* service : { "old", "new" }) {
    for (int i = 0; i < 2; ++i) {
      searchers.push_back(std::make_unique<Searcher>(
        SearcherOptions{ .m_id =
                           std::string("i-") + service + std::to_string(i),
                         .m_service = service },
        ledger,
        record));
      searchers.back()->Start();
      store.Put("servers",
                searchers.back()->Options().m_id,
                searchers.back()->Registration("ready"));
    }
  }
  int version = 1;
  store.Put("config", "main", Configuration(version, "old", 3000));

  NodeOptions options{ .m_program = aArguments[1],
                       .m_folder = folder,
                       .m_store = store.Address(),
                       .m_hosts = PickHosts(3),
                       .m_zones = { "z1", "z2", "z3" },
                       .m_moreSettings = "" };
  std::vector<std::unique_ptr<Node>> nodes;
  for (size_t i = 0; i < options.m_hosts.size(); ++i) {
    nodes.push_back(std::make_unique<Node>(options, i, record));
    nodes.back()->Start(true);
  }
  if (!WaitReady(nodes, NowMs() + 15000)) {
    record.Line("the instances did not become ready");
    End(nodes, 2);
  }
  SleepMs(3000);

  // Configurations in quick succession, then the drill.
  store.Copy();
  std::string newest;
  for (int i = 0; i < kStormVersions; ++i) {
    SleepMs(kStormGapMs);
    newest = Configuration(++version, "old", 3000 + i);
    uint64_t revision = store.Put("config", "main", newest);
    record.Line("operator: version %d acknowledged, revision %llu",
                version,
                static_cast<unsigned long long>(revision));
  }
  SleepMs(300);
  if (trouble) {
    store.GoAway();
    SleepMs(kAwayMs);
    store.ComeBack(true);
    // What the operator and the searchers wrote is written again.
    store.Put("config", "main", newest);
    for (const auto& searcher : searchers) {
      store.Put(
        "servers", searcher->Options().m_id, searcher->Registration("ready"));
    }
    record.Line("written again, revision %llu",
                static_cast<unsigned long long>(store.Revision()));
  }
  uint64_t callsBefore = store.Calls();
  int64_t calmSince = NowMs();
  SleepMs(kStabilityWindowMs + 4000);
  record.Line("calls to the store: %llu in %lld ms",
              static_cast<unsigned long long>(store.Calls() - callsBefore),
              static_cast<long long>(NowMs() - calmSince));

  uint64_t revision =
    store.Put("config", "main", Configuration(++version, "new", 3000));
  int64_t acknowledgedMs = NowMs();
  record.Line("operator: version %d (route moved to new) acknowledged, "
              "revision %llu",
              version,
              static_cast<unsigned long long>(revision));
  Clients clients(options.m_hosts, "/r/x", 2000, 10, record);
  clients.Start();
  SleepMs(kConfigApplyMs + kMaxStretchMs + kWatchedMs);
  std::vector<Sent> all = clients.Stop();

  std::map<std::string, std::string> ranBy;
  for (const Run& run : ledger.All()) {
    ranBy[run.m_attempt] = run.m_service;
  }
  int checked = 0;
  int stale = 0;
  int staleAfterStretch = 0;
  for (const Sent& sent : all) {
    if (sent.m_sentMs <= acknowledgedMs + kConfigApplyMs) {
      continue;
    }
    ++checked;
    if (ranBy.contains(sent.m_attempt) && ranBy[sent.m_attempt] == "old") {
      ++stale;
      if (sent.m_sentMs > acknowledgedMs + kConfigApplyMs + kMaxStretchMs) {
        ++staleAfterStretch;
      }
    }
  }
  record.Line("RESULT trouble=%d: %d requests sent later than configApplyMs "
              "after the acknowledgement, %d run by the old service, %d of "
              "them later than configApplyMs + maxStretchMs",
              trouble ? 1 : 0,
              checked,
              stale,
              staleAfterStretch);
  if (checked < 50) {
    End(nodes, 2);
  }
  // The stretched bound, the widest that the rule has.
  End(nodes, staleAfterStretch > 0 ? 1 : 0);
}
