// The scripts that draw an experiment's result with gnuplot. They read the CSV
// files that stand beside them and write SVG files of the same names.
#pragma once

#include <string>
#include <vector>

#include "load/load_result.h"

namespace ebonykeel {

struct OutputFile
{
  std::string m_name;
  std::string m_text;
};

// Returns the result as JSON, the data as CSV and the plot scripts.
[[nodiscard]] std::vector<OutputFile>
MakeOutputFiles(const std::string& aExperiment, const LoadResult& aResult);

} // namespace ebonykeel
