// After a short silent cut of one instance's link to the store, the others miss
// the next version of the configuration for good.
#include <memory>

#include "client.h"
#include "fleet.h"
#include "link.h"
#include "searcher.h"
#include "store.h"

namespace {

using namespace review;

constexpr size_t kRounds = 5;
// The instance whose link is cut: it reads the store for the others.
constexpr size_t kReader = 0;
constexpr Milliseconds kCutLength{ 1500 };
// `configApplyMs` of the deployment.
constexpr Milliseconds kConfigApply{ 3000 };
constexpr Milliseconds kCheckLength{ 4000 };
constexpr Milliseconds kCheckInterval{ 50 };

// Returns a version whose route leads to `aService`.
std::string
Configuration(int aVersion, const std::string& aService, int aTimeoutMs)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"entry","host":"desk.example",)"
         R"("pathPrefix":"/entry/","kind":"safe","timeoutMs":)" +
         std::to_string(aTimeoutMs) +
         R"(,"targetLatencyMs":500,"priority":1,"service":")" + aService +
         R"(","maxAttempts":2}],"services":[)"
         R"({"name":"blue","healthCheckPath":"/health","maxConnections":82,)"
         R"("warmupS":3.0,"warmupPerS":0.0},)"
         R"({"name":"green","healthCheckPath":"/health","maxConnections":82,)"
         R"("warmupS":3.0,"warmupPerS":0.0}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
         R"("headerTimeoutMs":5000,"idleTimeoutMs":15000}})";
}

int
Run(const std::string& aRoot, const std::string& aFolder)
{
  auto& record = MakeLasting<Record>(aFolder + "/record.txt");
  auto& store = MakeLasting<Store>();
  Address storeAddress = store.Start("127.0.0.1");
  std::vector<std::string> zones{ "east", "east", "west", "west", "south" };
  std::vector<Link*> links;
  std::vector<Address> storeAddresses;
  for (size_t i = 0; i < zones.size(); ++i) {
    links.push_back(&MakeLasting<Link>());
    storeAddresses.push_back(links.back()->Start("127.0.0.1", storeAddress));
  }
  int version = 1;
  auto putVersion = [&](const std::string& aService, int aTimeoutMs) {
    store.Put("config", "main", Configuration(version, aService, aTimeoutMs));
    record.Line("version " + std::to_string(version) +
                " acknowledged: /entry/ to " + aService);
    ++version;
  };
  putVersion("blue", 5000);
  auto& ledger = MakeLasting<Ledger>();
  std::vector<Searcher*> searchers;
  for (const std::string service : { "blue", "green" }) {
    for (const std::string zone : { "east", "west" }) {
      searchers.push_back(&MakeLasting<Searcher>(
        SearcherOptions{ .m_id = "searcher-" + service + "-" + zone,
                         .m_service = service,
                         .m_zone = zone },
        ledger,
        record));
      searchers.back()->Start("127.0.0.1");
      store.Put("servers", searchers.back()->Id(), searchers.back()->Entry());
    }
  }
  Fleet fleet(aRoot, zones, storeAddresses, record);
  if (!fleet.PortsAreFree()) {
    return kCouldNotRun;
  }
  for (size_t i = 0; i < fleet.Count(); ++i) {
    fleet.Start(i);
  }
  if (!fleet.WaitUntilReady(std::chrono::seconds(15))) {
    record.Note("the instances did not become ready");
    return kCouldNotRun;
  }
  // All are in touch after this.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  size_t checked = 0;
  size_t stale = 0;
  for (size_t round = 0; round < kRounds; ++round) {
    std::string before = round % 2 == 0 ? "blue" : "green";
    std::string after = round % 2 == 0 ? "green" : "blue";
    if (IsTroubled()) {
      links[kReader]->SetCut(true);
      record.Line("the link of instance 0 to the store is cut");
    }
    std::this_thread::sleep_for(Milliseconds(300));
    putVersion(before, 4900);
    std::this_thread::sleep_for(Milliseconds(400));
    putVersion(before, 5000);
    std::this_thread::sleep_for(kCutLength - Milliseconds(700));
    links[kReader]->SetCut(false);
    record.Line("the link of instance 0 to the store works");
    std::this_thread::sleep_for(Milliseconds(1000));
    putVersion(after, 5000);
    std::this_thread::sleep_for(kConfigApply + Milliseconds(200));
    TimePoint end = Clock::now() + kCheckLength;
    while (Clock::now() < end) {
      // The instance whose link was cut isn't judged.
      for (size_t i = 0; i < fleet.Count(); ++i) {
        if (i == kReader) {
          continue;
        }
        Client client({ .m_path = "/entry/7", .m_instance = fleet.Host(i) },
                      fleet,
                      i,
                      record);
        std::vector<AttemptResult> attempts = client.Send();
        for (const AttemptResult& attempt : attempts) {
          std::vector<SearcherRun> runs = ledger.RunsOf(attempt.m_id);
          for (const SearcherRun& run : runs) {
            ++checked;
            if (!run.m_searcher.starts_with("searcher-" + after)) {
              ++stale;
              record.Line("CONFIG: instance " + std::to_string(i) + " sent " +
                          attempt.m_id + " to " + run.m_searcher +
                          " over 3 s after a version gave its route to " +
                          after);
            }
          }
        }
      }
      std::this_thread::sleep_for(kCheckInterval);
    }
    record.Note("round " + std::to_string(round + 1) + ": " +
                std::to_string(stale) + " of " + std::to_string(checked) +
                " requests so far ran as only an older version allows");
  }
  if (checked == 0) {
    return kCouldNotRun;
  }
  return stale > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  int result = aCount == 3 ? Run(aArguments[1], aArguments[2]) : kCouldNotRun;
  std::_Exit(result);
}
