// Reads members of JSON answers as text, whatever their type is.
//
//   std::string state = Text(answer, "state");
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace ebonykeel::cli {

// Returns the member, or null if there is none.
[[nodiscard]] const nlohmann::json&
Member(const nlohmann::json& aObject, const char* aKey);

// Returns a JSON scalar as text: strings without quotes, null as empty text.
[[nodiscard]] std::string
Scalar(const nlohmann::json& aValue);

[[nodiscard]] std::string
Text(const nlohmann::json& aObject, const char* aKey);

// Returns the texts that `aRender` makes of the entries of an array.
template<typename Render>
std::string
RenderEach(const nlohmann::json& aObject, const char* aKey, Render aRender)
{
  std::string text;
  const nlohmann::json& array = Member(aObject, aKey);
  if (array.is_array()) {
    for (const nlohmann::json& entry : array) {
      absl::StrAppend(&text, aRender(entry));
    }
  }
  return text;
}

} // namespace ebonykeel::cli
