// The work that a request is expected to cost an upstream, stated as the time
// that an upstream of typical speed needs for it, without waiting.
//
//   auto gathered = std::make_shared<GatheredWork>();
//   ExpectedWork work{ .m_mean = Milliseconds(9), .m_gathered = gathered };
//   gathered->OnPartAnswered(Milliseconds(9), Milliseconds(27));
//   work.Mean();  // 15 ms
#pragma once

#include <algorithm>
#include <memory>
#include <utility>

#include "core/base/time.h"

namespace ebonykeel {

// Compares the parts of one gathered request that have answered with what was
// expected of them: a request that costs one shard much often costs the others
// much too.
class GatheredWork
{
public:
  // Called when a part was answered after `aTook`, and `aExpected` was
  // expected.
  void OnPartAnswered(Duration aExpected, Duration aTook)
  {
    if (aExpected > Duration{}) {
      double ratio = static_cast<double>(aTook.count()) /
                     static_cast<double>(aExpected.count());
      m_ratioSum += std::clamp(ratio, 1 / kMaxRatio, kMaxRatio);
      m_weight += 1;
    }
  }
  // Returns the factor by which the open parts are expected to cost more than
  // a part of a typical request.
  [[nodiscard]] double Factor() const { return m_ratioSum / m_weight; }

private:
  // Bounds the effect of one part that met a pause of its upstream.
  static constexpr double kMaxRatio = 4;
  // What is known before any part has answered counts like this many parts.
  // The parts that answer first are mostly the cheaper ones, so that one alone
  // says little.
  static constexpr double kPriorParts = 2;

  double m_ratioSum = kPriorParts;
  double m_weight = kPriorParts;
};

struct ExpectedWork
{
  // The expectation before any part of the request answered; zero if there is
  // none.
  Duration m_mean{};
  // The standard deviation.
  Duration m_spread{};
  // Shared by the parts of a gathered request; null for others.
  std::shared_ptr<const GatheredWork> m_gathered;

  [[nodiscard]] Duration Mean() const { return Scale(m_mean); }
  [[nodiscard]] Duration Spread() const { return Scale(m_spread); }

private:
  [[nodiscard]] Duration Scale(Duration aWork) const
  {
    return m_gathered == nullptr
             ? aWork
             : Duration(static_cast<int64_t>(
                 static_cast<double>(aWork.count()) * m_gathered->Factor()));
  }
};

} // namespace ebonykeel
