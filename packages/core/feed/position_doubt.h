// Decides when a position that a feed holds was never the store's.
//
// A store that answers truly states no earlier position than one that was known
// when the call began. If it does, either this answer is wrong or the known
// position is. Several such answers in a row say that it is the known one: an
// earlier answer stated it wrongly, or the store came back from a copy without
// stating a later era.
//
//   PositionDoubt doubt({});
//   doubt.OnContradicted(statedEra, now);
//   if (doubt.IsCertain(now)) { ... }  // give the known position up
#pragma once

#include <cstdint>

#include "core/base/time.h"

namespace ebonykeel {

struct PositionDoubtOptions
{
  // How many answers in a row, which state one era, contradict the known
  // position, and over which time at least.
  int m_minAnswers = 3;
  Duration m_minTime = Milliseconds(1200);
};

class PositionDoubt
{
public:
  explicit PositionDoubt(PositionDoubtOptions aOptions)
    : m_options(aOptions)
  {
  }

  // Called for an answer of the era `aEra` that contradicts what was known when
  // its call began.
  void OnContradicted(uint64_t aEra, TimePoint aNow)
  {
    if (m_answers == 0 || aEra != m_era) {
      m_answers = 0;
      m_era = aEra;
      m_since = aNow;
    }
    ++m_answers;
  }
  // Called for an answer that does not contradict it, and when the reader
  // begins anew.
  void Reset() { m_answers = 0; }

  [[nodiscard]] bool IsCertain(TimePoint aNow) const
  {
    return m_answers >= m_options.m_minAnswers &&
           aNow - m_since >= m_options.m_minTime;
  }
  // Returns when the first of the answers came. Only after one.
  [[nodiscard]] TimePoint Since() const { return m_since; }

private:
  PositionDoubtOptions m_options;
  int m_answers = 0;
  uint64_t m_era = 0;
  TimePoint m_since;
};

} // namespace ebonykeel
