// Reads the TOML file that describes one query service.
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

// Parses and checks `aText`. Findings are in the order of their places and
// name `aFileName`; a text that is no TOML yields only its first syntax error.
[[nodiscard]] ServiceFileResult
ParseServiceFile(std::string_view aText, std::string_view aFileName);

} // namespace ebonykeel
