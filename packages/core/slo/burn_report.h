// The report on service-level burn: for each service its target, how many
// requests were good and bad over a short, a long and the target's own window,
// how fast that burns the allowed share, and what burnt it.
//
//   std::string text = FormatBurnReport(MergeBurnReports(reports));
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/slo/burn_counts.h"

namespace ebonykeel {

// What one window holds. `m_window` is in whole seconds.
struct WindowBurn
{
  Duration m_window{};
  BurnCounts m_counts;

  friend bool operator==(const WindowBurn&, const WindowBurn&) = default;
};

struct ServiceBurn
{
  ServiceName m_service;
  ServiceLevelTarget m_target;
  WindowBurn m_short;
  WindowBurn m_long;
  // Over the target's own window.
  WindowBurn m_whole;

  friend bool operator==(const ServiceBurn&, const ServiceBurn&) = default;
};

struct BurnReport
{
  // Sorted by service.
  std::vector<ServiceBurn> m_services;
  // How many instances' counts are in it.
  uint32_t m_instances = 1;
  // How long the instance that counts longest has been counting. Instances
  // keep nothing over a restart, so that this may be less than a window.
  Duration m_countingTime{};

  friend bool operator==(const BurnReport&, const BurnReport&) = default;
};

// Adds up the counts of several instances. Where targets differ, the first
// report's one stands.
[[nodiscard]] BurnReport
MergeBurnReports(std::span<const BurnReport> aReports);

// Returns JSON: the counts, the burn rates made of them, and the text form
// under "text".
[[nodiscard]] std::string
EncodeBurnReport(const BurnReport& aReport);

// Reads what `EncodeBurnReport` wrote; anything else is InvalidArgument.
[[nodiscard]] absl::StatusOr<BurnReport>
DecodeBurnReport(std::string_view aText);

// Returns a table for people, the service that burns fastest first.
[[nodiscard]] std::string
FormatBurnReport(const BurnReport& aReport);

} // namespace ebonykeel
