// Reads typed values from a JSON object and records the first problem.
//
//   JsonReader reader(object, "service");
//   int64_t slots = reader.Integer("slots", 1, 64);
//   absl::Status status = reader.Finish();
//
// Every key that is read is required, and the object may contain no other keys.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace ebonykeel::internal {

// Refers to the object, which must outlive the reader.
class JsonReader
{
public:
  JsonReader(const nlohmann::json& aObject, std::string aPath);

  // Each of the following functions returns the value of `aKey`. If the value
  // is missing or invalid, it records the problem and returns an empty value or
  // a limit of the range.
  [[nodiscard]] std::string Text(
    std::string_view aKey,
    const std::function<bool(std::string_view)>& aAccepts);
  [[nodiscard]] int64_t Integer(std::string_view aKey,
                                int64_t aMin,
                                int64_t aMax);
  // Reads a number in (`aMin`, `aMax`].
  [[nodiscard]] double Fraction(std::string_view aKey,
                                double aMin,
                                double aMax);
  [[nodiscard]] std::vector<std::string> Texts(
    std::string_view aKey,
    const std::function<bool(std::string_view)>& aAccepts);
  // Returns the array at `aKey`, or an empty one if it is missing or invalid.
  [[nodiscard]] const nlohmann::json& Array(std::string_view aKey);
  // Returns the object at `aKey`, or an empty one if it is missing or invalid.
  [[nodiscard]] const nlohmann::json& Object(std::string_view aKey);

  // Records `aProblem` of `aKey` unless a problem was recorded before.
  void Fail(std::string_view aKey, std::string_view aProblem);
  // Records the result of another reader, which has read a part of this object.
  void Adopt(const absl::Status& aStatus);

  // Returns OK, or InvalidArgument with the first problem, which may be an
  // unknown key.
  [[nodiscard]] absl::Status Finish();

private:
  const nlohmann::json* Find(std::string_view aKey);

  const nlohmann::json* m_object;
  std::string m_path;
  std::vector<std::string> m_expectedKeys;
  absl::Status m_status;
};

} // namespace ebonykeel::internal
