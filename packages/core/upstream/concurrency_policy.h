// How much work an upstream may hold, decided from the answers it gave.
//
// `ColdStartRamp` is what the product runs: an upstream that is not known to
// be warm gets one piece of work, and more only after answers at a settled
// latency. `FixedLimit` is the baseline of the bench: always every slot.
//
//   ColdStartRamp ramp(2, {}, now);
//   ramp.OnAnswer(Milliseconds(4), sentAt, now);
//   if (held < ramp.Limit()) { ... }
#pragma once

#include <cstdint>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel {

// Decides the limit of one upstream. Latencies are divided by the cost of the
// work that they belong to.
class ConcurrencyPolicy
{
public:
  virtual ~ConcurrencyPolicy() = default;

  // Returns the most work that the upstream may hold now; at least 1.
  [[nodiscard]] virtual uint32_t Limit() const = 0;

  // Returns true when the upstream has earned every slot.
  [[nodiscard]] virtual bool Warm() const = 0;

  // Returns the latency to expect of an ordinary sub-query.
  [[nodiscard]] virtual Duration ExpectedLatency() const = 0;

  // Notes a good answer to work that was dispatched at `aDispatchedAt`.
  virtual void OnAnswer(Duration aLatency,
                        TimePoint aDispatchedAt,
                        TimePoint aNow) = 0;

  // Notes work that got no answer in time.
  virtual void OnTimeout(TimePoint aDispatchedAt, TimePoint aNow) = 0;

  // Notes a sign that the upstream may have become cold.
  virtual void BecomeCold(TimePoint aNow) = 0;

  // Takes over a limit that a predecessor saw earned by this same run of the
  // upstream.
  virtual void Resume(uint32_t aLimit, Duration aExpectedLatency) = 0;
};

struct ColdStartSettings
{
  // Answers in a row that earn one more slot if their median latency is
  // settled; at least 1.
  uint32_t m_answersPerStep = 8;
  // A median is settled up to this multiple of the usual latency; above 1.
  double m_stableFactor = 2.0;
  // While the usual latency is unknown, a cold upstream looks the same as a
  // slow one. Then so many groups of answers have to pass before the first
  // step, or fewer after the latency was seen to fall by half.
  uint32_t m_groupsWithoutBaseline = 6;
  uint32_t m_groupsAfterDrop = 3;
  // Groups after which a cold upstream's new latency is taken as usual.
  uint32_t m_groupsToReplaceBaseline = 12;
  // A warm upstream is cold again after `m_slowAnswers` answers in a row that
  // took longer than this multiple of the usual latency; above 1.
  double m_slowFactor = 4.0;
  uint32_t m_slowAnswers = 5;
  // The usual latency, where other upstreams of the service have shown it; 0
  // while it is unknown.
  Duration m_baselineLatency{ 0 };
  // Expected until an answer was seen.
  Duration m_initialLatency = Milliseconds(5);
};

class ColdStartRamp : public ConcurrencyPolicy
{
public:
  // Starts cold. `aSlots` is the most that the upstream works on at once.
  ColdStartRamp(uint32_t aSlots,
                const ColdStartSettings& aSettings,
                TimePoint aNow);

  [[nodiscard]] uint32_t Limit() const override;
  [[nodiscard]] bool Warm() const override;
  [[nodiscard]] Duration ExpectedLatency() const override;
  void OnAnswer(Duration aLatency,
                TimePoint aDispatchedAt,
                TimePoint aNow) override;
  void OnTimeout(TimePoint aDispatchedAt, TimePoint aNow) override;
  void BecomeCold(TimePoint aNow) override;
  void Resume(uint32_t aLimit, Duration aExpectedLatency) override;

private:
  void OnColdAnswer(Duration aLatency, TimePoint aNow);
  void OnWarmAnswer(Duration aLatency, TimePoint aNow);
  void CountSlow(TimePoint aNow);
  [[nodiscard]] bool IsStable(Duration aMedian);
  [[nodiscard]] bool IsStableWithoutBaseline(Duration aMedian);

  const uint32_t m_slots;
  const ColdStartSettings m_settings;
  uint32_t m_limit = 1;
  // Work dispatched earlier proves nothing about the current cold start.
  TimePoint m_coldSince;
  // The latencies of the current group.
  std::vector<Duration> m_group;
  uint32_t m_groups = 0;
  Duration m_lastMedian{ 0 };
  // Groups in a row at the latency `m_referenceMedian`, while the usual is
  // unknown.
  uint32_t m_stableGroups = 0;
  Duration m_referenceMedian{ 0 };
  bool m_dropSeen = false;
  uint32_t m_slowAnswers = 0;
  // Follows the median of a warm upstream; 0 while unknown.
  Duration m_baselineLatency;
  Duration m_expectedLatency;
};

// Always allows every slot. Only for comparison in the bench.
class FixedLimit : public ConcurrencyPolicy
{
public:
  explicit FixedLimit(uint32_t aSlots);

  [[nodiscard]] uint32_t Limit() const override;
  [[nodiscard]] bool Warm() const override;
  [[nodiscard]] Duration ExpectedLatency() const override;
  void OnAnswer(Duration aLatency,
                TimePoint aDispatchedAt,
                TimePoint aNow) override;
  void OnTimeout(TimePoint aDispatchedAt, TimePoint aNow) override;
  void BecomeCold(TimePoint aNow) override;
  void Resume(uint32_t aLimit, Duration aExpectedLatency) override;

private:
  const uint32_t m_slots;
  Duration m_expectedLatency = Milliseconds(5);
};

} // namespace ebonykeel
