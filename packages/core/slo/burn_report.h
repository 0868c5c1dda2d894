// The report on service-level burn: for each service its target, the number of
// good and bad requests over a short, a long and the target's own window, the
// burn rates, and the causes of bad requests.
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

// The counts over one window. `m_window` is in whole seconds.
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
  // The number of instances whose counts are included.
  uint32_t m_instances = 1;
  // The longest time that one of the instances has been counting. Counts are
  // lost when an instance restarts, so this may be less than a window.
  Duration m_countingTime{};

  friend bool operator==(const BurnReport&, const BurnReport&) = default;
};

// Adds up the counts of several instances. If targets differ, that of the first
// report is used.
[[nodiscard]] BurnReport
MergeBurnReports(std::span<const BurnReport> aReports);

// Returns JSON with the counts, the burn rates computed from them, and the text
// form under "text".
[[nodiscard]] std::string
EncodeBurnReport(const BurnReport& aReport);

// Parses the JSON of `EncodeBurnReport`. Returns InvalidArgument for anything
// else.
[[nodiscard]] absl::StatusOr<BurnReport>
DecodeBurnReport(std::string_view aText);

// Returns a human-readable text, the service with the highest burn rate first.
[[nodiscard]] std::string
FormatBurnReport(const BurnReport& aReport);

} // namespace ebonykeel
