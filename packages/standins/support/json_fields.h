// Reads optional fields of a JSON object; an absent field leaves its value as
// it is.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/base/time.h"

namespace ebonykeel::standins {

template<typename T>
struct IsVector : std::false_type
{
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};

// Returns whether the JSON type of `aJson` matches `T`: boolean, unsigned
// number, number, array of matching elements, or string.
template<typename T>
[[nodiscard]] bool
HasType(const nlohmann::json& aJson)
{
  if constexpr (std::is_same_v<T, bool>) {
    return aJson.is_boolean();
  } else if constexpr (std::is_unsigned_v<T>) {
    return aJson.is_number_unsigned();
  } else if constexpr (std::is_arithmetic_v<T>) {
    return aJson.is_number();
  } else if constexpr (IsVector<T>::value) {
    return aJson.is_array() &&
           std::ranges::all_of(aJson, HasType<typename T::value_type>);
  } else {
    return aJson.is_string();
  }
}

// Sets `aValue` if `aObject` has the field `aName` and its type matches `T`.
template<typename T>
void
UpdateField(const nlohmann::json& aObject, const char* aName, T& aValue)
{
  auto found = aObject.find(aName);
  if (found != aObject.end() && HasType<T>(*found)) {
    aValue = found->get<T>();
  }
}

// Sets `aValue` if `aObject` has the numeric field `aName`, in milliseconds.
inline void
UpdateMilliseconds(const nlohmann::json& aObject,
                   const char* aName,
                   Duration& aValue)
{
  double milliseconds = ToMillisecondsF(aValue);
  UpdateField(aObject, aName, milliseconds);
  aValue = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace ebonykeel::standins
