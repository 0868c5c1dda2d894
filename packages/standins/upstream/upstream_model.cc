#include "standins/upstream/upstream_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "absl/random/distributions.h"

namespace ebonykeel::standins {

UpstreamModel::UpstreamModel(const UpstreamModelOptions& aOptions,
                             absl::BitGenRef aRandom)
  : m_options(aOptions)
  , m_random(aRandom)
{
  if (m_options.m_startsCold) {
    BecomeCold();
  }
}

OfferResult
UpstreamModel::Offer(TimePoint aNow,
                     WorkId aId,
                     const Work& aWork,
                     Effects& aEffects)
{
  ++m_counters.m_received;
  m_counters.m_lastOffered = aNow;
  if (m_draining) {
    ++m_counters.m_afterDrainReceived;
    return OfferResult::kDraining;
  }
  if (aWork.m_deadline <= aNow) {
    ++m_counters.m_expired;
    return OfferResult::kDeadlinePassed;
  }
  if (m_queue.size() >= m_options.m_queueLimit &&
      RunningCount() >= Capacity()) {
    ++m_counters.m_shed;
    return OfferResult::kShed;
  }
  m_queue.push_back({ aId, aWork });
  UpdateMaxHeld();
  if (IsCold() && HeldCount() > m_options.m_coldWorkLimit) {
    ++m_counters.m_overloads;
    Restart(aEffects);
    std::erase(aEffects.m_reset, aId);
    return OfferResult::kOverloaded;
  }
  FillSlots(aNow, aEffects);
  return OfferResult::kAccepted;
}

void
UpstreamModel::Finish(TimePoint aNow, WorkId aId, Effects& aEffects)
{
  if (m_running.erase(aId) == 0) {
    return;
  }
  ++m_counters.m_executed;
  m_remainingWarmUpAnswers -= std::min(m_remainingWarmUpAnswers, 1U);
  FillSlots(aNow, aEffects);
}

void
UpstreamModel::Expire(TimePoint aNow, Effects& aEffects)
{
  std::erase_if(m_queue, [&](const Waiting& aWaiting) {
    bool expired = aWaiting.m_work.m_deadline <= aNow;
    if (expired) {
      ++m_counters.m_expired;
      aEffects.m_expired.push_back(aWaiting.m_id);
    }
    return expired;
  });
}

bool
UpstreamModel::Cancel(TimePoint aNow, WorkId aId, Effects& aEffects)
{
  size_t cancelledCount = std::erase_if(
    m_queue, [&](const Waiting& aWaiting) { return aWaiting.m_id == aId; });
  auto running = m_running.find(aId);
  if (running != m_running.end() && !running->second.m_hasSideEffect) {
    m_running.erase(running);
    ++cancelledCount;
  }
  m_counters.m_cancelled += cancelledCount;
  FillSlots(aNow, aEffects);
  return cancelledCount > 0;
}

void
UpstreamModel::Restart(Effects& aEffects)
{
  for (const auto& [id, work] : m_running) {
    aEffects.m_reset.push_back(id);
  }
  for (const Waiting& waiting : m_queue) {
    aEffects.m_reset.push_back(waiting.m_id);
  }
  m_running.clear();
  m_queue.clear();
  ++m_startCount;
  BecomeCold();
}

void
UpstreamModel::BecomeCold()
{
  m_remainingWarmUpAnswers = m_options.m_warmUpAnswers;
}

uint32_t
UpstreamModel::Capacity() const
{
  return IsCold() ? 1 : m_options.m_slots;
}

Duration
UpstreamModel::DrawServiceTime()
{
  double stdDev = m_options.m_logStdDev;
  double mean =
    std::chrono::duration<double>(m_options.m_meanServiceTime).count();
  double seconds =
    mean *
    std::exp(absl::Gaussian<double>(m_random, -stdDev * stdDev / 2, stdDev));
  if (absl::Bernoulli(m_random, m_options.m_stragglerShare)) {
    seconds *= m_options.m_stragglerFactor;
  }
  if (IsCold()) {
    seconds *= m_options.m_coldFactor;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds * m_options.m_slowFactor));
}

void
UpstreamModel::UpdateMaxHeld()
{
  m_counters.m_maxHeld = std::max<uint64_t>(m_counters.m_maxHeld, HeldCount());
  if (IsCold()) {
    m_counters.m_maxHeldWhileCold =
      std::max<uint64_t>(m_counters.m_maxHeldWhileCold, HeldCount());
  }
}

void
UpstreamModel::FillSlots(TimePoint aNow, Effects& aEffects)
{
  Expire(aNow, aEffects);
  while (!m_queue.empty() && RunningCount() < Capacity()) {
    Waiting next = m_queue.front();
    m_queue.pop_front();
    m_running.emplace(next.m_id, next.m_work);
    ++m_counters.m_started;
    aEffects.m_started.push_back({ next.m_id, DrawServiceTime() });
  }
}

} // namespace ebonykeel::standins
