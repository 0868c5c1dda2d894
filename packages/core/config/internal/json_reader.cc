#include "core/config/internal/json_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

namespace ebonykeel::internal {
namespace {

using nlohmann::json;

absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

JsonReader::JsonReader(const json& aObject, std::string aPath)
  : m_object(&aObject)
  , m_path(std::move(aPath))
{
  if (!aObject.is_object()) {
    m_status =
      absl::InvalidArgumentError(absl::StrCat(m_path, " is not an object"));
  }
}

std::string
JsonReader::Text(std::string_view aKey,
                 const std::function<bool(std::string_view)>& aAccepts)
{
  const json* value = Find(aKey);
  if (!value) {
    return {};
  }
  const auto* text = value->get_ptr<const std::string*>();
  if (!text || !aAccepts(*text)) {
    Fail(aKey, "is no text of the kind that is allowed");
    return {};
  }
  return *text;
}

int64_t
JsonReader::Integer(std::string_view aKey, int64_t aMin, int64_t aMax)
{
  const json* value = Find(aKey);
  if (!value) {
    return aMin;
  }
  constexpr auto kMaxInt64 =
    static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  bool fits =
    value->is_number_integer() &&
    !(value->is_number_unsigned() && value->get<uint64_t>() > kMaxInt64);
  int64_t number = fits ? value->get<int64_t>() : aMin;
  if (!fits || number < aMin || number > aMax) {
    Fail(aKey, absl::StrCat("is no integer from ", aMin, " to ", aMax));
    return aMin;
  }
  return number;
}

double
JsonReader::Fraction(std::string_view aKey, double aMin, double aMax)
{
  const json* value = Find(aKey);
  if (!value) {
    return aMax;
  }
  double number = value->is_number() ? value->get<double>() : aMin;
  if (!(number > aMin && number <= aMax)) {
    Fail(aKey, absl::StrCat("is no number over ", aMin, " up to ", aMax));
    return aMax;
  }
  return number;
}

std::vector<std::string>
JsonReader::Texts(std::string_view aKey,
                  const std::function<bool(std::string_view)>& aAccepts)
{
  std::vector<std::string> texts;
  for (const json& value : Array(aKey)) {
    const auto* text = value.get_ptr<const std::string*>();
    if (!text || !aAccepts(*text)) {
      Fail(aKey, "holds an entry that is not allowed");
      return {};
    }
    texts.push_back(*text);
  }
  return texts;
}

const json&
JsonReader::Array(std::string_view aKey)
{
  static const json kEmpty = json::array();
  const json* value = Find(aKey);
  if (value && value->is_array()) {
    return *value;
  }
  if (value) {
    Fail(aKey, "is not an array");
  }
  return kEmpty;
}

const json&
JsonReader::Object(std::string_view aKey)
{
  static const json kEmpty = json::object();
  const json* value = Find(aKey);
  if (value && value->is_object()) {
    return *value;
  }
  if (value) {
    Fail(aKey, "is not an object");
  }
  return kEmpty;
}

void
JsonReader::Fail(std::string_view aKey, std::string_view aProblem)
{
  Adopt(absl::InvalidArgumentError(
    absl::StrCat(m_path, ".", ToAbsl(aKey), " ", ToAbsl(aProblem))));
}

void
JsonReader::Adopt(const absl::Status& aStatus)
{
  m_status.Update(aStatus);
}

absl::Status
JsonReader::Finish()
{
  if (!m_status.ok()) {
    return m_status;
  }
  for (const auto& [key, value] : m_object->items()) {
    if (std::ranges::find(m_expectedKeys, key) == m_expectedKeys.end()) {
      return absl::InvalidArgumentError(
        absl::StrCat(m_path, ".", key, " is not a known key"));
    }
  }
  return absl::OkStatus();
}

const json*
JsonReader::Find(std::string_view aKey)
{
  m_expectedKeys.emplace_back(aKey);
  if (!m_object->is_object()) {
    return nullptr;
  }
  auto found = m_object->find(std::string(aKey));
  if (found == m_object->end()) {
    Fail(aKey, "is missing");
    return nullptr;
  }
  return &*found;
}

} // namespace ebonykeel::internal
