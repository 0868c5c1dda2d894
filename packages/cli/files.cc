#include "cli/files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace ebonykeel::cli {

std::optional<std::string>
DiskFileReader::Read(const std::string& aPath) const
{
  std::error_code error;
  if (std::filesystem::is_directory(aPath, error)) {
    return std::nullopt;
  }
  std::ifstream stream(aPath, std::ios::binary);
  if (!stream) {
    return std::nullopt;
  }
  std::string text{ std::istreambuf_iterator<char>(stream), {} };
  return stream.bad() ? std::nullopt : std::optional(std::move(text));
}

std::optional<std::vector<std::string>>
DiskFileReader::ListToml(const std::string& aFolder) const
{
  std::error_code error;
  std::filesystem::directory_iterator entries(aFolder, error);
  if (error) {
    return std::nullopt;
  }
  std::vector<std::string> paths;
  for (const std::filesystem::directory_entry& entry : entries) {
    if (entry.path().extension() == ".toml") {
      paths.push_back(entry.path().string());
    }
  }
  std::ranges::sort(paths);
  return paths;
}

} // namespace ebonykeel::cli
