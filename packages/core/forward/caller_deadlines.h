// Estimates how much of its time a caller had used before its request was read.
//
// Callers state their remaining time. Most callers of a route start with the
// same time budget, so the difference from it was used for a new connection, a
// queue on the way or an earlier caller attempt.
//
//   CallerDeadlines deadlines;
//   deadlines.Add("search", Milliseconds(600));
//   Duration elapsed =
//     deadlines.ElapsedTime("search", Milliseconds(592));  // 8 ms
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel {

class CallerDeadlines
{
public:
  // Records that a request of a route was read with `aRemaining` left.
  void Add(const std::string& aRoute, Duration aRemaining);
  // Returns the time that a caller with `aRemaining` left had already used;
  // zero while there are too few samples of its route.
  [[nodiscard]] Duration ElapsedTime(const std::string& aRoute,
                                     Duration aRemaining) const;

private:
  // The latest remaining times of a route's requests, in a ring buffer.
  struct Samples
  {
    std::vector<Duration> m_values;
    size_t m_next = 0;
  };

  std::unordered_map<std::string, Samples> m_routes;
};

} // namespace ebonykeel
