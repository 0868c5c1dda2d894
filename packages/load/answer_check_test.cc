#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "load/answer_check.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

Json
GoodAnswer()
{
  return Json::parse(R"({
    "request_id": "r1", "outcome": "ran",
    "services": [{
      "service": "desk", "index_version": 7,
      "coverage": { "shards": 3, "answered": 2,
        "missing": [{ "shard": "s2", "reason": "deadline", "partial": false }] },
      "hits": [
        { "document": "desk/s0/v7/000", "score": 9.0, "text": "red #0" },
        { "document": "desk/s1/v7/001", "score": 8.0, "text": "red #1" }]
    }]})");
}

std::vector<Violation>
Check(const Json& aBody)
{
  return CheckQueryAnswer("r1", "red", aBody.dump()).m_violations;
}

DOCTEST_TEST_CASE(
  "a correct answer has no violations and its coverage is counted")
{
  QueryCheck check = CheckQueryAnswer("r1", "red", GoodAnswer().dump());
  DOCTEST_CHECK(check.m_violations.empty());
  DOCTEST_CHECK(check.m_shards == 3);
  DOCTEST_CHECK(check.m_answered == 2);
}

DOCTEST_TEST_CASE("each kind of violation in a query answer is detected")
{
  using Violations = std::vector<Violation>;
  Json body = GoodAnswer();
  body["request_id"] = "r2";
  DOCTEST_CHECK(Check(body) == Violations{ Violation::kForeignAnswer });

  body = GoodAnswer();
  body["services"][0]["hits"][0]["document"] = "desk/s0/v8/000";
  DOCTEST_CHECK(Check(body) == Violations{ Violation::kMixedSnapshot });

  body = GoodAnswer();
  body["services"][0]["hits"][0]["document"] = "desk/s2/v7/000";
  DOCTEST_CHECK(Check(body) == Violations{ Violation::kFalseCoverage });

  body = GoodAnswer();
  body["services"][0]["coverage"]["answered"] = 3;
  DOCTEST_CHECK(Check(body) == Violations{ Violation::kFalseCoverage });

  body = GoodAnswer();
  body["services"][0]["hits"][1]["text"] = "blue #1";
  DOCTEST_CHECK(Check(body) == Violations{ Violation::kForeignAnswer });

  DOCTEST_CHECK(CheckQueryAnswer("r1", "red", "{").m_violations ==
                Violations{ Violation::kUnreadable });
}

DOCTEST_TEST_CASE("a body without an outcome has the outcome unknown")
{
  DOCTEST_CHECK(ReadOutcome(R"({"outcome":"not-run"})").m_outcome ==
                Outcome::kNotRun);
  DOCTEST_CHECK(ReadOutcome(R"({"outcome":"ran"})").m_outcome == Outcome::kRan);
  DOCTEST_CHECK(ReadOutcome("{}").m_outcome == Outcome::kUnknown);
  DOCTEST_CHECK(ReadOutcome("gone").m_outcome == Outcome::kUnknown);
}

} // namespace
} // namespace ebonykeel
