// Reads typed values from a TOML table and adds a finding for each key that is
// missing or unknown and each value of the wrong type or out of range.
//
//   TomlDocument document = ParseToml(text, "desk.toml", findings);
//   TomlReader root = document.Root(findings);
//   int64_t slots = root.Integer("slots", { 1, 64 }, 2);
//   root.ReportUnknownKeys();
//
// A reader continues after an invalid value and returns the default, an empty
// value or a limit of the range instead. The results are valid only if no
// finding was added.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "core/base/finding.h"

namespace ebonykeel::internal {

// An inclusive range.
struct IntegerRange
{
  int64_t m_min = 0;
  int64_t m_max = std::numeric_limits<int64_t>::max();
};

// A range that is inclusive at each end unless that end is marked open.
struct NumberRange
{
  double m_min = 0;
  double m_max = 1;
  bool m_minOpen = false;
  bool m_maxOpen = false;
};

// Which strings a key accepts, and a description of them for findings.
struct TextRule
{
  std::function<bool(std::string_view)> m_accepts;
  std::string m_allowed;
};

// A string and its position in the file.
struct PlacedText
{
  std::string m_text;
  Place m_place;
};

// Reads one table of a document. Refers to the table and the findings, which
// must outlive the reader.
class TomlReader
{
public:
  // `aPath` is the name of the table in findings, such as "shard[2]", or empty
  // for the root table. `aPlace` is the position reported for missing keys.
  TomlReader(const toml::table& aTable,
             std::string aPath,
             Place aPlace,
             Findings& aFindings);

  // Each of the following functions returns the value of `aKey`. The key is
  // required if no default is given.
  [[nodiscard]] std::string Text(
    std::string_view aKey,
    const TextRule& aRule,
    const std::optional<std::string>& aDefault = std::nullopt);
  [[nodiscard]] int64_t Integer(std::string_view aKey,
                                IntegerRange aRange,
                                std::optional<int64_t> aDefault = std::nullopt);
  [[nodiscard]] double Number(std::string_view aKey,
                              NumberRange aRange,
                              std::optional<double> aDefault = std::nullopt);
  [[nodiscard]] bool Boolean(std::string_view aKey, bool aDefault);
  // Reads an array of strings. The key is optional.
  [[nodiscard]] std::vector<PlacedText> Texts(
    std::string_view aKey,
    const TextRule& aRule,
    size_t aMaxCount,
    std::vector<PlacedText> aDefault = {});

  // Returns the table at `aKey`, or nullopt if it is missing or not a table.
  // The key is optional.
  [[nodiscard]] std::optional<TomlReader> Table(std::string_view aKey);
  // Returns the tables of the array at `aKey`. The key is required and the
  // array must not be empty.
  [[nodiscard]] std::vector<TomlReader> Tables(std::string_view aKey,
                                               size_t aMaxCount);

  // Adds a finding for each key that none of the functions above has read.
  void ReportUnknownKeys();

  // Adds a finding at the position of the value of `aKey`, or of the table if
  // the key is missing.
  void Report(std::string_view aKey,
              std::string aProblem,
              std::string aAllowed = {});

  [[nodiscard]] Place PlaceOf(std::string_view aKey) const;
  [[nodiscard]] std::string PathOf(std::string_view aKey) const;
  [[nodiscard]] bool Has(std::string_view aKey) const;

private:
  const toml::node* Find(std::string_view aKey, bool aRequired);
  const toml::array* FindArray(std::string_view aKey,
                               bool aRequired,
                               size_t aMaxCount);
  void ReportAt(const toml::node& aNode,
                std::string aKey,
                std::string aProblem,
                std::string aAllowed = {});
  void ReportType(const toml::node& aNode,
                  std::string aKey,
                  std::string_view aWanted);
  bool CheckText(const toml::node& aNode,
                 std::string aKey,
                 const TextRule& aRule,
                 std::string& aText);

  const toml::table* m_table;
  std::string m_path;
  Place m_place;
  Findings* m_findings;
  std::set<std::string, std::less<>> m_expectedKeys;
};

// A parsed document. Owns the table that its readers refer to.
class TomlDocument
{
public:
  explicit TomlDocument(std::optional<toml::table> aTable, std::string aFile);

  // Returns whether the text is valid TOML.
  [[nodiscard]] bool Valid() const { return m_table.has_value(); }

  // Returns a reader of the root table. Requires `Valid()`.
  [[nodiscard]] TomlReader Root(Findings& aFindings) const;

private:
  std::optional<toml::table> m_table;
  std::string m_file;
};

// Parses `aText`. The parser stops at the first syntax error and adds it to
// `aFindings`.
[[nodiscard]] TomlDocument
ParseToml(std::string_view aText,
          std::string_view aFileName,
          Findings& aFindings);

// Returns the rule for names; see `kNameRule`.
[[nodiscard]] TextRule
NameRule();

// Sorts `aFindings` by line and column.
void
SortFindings(Findings& aFindings);

} // namespace ebonykeel::internal
