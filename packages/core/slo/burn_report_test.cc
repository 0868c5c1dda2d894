#include "core/slo/burn_report.h"

#include <map>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/slo/burn_recorder.h"

namespace ebonykeel {
namespace {

const ServiceName kDesk("desk");
constexpr TimePoint kStart = TimePoint{} + Seconds(1'000'000);

Configuration
MakeDeskConfiguration(Duration aWindow = std::chrono::hours(24))
{
  Configuration configuration;
  ServiceConfig service;
  service.m_name = kDesk;
  service.m_target.m_objective = 0.9;
  service.m_target.m_latency = Milliseconds(50);
  service.m_target.m_coverage = 0.8;
  service.m_target.m_window = aWindow;
  configuration.m_services.push_back(service);
  return configuration;
}

RequestSample
AnsweredSample(int aMilliseconds, double aCoverage = 1.0)
{
  return { RequestResult::kAnswered, Milliseconds(aMilliseconds), aCoverage };
}

DOCTEST_TEST_CASE("a request is good or has exactly one cause")
{
  ServiceLevelTarget target = MakeDeskConfiguration().m_services[0].m_target;
  DOCTEST_CHECK(!FindBurnCause(AnsweredSample(50, 0.8), target));
  DOCTEST_CHECK(FindBurnCause(AnsweredSample(51), target) == BurnCause::kLate);
  DOCTEST_CHECK(FindBurnCause(AnsweredSample(51, 0.7), target) ==
                BurnCause::kUncovered);
  DOCTEST_CHECK(FindBurnCause({ RequestResult::kRefused }, target) ==
                BurnCause::kRefused);
  DOCTEST_CHECK(FindBurnCause({ RequestResult::kFailed }, target) ==
                BurnCause::kFailed);
}

DOCTEST_TEST_CASE("a report has the burn over three windows and its causes")
{
  BurnRecorder recorder({}, kStart);
  recorder.SetTargets(MakeDeskConfiguration());
  for (int i = 0; i < 90; ++i) {
    recorder.Record(kDesk, AnsweredSample(10), kStart);
  }
  for (int i = 0; i < 8; ++i) {
    recorder.Record(kDesk, AnsweredSample(90), kStart);
  }
  recorder.Record(kDesk, { RequestResult::kRefused }, kStart);
  recorder.Record(kDesk, AnsweredSample(10), kStart + Seconds(1800));
  recorder.Record(kDesk, AnsweredSample(10, 0.1), kStart + Seconds(1800));
  recorder.Record(ServiceName("unknown"), AnsweredSample(10), kStart);
  BurnReport report = recorder.Report(kStart + Seconds(1800));
  DOCTEST_REQUIRE(report.m_services.size() == 1);
  DOCTEST_CHECK(report.m_services[0].m_short.m_counts.Total() == 2);
  DOCTEST_CHECK(report.m_services[0].m_long.m_counts.Total() == 101);
  DOCTEST_CHECK(FormatBurnReport(report) ==
                "service-level burn of 1 services on 1 instances, counting "
                "for up to 30m; burn 1 uses up exactly what the target allows\n"
                "desk\n"
                "  target 90% within 50 ms and coverage 0.8 over 24h: good 91, "
                "bad 10\n"
                "  burn 5m 5.00, 1h 0.99, 24h 0.99\n"
                "  burnt by: late 8 (80%), uncovered 1 (10%), refused 1 "
                "(10%)\n");
  BurnReport later = recorder.Report(kStart + Seconds(7200));
  DOCTEST_CHECK(later.m_services[0].m_long.m_counts.Total() == 0);
  DOCTEST_CHECK(later.m_services[0].m_whole.m_counts.Total() == 101);
  BurnReport muchLater = recorder.Report(kStart + std::chrono::hours(26));
  DOCTEST_CHECK(muchLater.m_services[0].m_whole.m_counts.Total() == 0);
}

DOCTEST_TEST_CASE("counts are kept unless a configuration changes the window")
{
  BurnRecorder recorder({}, kStart);
  recorder.SetTargets(MakeDeskConfiguration());
  recorder.Record(kDesk, AnsweredSample(10), kStart);
  recorder.SetTargets(MakeDeskConfiguration());
  DOCTEST_CHECK(recorder.Report(kStart).m_services[0].m_whole.m_counts.m_good ==
                1);
  recorder.SetTargets(MakeDeskConfiguration(std::chrono::hours(1)));
  ServiceBurn burn = recorder.Report(kStart).m_services[0];
  DOCTEST_CHECK(burn.m_whole.m_counts.m_good == 0);
  DOCTEST_CHECK(burn.m_long.m_counts.m_good == 1);
  recorder.SetTargets(Configuration{});
  DOCTEST_CHECK(recorder.Report(kStart).m_services.empty());
}

DOCTEST_TEST_CASE("reports of several instances add up and round-trip as JSON")
{
  BurnRecorder first({}, kStart);
  BurnRecorder second({}, kStart - Seconds(60));
  first.SetTargets(MakeDeskConfiguration());
  second.SetTargets(MakeDeskConfiguration());
  first.Record(kDesk, AnsweredSample(10), kStart);
  second.Record(kDesk, AnsweredSample(90), kStart);
  std::vector<BurnReport> reports{ first.Report(kStart),
                                   second.Report(kStart) };
  BurnReport merged = MergeBurnReports(reports);
  DOCTEST_CHECK(merged.m_instances == 2);
  DOCTEST_CHECK(merged.m_countingTime == Seconds(60));
  DOCTEST_CHECK(merged.m_services[0].m_short.m_counts.Total() == 2);
  std::string text = EncodeBurnReport(merged);
  absl::StatusOr<BurnReport> decoded = DecodeBurnReport(text);
  DOCTEST_REQUIRE(decoded.ok());
  DOCTEST_CHECK(*decoded == merged);
  for (size_t length = 0; length < text.size(); ++length) {
    DOCTEST_CHECK(!DecodeBurnReport(text.substr(0, length)).ok());
  }
  DOCTEST_CHECK(!DecodeBurnReport(R"({"instances":1,"counting_s":1,
    "services":[{"service":"x"}]})")
                   .ok());
}

DOCTEST_TEST_CASE("a ring counts like a full log, exact to one bucket")
{
  DOCTEST_CHECK(rc::check("ring against log", [] {
    BurnRing ring(Seconds(600), 60);
    std::map<TimePoint, int> log;
    TimePoint now = kStart;
    auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120));
    for (int step : steps) {
      now += Seconds(step);
      ring.Add(now, std::nullopt);
      ++log[now];
      auto countSince = [&](Duration aSpan) {
        uint64_t total = 0;
        for (auto it = log.upper_bound(now - aSpan); it != log.end(); ++it) {
          total += static_cast<uint64_t>(it->second);
        }
        return total;
      };
      uint64_t counted = ring.Count(now, Seconds(300)).Total();
      RC_ASSERT(counted >= countSince(Seconds(290)));
      RC_ASSERT(counted <= countSince(Seconds(300)));
    }
  }));
}

} // namespace
} // namespace ebonykeel
