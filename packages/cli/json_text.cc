#include "cli/json_text.h"

namespace ebonykeel::cli {

using Json = nlohmann::json;

const Json&
Member(const Json& aObject, const char* aKey)
{
  static const Json kNull;
  if (!aObject.is_object()) {
    return kNull;
  }
  auto found = aObject.find(aKey);
  return found == aObject.end() ? kNull : *found;
}

std::string
Scalar(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  return aValue.is_null() ? std::string() : aValue.dump();
}

std::string
Text(const Json& aObject, const char* aKey)
{
  return Scalar(Member(aObject, aKey));
}

} // namespace ebonykeel::cli
