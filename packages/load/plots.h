// Writes gnuplot scripts that plot the result of an experiment. The scripts
// read CSV files in the same folder and write SVG files of the same names.
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
