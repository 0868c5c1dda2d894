// Parses the TOML file that describes the upstreams of one process:
//
//   [[upstream]]
//   id = "vd-01-a"
//   port = 0
//   service = "vd-01"
//   shards = ["s0"]
//   index_versions = [7]
//   slots = 2
//   connection_limit = 60
//   connect_ms = 6.0
//   service_ms = 5.0
//
// Keys that are absent have the default values that the caller passes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "standins/upstream/upstream_service.h"

namespace ebonykeel::standins {

// Fails with InvalidArgument if `aText` is not valid TOML or has no upstream.
[[nodiscard]] absl::StatusOr<std::vector<UpstreamSettings>>
ParseUpstreams(std::string_view aText, const UpstreamSettings& aDefaults);

} // namespace ebonykeel::standins
