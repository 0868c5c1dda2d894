// Counts good and bad requests over sliding windows in a ring of buckets.
//
//   BurnRing ring(Seconds(3600), 60);
//   ring.Add(now, BurnCause::kLate);
//   BurnCounts counts = ring.Count(now, Seconds(300));
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel {

// Why a request counts as bad.
enum class BurnCause
{
  // Its latency exceeded the latency target.
  kLate,
  // Its coverage was below the coverage target.
  kUncovered,
  // It was refused and not run.
  kRefused,
  // It failed, or its outcome is unknown.
  kFailed,
};
inline constexpr size_t kBurnCauses = 4;

// Returns the stable name of `aCause`, such as "late".
[[nodiscard]] std::string_view
BurnCauseName(BurnCause aCause);

struct BurnCounts
{
  uint64_t m_good = 0;
  // By cause.
  std::array<uint64_t, kBurnCauses> m_bad{};

  [[nodiscard]] uint64_t Bad() const;
  [[nodiscard]] uint64_t Total() const { return m_good + Bad(); }
  void Add(const BurnCounts& aOther);

  friend bool operator==(const BurnCounts&, const BurnCounts&) = default;
};

// Returns the burn rate: the share of bad requests, divided by the share that
// `aObjective`, in (0, 1), allows. At 1 the error budget is used up exactly as
// fast as allowed; 0 means that there are no bad requests.
[[nodiscard]] double
BurnRate(const BurnCounts& aCounts, double aObjective);

// Counts over the most recent `aSpan`, divided into `aBuckets` buckets. Its
// size is fixed. Time must not go back by more than the span.
class BurnRing
{
public:
  BurnRing(Duration aSpan, size_t aBuckets);

  // Counts one request, as good if `aCause` is nullopt.
  void Add(TimePoint aNow, std::optional<BurnCause> aCause);

  // Returns the counts of the most recent `aWindow`, at most the ring's span.
  // The start of the window is exact to one bucket.
  [[nodiscard]] BurnCounts Count(TimePoint aNow, Duration aWindow) const;

  [[nodiscard]] Duration Span() const;

private:
  struct Bucket
  {
    int64_t m_number = -1;
    uint32_t m_good = 0;
    std::array<uint32_t, kBurnCauses> m_bad{};
  };

  [[nodiscard]] int64_t BucketNumber(TimePoint aTime) const;

  Duration m_bucketWidth;
  std::vector<Bucket> m_buckets;
};

} // namespace ebonykeel
