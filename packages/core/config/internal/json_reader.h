// Reads typed values out of a JSON object and keeps the first problem.
//
//   JsonReader reader(object, "service");
//   int64_t slots = reader.Integer("slots", 1, 64);
//   absl::Status status = reader.Finish();
//
// Every key is required and no other may stand there.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace ebonykeel::internal {

// Borrows the object, which must outlive the reader.
class JsonReader
{
public:
  JsonReader(const nlohmann::json& aObject, std::string aPath);

  // Each of these reads the value of `aKey`; a bad value is remembered and an
  // empty one returned.
  [[nodiscard]] std::string Text(
    std::string_view aKey,
    const std::function<bool(std::string_view)>& aAccepts);
  [[nodiscard]] int64_t Integer(std::string_view aKey,
                                int64_t aMin,
                                int64_t aMax);
  // A number over `aMin` and up to `aMax`.
  [[nodiscard]] double Fraction(std::string_view aKey,
                                double aMin,
                                double aMax);
  [[nodiscard]] std::vector<std::string> Texts(
    std::string_view aKey,
    const std::function<bool(std::string_view)>& aAccepts);
  // Returns the array at `aKey`; an empty one if there is none.
  [[nodiscard]] const nlohmann::json& Array(std::string_view aKey);
  // Returns the object at `aKey`; an empty one if there is none.
  [[nodiscard]] const nlohmann::json& Object(std::string_view aKey);

  // Remembers `aProblem` of `aKey`.
  void Fail(std::string_view aKey, std::string_view aProblem);
  // Remembers the problem of a part that another reader read.
  void Adopt(const absl::Status& aStatus);

  // Returns OK, or InvalidArgument with the first problem or an unknown key.
  [[nodiscard]] absl::Status Finish();

private:
  const nlohmann::json* Find(std::string_view aKey);

  const nlohmann::json* m_object;
  std::string m_path;
  std::vector<std::string> m_expectedKeys;
  absl::Status m_status;
};

} // namespace ebonykeel::internal
