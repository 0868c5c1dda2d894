#include "node/api/api_error.h"

namespace ebonykeel {

std::string
DumpJson(const nlohmann::json& aBody)
{
  return aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse
JsonResponse(const nlohmann::json& aBody)
{
  return { .m_body = DumpJson(aBody) };
}

HttpResponse
ErrorResponse(const ApiError& aError)
{
  nlohmann::json body =
    aError.m_details.is_object() ? aError.m_details : nlohmann::json::object();
  body["code"] = aError.m_code;
  body["message"] = aError.m_message;
  body["outcome"] = OutcomeName(aError.m_outcome);
  HttpResponse response{ .m_status = aError.m_status,
                         .m_body = DumpJson(body) };
  response.m_headers.push_back(
    { "x-outcome", std::string(OutcomeName(aError.m_outcome)) });
  return response;
}

} // namespace ebonykeel
