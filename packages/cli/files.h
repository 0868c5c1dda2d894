// Access to the files that the tool reads.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace ebonykeel::cli {

// Reads files. Abstract, so that tests can run without a file system.
class FileReader
{
public:
  virtual ~FileReader() = default;
  // Returns the content of `aPath`, or nullopt if it cannot be read.
  [[nodiscard]] virtual std::optional<std::string> Read(
    const std::string& aPath) const = 0;
  // Returns the sorted paths of the files `*.toml` in `aFolder`, or nullopt if
  // the folder cannot be read.
  [[nodiscard]] virtual std::optional<std::vector<std::string>> ListToml(
    const std::string& aFolder) const = 0;
};

// Reads files from the local file system.
class DiskFileReader final : public FileReader
{
public:
  [[nodiscard]] std::optional<std::string> Read(
    const std::string& aPath) const override;
  [[nodiscard]] std::optional<std::vector<std::string>> ListToml(
    const std::string& aFolder) const override;
};

} // namespace ebonykeel::cli
