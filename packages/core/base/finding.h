// Reports problems in files that operators write, each with its position.
//
// Checks collect all findings before they report, so that one run lists
// everything that needs fixing:
//
//   Findings findings;
//   findings.push_back({ .m_place = { "desk.toml", 4, 9 },
//                        .m_key = "slots",
//                        .m_problem = "is 0",
//                        .m_allowed = "1 to 64" });
//   std::cerr << FormatFindings(findings);
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace ebonykeel {

// A position in a file. Line and column start at 1; 0 means unknown.
struct Place
{
  std::string m_file;
  uint32_t m_line = 0;
  uint32_t m_column = 0;

  friend bool operator==(const Place&, const Place&) = default;
};

// One problem: its position, the key it concerns, what is wrong and which
// values are allowed.
struct Finding
{
  Place m_place;
  std::string m_key;
  std::string m_problem;
  std::string m_allowed;

  friend bool operator==(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

// Returns `file:line:column: key: problem (allowed: ...)`. Parts that are
// unknown or empty are left out.
[[nodiscard]] std::string
FormatFinding(const Finding& aFinding);

// Returns all findings, each on its own line that ends with a newline.
[[nodiscard]] std::string
FormatFindings(std::span<const Finding> aFindings);

} // namespace ebonykeel
