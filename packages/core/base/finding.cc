#include "core/base/finding.h"

#include "absl/strings/str_cat.h"

namespace ebonykeel {

std::string
FormatFinding(const Finding& aFinding)
{
  std::string text = absl::StrCat(aFinding.m_place.m_file,
                                  ":",
                                  aFinding.m_place.m_line,
                                  ":",
                                  aFinding.m_place.m_column,
                                  ": ");
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
