// Parses the TOML file that describes one query service.
//
//   name = "valuation-03"
//   group = "valuation"
//   index_version = 12
//   slots = 2
//
//   [[shard]]
//   name = "s0"
//   replicas = [
//     { id = "v03-a", address = "10.0.0.7:9001", data_centre = "oviedo" },
//   ]
//
//   ServiceFileResult result = ParseServiceFile(text, "valuation-03.toml");
//   if (!result.m_service) {
//     std::cerr << FormatFindings(result.m_findings);
//   }
#pragma once

#include <optional>
#include <string_view>

#include "core/base/finding.h"
#include "core/config/configuration.h"

namespace ebonykeel {

// Either a service or at least one finding.
struct ServiceFileResult
{
  std::optional<ServiceConfig> m_service;
  Findings m_findings;
};

// Parses and validates `aText`. Findings are sorted by their position in the
// text and refer to `aFileName`. If `aText` is not valid TOML, the only finding
// is the first syntax error.
[[nodiscard]] ServiceFileResult
ParseServiceFile(std::string_view aText, std::string_view aFileName);

} // namespace ebonykeel
