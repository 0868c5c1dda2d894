// What follows from the tolerances of the settings: how each part of the bound
// on a workspace's requests is used.
//
// In any window at most (rate * window + burst) * (1 + overage) + slack
// requests of a workspace may run:
//
// - Leases are valid for 0.8 * overage * window, so that the overage covers
//   tokens that were granted before a window and spent in it. The rest of the
//   overage covers clocks that differ: by up to 1% with an overage of 10%.
// - Buckets hold a quarter of the slack beside the burst, since the burst is
//   divided among data centres while callers gather in one.
// - Reserves use half of the slack if each data centre is cut into two sides,
//   each of which has a reserve. Another quarter is left for more sides.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/base/time.h"
#include "core/config/forward_settings.h"
#include "core/quota/burst_share.h"
#include "core/quota/token_bucket.h"

namespace ebonykeel {

class QuotaPolicy
{
public:
  explicit QuotaPolicy(const QuotaSettings& aSettings)
    : m_window(aSettings.m_window)
    , m_overage(aSettings.m_overage)
    , m_slack(aSettings.m_slack)
    , m_dataCentres(static_cast<double>(
        std::max<size_t>(1, aSettings.m_dataCentres.size())))
  {
  }

  [[nodiscard]] Duration Window() const { return m_window; }

  // How long after its request a lease may be spent.
  [[nodiscard]] Duration LeaseLifetime() const
  {
    constexpr double kOverageForLeases = 0.8;
    return std::chrono::duration_cast<Duration>(m_window * m_overage *
                                                kOverageForLeases);
  }

  // The limit of one data centre's bucket.
  [[nodiscard]] TokenLimit DataCentreLimit(double aRate, double aBurst) const
  {
    constexpr double kSlackForCapacity = 0.25;
    return { .m_rate = aRate / m_dataCentres,
             .m_capacity =
               (aBurst + m_slack * kSlackForCapacity) / m_dataCentres };
  }

  // The reserve of one data centre. What is held and what is refilled in a
  // window are together half of its part, since a data centre that is cut in
  // two has two reserves.
  [[nodiscard]] BurstShareOptions Reserve() const
  {
    constexpr double kSlackForReserve = 0.5;
    // With the usual slack of 20 and three data centres, one whole request is
    // held; the sum makes up for rounding.
    constexpr double kHeld = 0.3 + 1e-9;
    constexpr double kRefilled = 0.2 - 1e-9;
    return { .m_burst = m_slack * kSlackForReserve / m_dataCentres,
             .m_heldShare = kHeld,
             .m_refilledShare = kRefilled,
             .m_window = m_window };
  }

private:
  Duration m_window;
  double m_overage;
  double m_slack;
  double m_dataCentres;
};

} // namespace ebonykeel
