#include "core/feed/store_era_guard.h"

#include <algorithm>

#include "core/base/store_era.h"

namespace ebonykeel {
namespace {

// An era that is later by more than this is taken for a fault of the answer:
// the store is restored once in a while.
constexpr uint64_t kMaxEraStep = 1000;

// Returns whether `aEra` is implausibly later than `aLatest`.
bool
IsImplausible(uint64_t aEra, uint64_t aLatest)
{
  // Era 0 is that of answers that state none.
  return aLatest > 0 && aEra > aLatest && aEra - aLatest > kMaxEraStep;
}

} // namespace

uint64_t
StoreEraGuard::EraOf(uint64_t aStated, const EraView& aView) const
{
  return MakeEra(CorrectionsOf(Latest(aView)),
                 std::min(aStated, kMaxStatedEra));
}

uint64_t
StoreEraGuard::Latest(const EraView& aView) const
{
  return std::max(m_announced, aView.m_known.value_or(0));
}

EraDecision
StoreEraGuard::OnListPage(uint64_t aEra, const EraView& aView)
{
  if (aEra < aView.m_ofFeed) {
    bool isOvertaken =
      aView.m_atCall < aView.m_ofFeed && aEra >= aView.m_atCall;
    return isOvertaken ? EraDecision::kReadAgain : EraDecision::kDoubt;
  }
  if (aEra == m_announced || (aView.m_known && aEra <= *aView.m_known)) {
    return EraDecision::kTake;
  }
  if (IsImplausible(aEra, Latest(aView))) {
    return EraDecision::kDoubt;
  }
  m_announced = aEra;
  return aView.m_known ? EraDecision::kListAll : EraDecision::kListKind;
}

EraDecision
StoreEraGuard::OnWatchAnswer(uint64_t aEra, const EraView& aView)
{
  if (aView.m_atCall < aView.m_ofFeed && aEra <= aView.m_ofFeed) {
    return EraDecision::kReadAgain;
  }
  if (aEra < aView.m_ofFeed || IsImplausible(aEra, Latest(aView))) {
    return EraDecision::kDoubt;
  }
  if (aEra > aView.m_ofFeed) {
    m_announced = aEra;
    return EraDecision::kListAll;
  }
  return EraDecision::kTake;
}

uint64_t
StoreEraGuard::Correct(uint64_t aStated, const EraView& aView)
{
  uint64_t era = EraOf(aStated, aView);
  uint64_t known = aView.m_known.value_or(0);
  m_announced =
    era > known ? era : MakeEra(CorrectionsOf(known) + 1, StatedEra(era));
  return m_announced;
}

} // namespace ebonykeel
