// The JSON errors of both HTTP interfaces.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/query/messages.h"
#include "runtime/http/message.h"

namespace ebonykeel {

// Returns `aBody` as text; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string
DumpJson(const nlohmann::json& aBody);

// Returns an answer with status 200.
[[nodiscard]] HttpResponse
JsonResponse(const nlohmann::json& aBody);

// An error with a stable code and a true statement of whether the request ran.
struct ApiError
{
  int m_status = 400;
  std::string_view m_code;
  std::string m_message;
  Outcome m_outcome = Outcome::kNotRun;
  // Further fields of the answer; an object or null.
  nlohmann::json m_details;
};

[[nodiscard]] HttpResponse
ErrorResponse(const ApiError& aError);

} // namespace ebonykeel
