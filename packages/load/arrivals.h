// The start times of requests in an open loop, which does not wait for answers.
//
//   ArrivalSchedule schedule(ArrivalKind::kPoisson, 500, random);
//   Duration first = schedule.Next();
#pragma once

#include "absl/random/bit_gen_ref.h"
#include "core/base/time.h"

namespace ebonykeel {

enum class ArrivalKind
{
  kConstant,
  kPoisson,
};

class ArrivalSchedule
{
public:
  // `aRate` is the number of requests per second, above 0.
  ArrivalSchedule(ArrivalKind aKind, double aRate, absl::BitGenRef aRandom);

  // Returns the time of the next arrival, relative to the start of the
  // schedule.
  [[nodiscard]] Duration Next();

private:
  ArrivalKind m_kind;
  double m_rate;
  absl::BitGenRef m_random;
  double m_seconds = 0;
};

} // namespace ebonykeel
