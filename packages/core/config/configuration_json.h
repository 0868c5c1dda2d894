// The stored form of the configuration: one JSON object in the platform's
// store, and one more for each generation of its history.
//
//   std::string body = EncodeConfiguration(configuration);
//   absl::StatusOr<Configuration> decoded = DecodeConfiguration(body);
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "core/config/configuration.h"

namespace ebonykeel {

// The key of the configuration that was accepted last.
inline constexpr std::string_view kCurrentConfigurationKey = "config/current";

// Returns the key under which generation `aGeneration` stays readable. Keys
// sort in the order of their generations.
[[nodiscard]] std::string
ConfigurationHistoryKey(Generation aGeneration);

// Returns compact JSON with sorted keys: equal values give equal texts. Spans
// of time are kept in whole milliseconds.
[[nodiscard]] std::string
EncodeConfiguration(const Configuration& aConfiguration);

// Reads what `EncodeConfiguration` wrote. Anything else, such as an unknown
// key, a value out of range, a name that stands twice or a text over
// `kMaxConfigurationBytes`, is InvalidArgument with the reason.
[[nodiscard]] absl::StatusOr<Configuration>
DecodeConfiguration(std::string_view aText);

} // namespace ebonykeel
