// Checks service files without a node: each by itself and all together.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "cli/files.h"
#include "core/base/finding.h"

namespace ebonykeel::cli {

// A service file that was read.
struct ServiceFile
{
  std::string m_path;
  std::string m_text;
};

// The files and everything that is wrong with them.
struct CheckResult
{
  std::vector<ServiceFile> m_files;
  Findings m_findings;
};

// Reads and checks the files at `aPaths`. A file that cannot be read is a
// finding.
[[nodiscard]] CheckResult
CheckFiles(const FileReader& aReader, std::span<const std::string> aPaths);

} // namespace ebonykeel::cli
