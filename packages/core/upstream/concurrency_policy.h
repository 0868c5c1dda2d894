// Limits how much work an upstream may hold at once, based on its answers.
//
// `ColdStartRamp` is the policy of the product: an upstream that is not known
// to be warm gets one piece of work at a time, and more only after answers at a
// stable latency. `FixedLimit` always allows every slot and serves as the
// baseline of the bench.
//
//   ColdStartRamp ramp(2, {}, now);
//   ramp.OnAnswer(Milliseconds(4), dispatchedAt, now);
//   if (held < ramp.Limit()) { ... }
#pragma once

#include <cstdint>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel {

// Decides the limit of one upstream. Latencies passed to it are divided by the
// cost of the work that they were measured on.
class ConcurrencyPolicy
{
public:
  virtual ~ConcurrencyPolicy() = default;

  // Returns the maximum number of pieces of work that the upstream may hold
  // now; at least 1.
  [[nodiscard]] virtual uint32_t Limit() const = 0;

  // Returns true if the limit has reached the number of slots.
  [[nodiscard]] virtual bool Warm() const = 0;

  // Returns the expected latency of an ordinary sub-query.
  [[nodiscard]] virtual Duration ExpectedLatency() const = 0;

  // Called when work that was dispatched at `aDispatchedAt` got a good answer.
  virtual void OnAnswer(Duration aLatency,
                        TimePoint aDispatchedAt,
                        TimePoint aNow) = 0;

  // Called when work that was dispatched at `aDispatchedAt` got no answer in
  // time.
  virtual void OnTimeout(TimePoint aDispatchedAt, TimePoint aNow) = 0;

  // Called when the upstream may have become cold.
  virtual void BecomeCold(TimePoint aNow) = 0;

  // Adopts the limit that the previous owner of the upstream had reached during
  // the same process run of the upstream.
  virtual void Resume(uint32_t aLimit, Duration aExpectedLatency) = 0;
};

struct ColdStartSettings
{
  // The number of consecutive answers that raise the limit by one if their
  // median latency is stable; at least 1.
  uint32_t m_answersPerStep = 8;
  // A median is stable up to this multiple of the baseline latency; above 1.
  double m_stableFactor = 2.0;
  // Without a baseline, a cold upstream looks like a slow one. The
  // limit is then first raised only after this many groups of answers, or after
  // the smaller number `m_groupsAfterDrop` once the median has dropped to less
  // than half.
  uint32_t m_groupsWithoutBaseline = 6;
  uint32_t m_groupsAfterDrop = 3;
  // The number of groups after which the new stable latency of a cold upstream
  // replaces the baseline.
  uint32_t m_groupsToReplaceBaseline = 12;
  // A warm upstream becomes cold again after `m_slowAnswers` consecutive
  // answers that took longer than this multiple of the baseline latency; above
  // 1.
  double m_slowFactor = 4.0;
  uint32_t m_slowAnswers = 5;
  // The baseline latency, if it is known from other upstreams of the service; 0
  // if unknown.
  Duration m_baselineLatency{ 0 };
  // The expected latency before the first answer.
  Duration m_initialLatency = Milliseconds(5);
};

class ColdStartRamp : public ConcurrencyPolicy
{
public:
  // Starts cold. `aSlots` is the maximum number of pieces of work that the
  // upstream processes at once.
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
  // Results of work dispatched before this time are ignored, since they say
  // nothing about the current cold start.
  TimePoint m_coldSince;
  // The latencies of the current group of answers.
  std::vector<Duration> m_group;
  uint32_t m_groups = 0;
  Duration m_lastMedian{ 0 };
  // The number of consecutive groups without a drop below half of
  // `m_referenceMedian`, while no baseline is known.
  uint32_t m_stableGroups = 0;
  Duration m_referenceMedian{ 0 };
  bool m_dropSeen = false;
  uint32_t m_slowAnswers = 0;
  // Tracks the median latency of the upstream while it is warm; 0 if unknown.
  Duration m_baselineLatency;
  Duration m_expectedLatency;
};

// Always allows every slot. Used only for comparison in the bench.
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
