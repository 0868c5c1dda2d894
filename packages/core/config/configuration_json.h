// Encodes and decodes the stored form of the configuration. The platform's
// store holds the current configuration as one JSON object, and each earlier
// generation as another.
//
//   std::string body = EncodeConfiguration(configuration);
//   absl::StatusOr<Configuration> decoded = DecodeConfiguration(body);
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "core/config/configuration.h"

namespace ebonykeel {

// The store's key of the newest accepted configuration.
inline constexpr std::string_view kCurrentConfigurationKey = "config/current";

// Returns the store's key of generation `aGeneration` in the history. Keys sort
// by generation.
[[nodiscard]] std::string
ConfigurationHistoryKey(Generation aGeneration);

// Returns compact JSON with sorted keys, so that equal configurations have
// equal encodings. Durations are encoded in whole milliseconds, except the
// window of the service-level target, which is encoded in whole hours.
[[nodiscard]] std::string
EncodeConfiguration(const Configuration& aConfiguration);

// Decodes the output of `EncodeConfiguration`. Returns InvalidArgument with the
// reason for anything else, such as an unknown key, a value out of range, a
// duplicate name or a text longer than `kMaxConfigurationBytes`.
[[nodiscard]] absl::StatusOr<Configuration>
DecodeConfiguration(std::string_view aText);

} // namespace ebonykeel
