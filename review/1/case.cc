// A request that is not idempotent runs twice, or is refused although it runs,
// because a late second copy of a searcher's rejection is taken as the answer
// to the retry of the same request on the same connection.
#include <memory>
#include <set>

#include "client.h"
#include "fleet.h"
#include "searcher.h"
#include "store.h"

namespace {

using namespace review;

constexpr auto kLoadDuration = std::chrono::seconds(75);
constexpr size_t kBookingClients = 10;
constexpr size_t kBoardClients = 2;
// The share of the answers of the faulty searcher, one of two, of which a
// second copy is sent late, in spells of 5 s.
constexpr double kExtraAnswers = 0.04;

constexpr char kConfiguration[] =
  R"({"version":1,"routes":[{"name":"booking","host":"desk.example",)"
  R"("pathPrefix":"/booking/","kind":"unsafe","timeoutMs":5000,)"
  R"("targetLatencyMs":500,"priority":1,"service":"booking","maxAttempts":2},)"
  R"({"name":"board","host":"desk.example","pathPrefix":"/board/",)"
  R"("kind":"safe","timeoutMs":5000,"targetLatencyMs":500,"priority":2,)"
  R"("service":"board","maxAttempts":2}],)"
  R"("services":[{"name":"booking","healthCheckPath":"/health",)"
  R"("maxConnections":82,"warmupS":3.0,"warmupPerS":0.0},)"
  R"({"name":"board","healthCheckPath":"/health",)"
  R"("maxConnections":82,"warmupS":3.0,"warmupPerS":0.0}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
  R"("headerTimeoutMs":5000,"idleTimeoutMs":15000}})";

int
Run(const std::string& aRoot, const std::string& aFolder)
{
  auto& record = MakeLasting<Record>(aFolder + "/record.txt");
  auto& store = MakeLasting<Store>();
  Address storeAddress = store.Start("127.0.0.1");
  store.Put("config", "main", kConfiguration);
  auto& ledger = MakeLasting<Ledger>();
  std::vector<Searcher*> searchers;
  for (const std::string service : { "booking", "board" }) {
    bool isFaulty = IsTroubled() && service == "booking";
    searchers.push_back(&MakeLasting<Searcher>(
      SearcherOptions{ .m_id = "searcher-" + service,
                       .m_service = service,
                       .m_zone = "east",
                       .m_slots = 3,
                       .m_work = Milliseconds(20),
                       .m_extraAnswers = isFaulty ? kExtraAnswers : 0 },
      ledger,
      record));
    searchers.back()->Start("127.0.0.1");
    store.Put("servers", searchers.back()->Id(), searchers.back()->Entry());
  }
  Fleet fleet(aRoot, { "east", "west", "south" }, { storeAddress }, record);
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
  std::mutex mutex;
  std::vector<AttemptResult> attempts;
  TimePoint end = Clock::now() + kLoadDuration;
  std::vector<std::thread> clients;
  for (size_t i = 0; i < kBookingClients + kBoardClients; ++i) {
    clients.emplace_back([&, i]() {
      ClientOptions booking{ .m_zone = fleet.Zone(i % fleet.Count()),
                             .m_method = "POST",
                             .m_path = "/booking/new",
                             .m_body = "place=7",
                             .m_safe = false };
      ClientOptions board{ .m_zone = booking.m_zone, .m_path = "/board/7" };
      bool books = i < kBookingClients;
      Client client(books ? booking : board, fleet, i, record);
      while (Clock::now() < end) {
        std::vector<AttemptResult> sent = client.Send();
        std::lock_guard lock(mutex);
        if (books) {
          std::ranges::copy(sent, std::back_inserter(attempts));
        }
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  // Whatever still runs shall end before the judgement.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  std::map<int, size_t> statuses;
  size_t twice = 0;
  size_t refused = 0;
  for (const AttemptResult& attempt : attempts) {
    ++statuses[attempt.m_status];
    size_t count = ledger.RunsOf(attempt.m_id).size();
    bool promised = attempt.m_status == 429 || attempt.m_status == 503 ||
                    attempt.m_status == 408 || attempt.m_status == 421;
    if (count > 1) {
      ++twice;
      record.Note("TWICE: " + attempt.m_id + " ran " + std::to_string(count) +
                  " times; its client got " + std::to_string(attempt.m_status));
    }
    if (promised && count > 0) {
      ++refused;
      record.Note("REFUSED: " + attempt.m_id + " ran; its client got " +
                  std::to_string(attempt.m_status));
    }
  }
  std::string summary = std::to_string(attempts.size()) + " attempts;";
  for (auto [status, count] : statuses) {
    summary += " " + std::to_string(status) + ": " + std::to_string(count);
  }
  record.Note(summary);
  record.Note("ran more than once: " + std::to_string(twice) +
              "; refused and run: " + std::to_string(refused));
  if (ledger.Count() == 0) {
    return kCouldNotRun;
  }
  return twice + refused > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  int result = aCount == 3 ? Run(aArguments[1], aArguments[2]) : kCouldNotRun;
  std::_Exit(result);
}
