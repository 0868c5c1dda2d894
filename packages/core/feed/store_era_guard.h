// Decides what a reader of the store does with an answer because of the era
// that it states.
//
// A later era is adopted only if two answers state it. An earlier one, or one
// that is implausibly later, is ignored unless the store goes on stating it
// (`PositionDoubt`): then the reader follows it by a correction.
//
//   StoreEraGuard guard;
//   EraView view{ .m_known = 3, .m_ofFeed = 3, .m_atCall = 3 };
//   uint64_t era = guard.EraOf(4, view);
//   guard.OnWatchAnswer(era, view);  // kListAll
//   guard.OnListPage(era, view);     // kTake
#pragma once

#include <cstdint>
#include <optional>

namespace ebonykeel {

// What a reader knows about eras when an answer comes.
struct EraView
{
  // The latest era of all feeds; nothing if none was ever complete.
  std::optional<uint64_t> m_known;
  // The era of the feed that the answer is for, now and when the call began; 0
  // if the feed was never complete.
  uint64_t m_ofFeed = 0;
  uint64_t m_atCall = 0;
};

enum class EraDecision
{
  // The answer may be used.
  kTake,
  // The store states a later era: list all kinds anew.
  kListAll,
  // The first answer of the store at all: list the kind once more.
  kListKind,
  // Another instance has told a later era since the call began: read again.
  kReadAgain,
  // The answer contradicts what was known when the call began.
  kDoubt,
};

class StoreEraGuard
{
public:
  // Returns the era of an answer that states the number `aStated`.
  [[nodiscard]] uint64_t EraOf(uint64_t aStated, const EraView& aView) const;

  // Decides on a page of a list, or on a watch's answer, of the era `aEra`.
  [[nodiscard]] EraDecision OnListPage(uint64_t aEra, const EraView& aView);
  [[nodiscard]] EraDecision OnWatchAnswer(uint64_t aEra, const EraView& aView);

  // Called when a list of the era `aEra` was taken.
  void OnListTaken(uint64_t aEra) { m_announced = aEra; }
  // Called when the store goes on contradicting what is known, with the number
  // `aStated`. Lists that state it are taken from now on. Returns its era,
  // which is later than any known one.
  uint64_t Correct(uint64_t aStated, const EraView& aView);

private:
  // Returns the latest era that is known or was announced.
  [[nodiscard]] uint64_t Latest(const EraView& aView) const;

  // The latest era that the store stated; a list of it is taken.
  uint64_t m_announced = 0;
};

} // namespace ebonykeel
