// JSON responses and errors of the public and the admin HTTP interface.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/query/messages.h"
#include "runtime/http/message.h"

namespace ebonykeel {

// Serialises `aBody`. Bytes that are not valid UTF-8 are replaced.
[[nodiscard]] std::string
DumpJson(const nlohmann::json& aBody);

// Returns a response with status 200.
[[nodiscard]] HttpResponse
JsonResponse(const nlohmann::json& aBody);

// An error response. The code is stable, and the outcome says whether the
// request ran.
struct ApiError
{
  int m_status = 400;
  std::string_view m_code;
  std::string m_message;
  Outcome m_outcome = Outcome::kNotRun;
  // Further fields of the response; an object or null.
  nlohmann::json m_details;
};

[[nodiscard]] HttpResponse
ErrorResponse(const ApiError& aError);

} // namespace ebonykeel
