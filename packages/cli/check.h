// Checks service files without contacting an instance: each file on its own,
// then all files together.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "cli/files.h"
#include "core/base/finding.h"

namespace ebonykeel::cli {

struct ServiceFile
{
  std::string m_path;
  std::string m_text;
};

// The files that could be read and the problems found in all of them.
struct CheckResult
{
  std::vector<ServiceFile> m_files;
  Findings m_findings;
};

// Reads and checks the files at `aPaths`. A file that cannot be read is
// reported as a finding.
[[nodiscard]] CheckResult
CheckFiles(const FileReader& aReader, std::span<const std::string> aPaths);

} // namespace ebonykeel::cli
