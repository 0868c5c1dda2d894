#include "core/replica/stall_forecast.h"

#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr Duration kInterval = Milliseconds(4500);
constexpr Duration kStall = Milliseconds(200);
constexpr Duration kWork = Milliseconds(20);

// Returns when stall number `aCount` of upstream number `aUpstream` begins.
TimePoint
StallBegin(int aUpstream, int aCount)
{
  return kStart + Milliseconds(97) * aUpstream + kInterval * aCount;
}

// Adds `aStalls` stalls of each upstream, with a request every 70 ms.
void
AddStalls(StallForecast& aForecast,
          std::vector<StallForecast::History>& aHistories,
          int aFrom,
          int aStalls)
{
  for (int count = aFrom; count < aFrom + aStalls; ++count) {
    for (int upstream = 0; upstream < static_cast<int>(aHistories.size());
         ++upstream) {
      TimePoint begin = StallBegin(upstream, count);
      TimePoint answered = begin + kStall + kWork / 2;
      auto index = static_cast<size_t>(upstream);
      for (Duration sent = Milliseconds(7 * upstream % 60); sent < kStall;
           sent += Milliseconds(70)) {
        aForecast.OnSlowAnswer(aHistories[index], begin + sent, answered);
      }
    }
  }
}

DOCTEST_TEST_CASE("stalls at regular intervals are forecast")
{
  StallForecast forecast;
  std::vector<StallForecast::History> histories(8);
  AddStalls(forecast, histories, 0, 3);
  DOCTEST_REQUIRE(forecast.Interval().has_value());
  DOCTEST_CHECK(*forecast.Interval() > Milliseconds(4480));
  DOCTEST_CHECK(*forecast.Interval() < Milliseconds(4520));
  for (int upstream = 0; upstream < 8; ++upstream) {
    const StallForecast::History& history =
      histories[static_cast<size_t>(upstream)];
    TimePoint begin = StallBegin(upstream, 3);
    for (int ms : { 5, 100, 190 }) {
      std::optional<TimePoint> end =
        forecast.ExpectedStallEnd(history, begin + Milliseconds(ms), kWork);
      DOCTEST_REQUIRE(end.has_value());
      DOCTEST_CHECK(*end >= begin + kStall);
      DOCTEST_CHECK(*end <= begin + kStall + Milliseconds(60));
    }
    // Requests well before or after the stall are not held up.
    for (int ms : { -1000, -120, 260, 2000 }) {
      DOCTEST_CHECK_FALSE(
        forecast.ExpectedStallEnd(history, begin + Milliseconds(ms), kWork)
          .has_value());
    }
  }
}

DOCTEST_TEST_CASE("a stall is forecast for a request that would run into it")
{
  StallForecast forecast;
  std::vector<StallForecast::History> histories(8);
  AddStalls(forecast, histories, 0, 3);
  TimePoint before = StallBegin(0, 3) - Milliseconds(50);
  DOCTEST_CHECK_FALSE(
    forecast.ExpectedStallEnd(histories[0], before, Milliseconds(10))
      .has_value());
  DOCTEST_CHECK(
    forecast.ExpectedStallEnd(histories[0], before, Milliseconds(70))
      .has_value());
}

DOCTEST_TEST_CASE("irregular slow answers give no forecast")
{
  StallForecast forecast;
  std::vector<StallForecast::History> histories(8);
  uint64_t state = 1;
  TimePoint now = kStart;
  for (int i = 0; i < 400; ++i) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    now += Milliseconds(static_cast<int64_t>((state >> 33) % 400));
    forecast.OnSlowAnswer(
      histories[(state >> 50) % 8], now, now + Milliseconds(150));
  }
  DOCTEST_CHECK_FALSE(forecast.Interval().has_value());
}

DOCTEST_TEST_CASE(
  "a single irregular slow answer does not prevent the forecast")
{
  StallForecast forecast;
  std::vector<StallForecast::History> histories(8);
  AddStalls(forecast, histories, 0, 3);
  TimePoint odd = StallBegin(0, 2) + Milliseconds(1700);
  forecast.OnSlowAnswer(histories[0], odd, odd + Milliseconds(120));
  DOCTEST_CHECK(forecast
                  .ExpectedStallEnd(
                    histories[0], StallBegin(0, 3) + Milliseconds(100), kWork)
                  .has_value());
  AddStalls(forecast, histories, 3, 1);
  DOCTEST_CHECK(forecast
                  .ExpectedStallEnd(
                    histories[0], StallBegin(0, 4) + Milliseconds(100), kWork)
                  .has_value());
}

DOCTEST_TEST_CASE(
  "a stall that was not observed for many intervals is not forecast")
{
  StallForecast forecast;
  std::vector<StallForecast::History> histories(8);
  AddStalls(forecast, histories, 0, 3);
  DOCTEST_CHECK_FALSE(forecast
                        .ExpectedStallEnd(histories[0],
                                          StallBegin(0, 12) + Milliseconds(100),
                                          kWork)
                        .has_value());
}

DOCTEST_TEST_CASE("an answer that took very long is not a stall")
{
  StallForecast forecast;
  StallForecast::History history;
  forecast.OnSlowAnswer(history, kStart, kStart + Seconds(2));
  DOCTEST_CHECK(history.m_stalls.empty());
}

} // namespace
} // namespace ebonykeel
