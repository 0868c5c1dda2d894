#include "core/config/internal/toml_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/config/limits.h"

namespace ebonykeel::internal {
namespace {

// Maximum length of an invalid string that a finding quotes.
constexpr size_t kMaxQuotedBytes = 80;

absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

Place
PlaceFrom(const toml::source_region& aRegion, std::string aFile)
{
  return { std::move(aFile),
           static_cast<uint32_t>(aRegion.begin.line),
           static_cast<uint32_t>(aRegion.begin.column) };
}

std::string_view
TypeName(toml::node_type aType)
{
  switch (aType) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a float";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

std::string
Quote(std::string_view aText)
{
  bool cut = aText.size() > kMaxQuotedBytes;
  return absl::StrCat(
    "\"", ToAbsl(aText.substr(0, kMaxQuotedBytes)), cut ? "...\"" : "\"");
}

std::string
Describe(NumberRange aRange)
{
  return absl::StrCat(aRange.m_minOpen ? "over " : "",
                      aRange.m_min,
                      aRange.m_maxOpen ? " to under " : " to ",
                      aRange.m_max);
}

bool
Contains(NumberRange aRange, double aValue)
{
  bool aboveMin =
    aRange.m_minOpen ? aValue > aRange.m_min : aValue >= aRange.m_min;
  bool belowMax =
    aRange.m_maxOpen ? aValue < aRange.m_max : aValue <= aRange.m_max;
  return aboveMin && belowMax;
}

} // namespace

TomlReader::TomlReader(const toml::table& aTable,
                       std::string aPath,
                       Place aPlace,
                       Findings& aFindings)
  : m_table(&aTable)
  , m_path(std::move(aPath))
  , m_place(std::move(aPlace))
  , m_findings(&aFindings)
{
}

std::string
TomlReader::Text(std::string_view aKey,
                 const TextRule& aRule,
                 const std::optional<std::string>& aDefault)
{
  const toml::node* node = Find(aKey, !aDefault);
  std::string text = aDefault.value_or("");
  if (node) {
    CheckText(*node, PathOf(aKey), aRule, text);
  }
  return text;
}

int64_t
TomlReader::Integer(std::string_view aKey,
                    IntegerRange aRange,
                    std::optional<int64_t> aDefault)
{
  int64_t fallback = aDefault.value_or(aRange.m_min);
  const toml::node* node = Find(aKey, !aDefault);
  if (!node) {
    return fallback;
  }
  if (!node->is_integer()) {
    ReportType(*node, PathOf(aKey), "an integer");
    return fallback;
  }
  int64_t value = node->as_integer()->get();
  if (value < aRange.m_min || value > aRange.m_max) {
    ReportAt(*node,
             PathOf(aKey),
             absl::StrCat("is ", value),
             absl::StrCat(aRange.m_min, " to ", aRange.m_max));
    return fallback;
  }
  return value;
}

double
TomlReader::Number(std::string_view aKey,
                   NumberRange aRange,
                   std::optional<double> aDefault)
{
  double fallback = aDefault.value_or(aRange.m_max);
  const toml::node* node = Find(aKey, !aDefault);
  if (!node) {
    return fallback;
  }
  if (!node->is_number()) {
    ReportType(*node, PathOf(aKey), "a number");
    return fallback;
  }
  double value = node->is_integer()
                   ? static_cast<double>(node->as_integer()->get())
                   : node->as_floating_point()->get();
  if (!Contains(aRange, value)) {
    ReportAt(*node, PathOf(aKey), absl::StrCat("is ", value), Describe(aRange));
    return fallback;
  }
  return value;
}

bool
TomlReader::Boolean(std::string_view aKey, bool aDefault)
{
  const toml::node* node = Find(aKey, false);
  if (!node) {
    return aDefault;
  }
  if (!node->is_boolean()) {
    ReportType(*node, PathOf(aKey), "a boolean");
    return aDefault;
  }
  return node->as_boolean()->get();
}

std::vector<PlacedText>
TomlReader::Texts(std::string_view aKey,
                  const TextRule& aRule,
                  size_t aMaxCount,
                  std::vector<PlacedText> aDefault)
{
  const toml::array* array = FindArray(aKey, false, aMaxCount);
  if (!array) {
    return aDefault;
  }
  std::vector<PlacedText> texts;
  for (size_t i = 0; i < array->size(); ++i) {
    const toml::node& node = *array->get(i);
    std::string text;
    if (CheckText(node, absl::StrCat(PathOf(aKey), "[", i, "]"), aRule, text)) {
      texts.push_back(
        { std::move(text), PlaceFrom(node.source(), m_place.m_file) });
    }
  }
  return texts;
}

std::optional<TomlReader>
TomlReader::Table(std::string_view aKey)
{
  const toml::node* node = Find(aKey, false);
  if (!node) {
    return std::nullopt;
  }
  if (!node->is_table()) {
    ReportType(*node, PathOf(aKey), "a table");
    return std::nullopt;
  }
  return TomlReader(*node->as_table(),
                    PathOf(aKey),
                    PlaceFrom(node->source(), m_place.m_file),
                    *m_findings);
}

std::vector<TomlReader>
TomlReader::Tables(std::string_view aKey, size_t aMaxCount)
{
  std::vector<TomlReader> readers;
  const toml::array* array = FindArray(aKey, true, aMaxCount);
  if (!array) {
    return readers;
  }
  if (array->empty()) {
    ReportAt(*array, PathOf(aKey), "is empty", "at least one table");
  }
  for (size_t i = 0; i < array->size(); ++i) {
    const toml::node& node = *array->get(i);
    std::string path = absl::StrCat(PathOf(aKey), "[", i, "]");
    if (!node.is_table()) {
      ReportType(node, path, "a table");
      continue;
    }
    readers.emplace_back(*node.as_table(),
                         std::move(path),
                         PlaceFrom(node.source(), m_place.m_file),
                         *m_findings);
  }
  return readers;
}

void
TomlReader::ReportUnknownKeys()
{
  std::string allowed;
  for (const std::string& key : m_expectedKeys) {
    absl::StrAppend(&allowed, allowed.empty() ? "" : ", ", key);
  }
  for (auto&& [key, node] : *m_table) {
    if (m_expectedKeys.contains(key.str())) {
      continue;
    }
    m_findings->push_back({ PlaceFrom(key.source(), m_place.m_file),
                            PathOf(key.str()),
                            "is not a known key",
                            allowed });
  }
}

void
TomlReader::Report(std::string_view aKey,
                   std::string aProblem,
                   std::string aAllowed)
{
  m_findings->push_back(
    { PlaceOf(aKey), PathOf(aKey), std::move(aProblem), std::move(aAllowed) });
}

Place
TomlReader::PlaceOf(std::string_view aKey) const
{
  const toml::node* node = m_table->get(aKey);
  return node ? PlaceFrom(node->source(), m_place.m_file) : m_place;
}

std::string
TomlReader::PathOf(std::string_view aKey) const
{
  return m_path.empty() ? std::string(aKey)
                        : absl::StrCat(m_path, ".", ToAbsl(aKey));
}

bool
TomlReader::Has(std::string_view aKey) const
{
  return m_table->contains(aKey);
}

const toml::node*
TomlReader::Find(std::string_view aKey, bool aRequired)
{
  m_expectedKeys.emplace(aKey);
  const toml::node* node = m_table->get(aKey);
  if (!node && aRequired) {
    Report(aKey, "is missing");
  }
  return node;
}

const toml::array*
TomlReader::FindArray(std::string_view aKey, bool aRequired, size_t aMaxCount)
{
  const toml::node* node = Find(aKey, aRequired);
  if (!node) {
    return nullptr;
  }
  if (!node->is_array()) {
    ReportType(*node, PathOf(aKey), "an array");
    return nullptr;
  }
  const toml::array* array = node->as_array();
  if (array->size() > aMaxCount) {
    ReportAt(*node,
             PathOf(aKey),
             absl::StrCat("has ", array->size(), " entries"),
             absl::StrCat("at most ", aMaxCount));
  }
  return array;
}

void
TomlReader::ReportAt(const toml::node& aNode,
                     std::string aKey,
                     std::string aProblem,
                     std::string aAllowed)
{
  m_findings->push_back({ PlaceFrom(aNode.source(), m_place.m_file),
                          std::move(aKey),
                          std::move(aProblem),
                          std::move(aAllowed) });
}

void
TomlReader::ReportType(const toml::node& aNode,
                       std::string aKey,
                       std::string_view aWanted)
{
  ReportAt(aNode,
           std::move(aKey),
           absl::StrCat("is ", ToAbsl(TypeName(aNode.type()))),
           std::string(aWanted));
}

bool
TomlReader::CheckText(const toml::node& aNode,
                      std::string aKey,
                      const TextRule& aRule,
                      std::string& aText)
{
  if (!aNode.is_string()) {
    ReportType(aNode, std::move(aKey), "a string");
    return false;
  }
  const std::string& text = aNode.as_string()->get();
  if (aRule.m_accepts && !aRule.m_accepts(text)) {
    ReportAt(aNode,
             std::move(aKey),
             absl::StrCat("is ", Quote(text)),
             aRule.m_allowed);
    return false;
  }
  aText = text;
  return true;
}

TomlDocument::TomlDocument(std::optional<toml::table> aTable, std::string aFile)
  : m_table(std::move(aTable))
  , m_file(std::move(aFile))
{
}

TomlReader
TomlDocument::Root(Findings& aFindings) const
{
  return TomlReader(*m_table, "", Place{ m_file, 1, 1 }, aFindings);
}

TomlDocument
ParseToml(std::string_view aText,
          std::string_view aFileName,
          Findings& aFindings)
{
  toml::parse_result result = toml::parse(aText, aFileName);
  if (!result) {
    const toml::parse_error& error = result.error();
    aFindings.push_back(
      { PlaceFrom(error.source(), std::string(aFileName)),
        "",
        absl::StrCat("is no TOML: ", ToAbsl(error.description())),
        "" });
    return TomlDocument(std::nullopt, std::string(aFileName));
  }
  return TomlDocument(std::move(result).table(), std::string(aFileName));
}

TextRule
NameRule()
{
  return { IsName, std::string(kNameRule) };
}

void
SortFindings(Findings& aFindings)
{
  std::ranges::stable_sort(aFindings, {}, [](const Finding& aFinding) {
    return std::pair(aFinding.m_place.m_line, aFinding.m_place.m_column);
  });
}

} // namespace ebonykeel::internal
