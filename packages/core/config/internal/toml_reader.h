// Reads typed values out of a TOML table and collects a finding for each value
// that is missing, unknown, of the wrong type or out of range.
//
//   TomlDocument document = ParseToml(text, "desk.toml", findings);
//   TomlReader root = document.Root(findings);
//   int64_t slots = root.Integer("slots", { 1, 64 }, 2);
//   root.ReportUnknownKeys();
//
// A reader goes on after a bad value and returns the default or an empty value
// in its place; the result counts only if no finding was added.
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

// Both ends are allowed.
struct IntegerRange
{
  int64_t m_min = 0;
  int64_t m_max = std::numeric_limits<int64_t>::max();
};

// The ends are allowed unless marked open.
struct NumberRange
{
  double m_min = 0;
  double m_max = 1;
  bool m_minOpen = false;
  bool m_maxOpen = false;
};

// Which texts a key accepts, and how to say so to an operator.
struct TextRule
{
  std::function<bool(std::string_view)> m_accepts;
  std::string m_allowed;
};

// A text with the place at which it stands.
struct PlacedText
{
  std::string m_text;
  Place m_place;
};

// One table of a document. Borrows the table and the findings, which must
// outlive it.
class TomlReader
{
public:
  // `aPath` names the table in findings, such as "shard[2]"; empty for the
  // root. `aPlace` is used for keys that are missing.
  TomlReader(const toml::table& aTable,
             std::string aPath,
             Place aPlace,
             Findings& aFindings);

  // Each of these reads the value of `aKey`. Without a default the key is
  // required.
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
  // An absent key yields `aDefault`, without a place.
  [[nodiscard]] std::vector<PlacedText> Texts(
    std::string_view aKey,
    const TextRule& aRule,
    size_t aMaxCount,
    std::vector<PlacedText> aDefault = {});

  // Returns the table at `aKey`, or nothing if it is absent or no table.
  [[nodiscard]] std::optional<TomlReader> Table(std::string_view aKey);
  // Returns the tables of the non-empty array at `aKey`, which is required.
  [[nodiscard]] std::vector<TomlReader> Tables(std::string_view aKey,
                                               size_t aMaxCount);

  // Adds a finding for each key that no call above asked for.
  void ReportUnknownKeys();

  // Adds a finding at the value of `aKey`, or at the table if it is absent.
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

// A parsed text. Owns the table that its readers borrow.
class TomlDocument
{
public:
  explicit TomlDocument(std::optional<toml::table> aTable, std::string aFile);

  // Returns whether the text was TOML at all.
  [[nodiscard]] bool Valid() const { return m_table.has_value(); }

  // Returns a reader of the whole text. Requires `Valid()`.
  [[nodiscard]] TomlReader Root(Findings& aFindings) const;

private:
  std::optional<toml::table> m_table;
  std::string m_file;
};

// Parses `aText`. A syntax error is added to `aFindings`; the parser stops at
// the first.
[[nodiscard]] TomlDocument
ParseToml(std::string_view aText,
          std::string_view aFileName,
          Findings& aFindings);

// Returns the rule for names, see `kNameRule`.
[[nodiscard]] TextRule
NameRule();

// Sorts by line and column.
void
SortFindings(Findings& aFindings);

} // namespace ebonykeel::internal
