#include "cli/check.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/config/configuration_change.h"
#include "core/config/service_file.h"

namespace ebonykeel::cli {

CheckResult
CheckFiles(const FileReader& aReader, std::span<const std::string> aPaths)
{
  CheckResult result;
  Publication publication;
  for (const std::string& path : aPaths) {
    std::optional<std::string> text = aReader.Read(path);
    if (!text) {
      result.m_findings.push_back(
        { .m_place = { path }, .m_problem = "cannot be read" });
      continue;
    }
    ServiceFileResult parsed = ParseServiceFile(*text, path);
    std::ranges::move(parsed.m_findings, std::back_inserter(result.m_findings));
    if (parsed.m_service) {
      publication.m_services.push_back({ path, *std::move(parsed.m_service) });
    }
    result.m_files.push_back({ path, *std::move(text) });
  }
  if (publication.m_services.empty()) {
    return result;
  }
  // Publishing into an empty configuration detects conflicts between files.
  ChangeResult change = PublishServices(
    Configuration{}, publication, { .m_author = "-", .m_changeId = "-" });
  std::ranges::move(change.m_findings, std::back_inserter(result.m_findings));
  return result;
}

} // namespace ebonykeel::cli
