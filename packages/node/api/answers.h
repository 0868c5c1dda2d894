// The JSON responses to callers.
#pragma once

#include <nlohmann/json.hpp>

#include "core/filing/filing_run.h"
#include "core/query/query_run.h"
#include "core/routing/routing.h"
#include "runtime/http/message.h"

namespace ebonykeel {

[[nodiscard]] HttpResponse
QueryResponse(const QueryAnswer& aAnswer);

// Returns status 200 for `kRan`, 503 for `kNotRun` and 504 for `kUnknown`.
[[nodiscard]] HttpResponse
FilingResponse(const RequestId& aRequest, const FilingAnswer& aAnswer);

[[nodiscard]] nlohmann::json
AddressesJson(const RoutingAnswer& aAnswer);

} // namespace ebonykeel
