#include <doctest/doctest.h>

#include <algorithm>

#include "standins/upstream/documents.h"

namespace ebonykeel::standins {
namespace {

DOCTEST_TEST_CASE("each hit names its snapshot and contains the query")
{
  SearchResult result = SearchDocuments("desk", "s1", 7, "red", 3);
  DOCTEST_REQUIRE(result.m_hits.size() == 3);
  DOCTEST_CHECK(result.m_hits[2].m_document == "desk/s1/v7/002");
  DOCTEST_CHECK(result.m_hits[2].m_text == "red #2");
  DOCTEST_CHECK(std::ranges::is_sorted(
    result.m_hits, std::ranges::greater(), &Hit::m_score));
  DOCTEST_CHECK(result.m_total >= 3);
}

DOCTEST_TEST_CASE(
  "the same query returns the same hits and another shard other scores")
{
  DOCTEST_CHECK(SearchDocuments("desk", "s1", 7, "red", 9).m_hits ==
                SearchDocuments("desk", "s1", 7, "red", 9).m_hits);
  DOCTEST_CHECK(SearchDocuments("desk", "s1", 7, "red", 9).m_hits[0].m_score !=
                SearchDocuments("desk", "s2", 7, "red", 9).m_hits[0].m_score);
}

} // namespace
} // namespace ebonykeel::standins
