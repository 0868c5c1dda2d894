#include "core/feed/store_era_guard.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "core/base/store_era.h"
#include "core/base/store_position.h"
#include "core/feed/position_doubt.h"

namespace ebonykeel {
namespace {

constexpr EraView kInThree{ .m_known = 3, .m_ofFeed = 3, .m_atCall = 3 };
constexpr TimePoint kStart{ Seconds(100) };

DOCTEST_TEST_CASE("a later era is taken once two answers state it")
{
  StoreEraGuard guard;
  DOCTEST_CHECK(guard.OnWatchAnswer(4, kInThree) == EraDecision::kListAll);
  DOCTEST_CHECK(guard.OnListPage(4, kInThree) == EraDecision::kTake);
  DOCTEST_CHECK(guard.OnListPage(5, kInThree) == EraDecision::kListAll);
}

DOCTEST_TEST_CASE("the first era of all is taken once two answers state it")
{
  StoreEraGuard guard;
  DOCTEST_CHECK(guard.OnListPage(4, {}) == EraDecision::kListKind);
  DOCTEST_CHECK(guard.OnListPage(4, {}) == EraDecision::kTake);
}

// Guards against a reader that counts as cut off from the store because of one
// answer that was on its way when the store came back.
DOCTEST_TEST_CASE("an answer that peers have overtaken is no contradiction")
{
  StoreEraGuard guard;
  EraView overtaken{ .m_known = 4, .m_ofFeed = 4, .m_atCall = 3 };
  DOCTEST_CHECK(guard.OnListPage(3, overtaken) == EraDecision::kReadAgain);
  DOCTEST_CHECK(guard.OnWatchAnswer(3, overtaken) == EraDecision::kReadAgain);
  DOCTEST_CHECK(guard.OnListPage(2, kInThree) == EraDecision::kDoubt);
  DOCTEST_CHECK(guard.OnWatchAnswer(2, kInThree) == EraDecision::kDoubt);
  DOCTEST_CHECK(guard.OnWatchAnswer(9999, kInThree) == EraDecision::kDoubt);
}

// Guards against instances that refuse the true era for good because they
// adopted a false one, or because the true one is far later.
DOCTEST_TEST_CASE("a correction makes the stated era the latest one")
{
  StoreEraGuard guard;
  uint64_t stated = 2;
  DOCTEST_SUBCASE("earlier") {}
  DOCTEST_SUBCASE("the same, with earlier revisions")
  {
    stated = 3;
  }
  DOCTEST_SUBCASE("far later")
  {
    stated = 9999;
  }
  DOCTEST_SUBCASE("greater than any")
  {
    stated = ~uint64_t{ 0 };
  }
  uint64_t corrected = guard.Correct(stated, kInThree);
  DOCTEST_CHECK(corrected > 3);
  DOCTEST_CHECK(StatedEra(corrected) == std::min(stated, kMaxStatedEra));
  DOCTEST_CHECK(guard.EraOf(stated, kInThree) == corrected);
  DOCTEST_CHECK(guard.OnListPage(corrected, kInThree) == EraDecision::kTake);
  // A restore right after it is followed too.
  if (stated < kMaxStatedEra) {
    uint64_t next = guard.EraOf(stated + 1, kInThree);
    DOCTEST_CHECK(next > corrected);
    DOCTEST_CHECK(guard.OnListPage(next, kInThree) == EraDecision::kListAll);
  }
}

DOCTEST_TEST_CASE("a position is given up after several answers in a row")
{
  PositionDoubt doubt({ .m_minAnswers = 3, .m_minTime = Milliseconds(1200) });
  doubt.OnContradicted(2, kStart);
  doubt.OnContradicted(2, kStart + Milliseconds(700));
  DOCTEST_CHECK_FALSE(doubt.IsCertain(kStart + Seconds(2)));
  DOCTEST_SUBCASE("three of one era")
  {
    doubt.OnContradicted(2, kStart + Milliseconds(1100));
    DOCTEST_CHECK_FALSE(doubt.IsCertain(kStart + Milliseconds(1100)));
    DOCTEST_CHECK(doubt.IsCertain(kStart + Milliseconds(1200)));
  }
  DOCTEST_SUBCASE("the third states another era")
  {
    doubt.OnContradicted(1, kStart + Seconds(2));
    DOCTEST_CHECK_FALSE(doubt.IsCertain(kStart + Seconds(4)));
  }
  DOCTEST_SUBCASE("a true one between them")
  {
    doubt.Reset();
    doubt.OnContradicted(2, kStart + Seconds(2));
    DOCTEST_CHECK_FALSE(doubt.IsCertain(kStart + Seconds(4)));
  }
}

DOCTEST_TEST_CASE("positions of corrected eras are written and read")
{
  for (const StorePosition& position :
       { StorePosition{ 3, 105 }, StorePosition{ MakeEra(2, 3), 105 } }) {
    DOCTEST_CHECK(ParsePosition(FormatPosition(position)) == position);
  }
  DOCTEST_CHECK(FormatPosition({ MakeEra(2, 3), 105 }) == "2:3.105");
  for (const char* text : { "", "3", "3.", ":3.1", "1:3", "1:2:3.4", "3.1x" }) {
    DOCTEST_CHECK_FALSE(ParsePosition(text));
  }
}

} // namespace
} // namespace ebonykeel
