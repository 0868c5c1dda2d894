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
    TurnCold();
  }
}

Admission
UpstreamModel::Offer(TimePoint aNow,
                     WorkId aId,
                     const Work& aWork,
                     Effects& aEffects)
{
  ++m_counters.m_received;
  m_counters.m_lastWork = aNow;
  if (m_draining) {
    ++m_counters.m_afterDrainReceived;
    return Admission::kDraining;
  }
  if (aWork.m_deadline <= aNow) {
    ++m_counters.m_expired;
    return Admission::kDeadline;
  }
  if (m_queue.size() >= m_options.m_queueLimit && Running() >= Capacity()) {
    ++m_counters.m_shed;
    return Admission::kShed;
  }
  m_queue.push_back({ aId, aWork });
  CountHeld();
  if (IsCold() && Held() > m_options.m_coldLimit) {
    ++m_counters.m_fellOver;
    Restart(aEffects);
    std::erase(aEffects.m_reset, aId);
    return Admission::kFellOver;
  }
  FillSlots(aNow, aEffects);
  return Admission::kTaken;
}

void
UpstreamModel::Finish(TimePoint aNow, WorkId aId, Effects& aEffects)
{
  if (m_running.erase(aId) == 0) {
    return;
  }
  ++m_counters.m_executed;
  m_coldAnswersLeft -= std::min(m_coldAnswersLeft, 1U);
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
  size_t dropped = std::erase_if(
    m_queue, [&](const Waiting& aWaiting) { return aWaiting.m_id == aId; });
  auto running = m_running.find(aId);
  if (running != m_running.end() && !running->second.m_hasEffect) {
    m_running.erase(running);
    ++dropped;
  }
  m_counters.m_cancelled += dropped;
  FillSlots(aNow, aEffects);
  return dropped > 0;
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
  ++m_starts;
  TurnCold();
}

void
UpstreamModel::TurnCold()
{
  m_coldAnswersLeft = m_options.m_coldAnswers;
}

uint32_t
UpstreamModel::Capacity() const
{
  return IsCold() ? 1 : m_options.m_slots;
}

Duration
UpstreamModel::DrawServiceTime()
{
  double spread = m_options.m_spread;
  double mean =
    std::chrono::duration<double>(m_options.m_meanServiceTime).count();
  double seconds =
    mean *
    std::exp(absl::Gaussian<double>(m_random, -spread * spread / 2, spread));
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
UpstreamModel::CountHeld()
{
  m_counters.m_maxHeld = std::max<uint64_t>(m_counters.m_maxHeld, Held());
  if (IsCold()) {
    m_counters.m_maxHeldWhileCold =
      std::max<uint64_t>(m_counters.m_maxHeldWhileCold, Held());
  }
}

void
UpstreamModel::FillSlots(TimePoint aNow, Effects& aEffects)
{
  Expire(aNow, aEffects);
  while (!m_queue.empty() && Running() < Capacity()) {
    Waiting next = m_queue.front();
    m_queue.pop_front();
    m_running.emplace(next.m_id, next.m_work);
    ++m_counters.m_started;
    aEffects.m_started.push_back({ next.m_id, DrawServiceTime() });
  }
}

} // namespace ebonykeel::standins
