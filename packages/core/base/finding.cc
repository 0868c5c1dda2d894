#include "core/base/finding.h"

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

// Returns the known part of `aPlace` followed by ": ", or an empty string if
// the file is unknown.
std::string
FormatPlace(const Place& aPlace)
{
  if (aPlace.m_file.empty()) {
    return {};
  }
  if (aPlace.m_line == 0) {
    return absl::StrCat(aPlace.m_file, ": ");
  }
  return absl::StrCat(
    aPlace.m_file, ":", aPlace.m_line, ":", aPlace.m_column, ": ");
}

} // namespace

std::string
FormatFinding(const Finding& aFinding)
{
  std::string text = FormatPlace(aFinding.m_place);
  if (!aFinding.m_key.empty()) {
    absl::StrAppend(&text, aFinding.m_key, ": ");
  }
  absl::StrAppend(&text, aFinding.m_problem);
  if (!aFinding.m_allowed.empty()) {
    absl::StrAppend(&text, " (allowed: ", aFinding.m_allowed, ")");
  }
  return text;
}

std::string
FormatFindings(std::span<const Finding> aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    absl::StrAppend(&text, FormatFinding(finding), "\n");
  }
  return text;
}

} // namespace ebonykeel
