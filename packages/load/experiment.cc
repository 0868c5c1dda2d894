#include "load/experiment.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <span>

#include <toml++/toml.h>

namespace ebonykeel {
namespace {

constexpr double kMaxRate = 1'000'000;
constexpr double kMaxSeconds = 86'400;
constexpr double kMaxCount = 1'000'000;

// Reads the keys of one table and reports invalid values.
class TableReader
{
public:
  TableReader(const toml::table& aTable,
              std::string_view aFile,
              Findings& aFindings)
    : m_table(aTable)
    , m_file(aFile)
    , m_findings(aFindings)
  {
  }

  void Text(std::string_view aKey, std::string& aValue)
  {
    const toml::node* node = Find(aKey);
    if (node != nullptr && !node->is_string()) {
      Report(*node, aKey, "is not a string", "a string in quotes");
      return;
    }
    if (node != nullptr) {
      aValue = node->value_or(std::string());
    }
  }

  void Number(std::string_view aKey, double aMin, double aMax, double& aValue)
  {
    const toml::node* node = Find(aKey);
    if (node == nullptr) {
      return;
    }
    std::optional<double> number =
      node->is_number() ? node->value<double>() : std::nullopt;
    if (!number || *number < aMin || *number > aMax) {
      Report(*node,
             aKey,
             "is not a number in range",
             std::to_string(aMin) + " to " + std::to_string(aMax));
      return;
    }
    aValue = *number;
  }

  template<typename T>
  void Count(std::string_view aKey, double aMin, T& aValue)
  {
    auto number = static_cast<double>(aValue);
    Number(aKey, aMin, kMaxCount, number);
    aValue = static_cast<T>(number);
  }

  // Reads a number in multiples of `aUnit`.
  void Time(std::string_view aKey, Duration aUnit, Duration& aValue)
  {
    double unit = std::chrono::duration<double>(aUnit).count();
    double number = std::chrono::duration<double>(aValue).count() / unit;
    Number(aKey, 0, kMaxSeconds / unit, number);
    aValue = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(number * unit));
  }

  void Texts(std::string_view aKey, std::vector<std::string>& aValues)
  {
    const toml::node* node = Find(aKey);
    if (node == nullptr) {
      return;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr || !std::ranges::all_of(*array, IsText)) {
      Report(*node, aKey, "is not a list of strings", "[\"a\", \"b\"]");
      return;
    }
    aValues.clear();
    for (const toml::node& entry : *array) {
      aValues.push_back(entry.value_or(std::string()));
    }
  }

  void Endpoints(std::string_view aKey, std::vector<Endpoint>& aValues)
  {
    std::vector<std::string> texts;
    Texts(aKey, texts);
    for (const std::string& text : texts) {
      std::optional<Endpoint> endpoint = ParseEndpoint(text);
      if (!endpoint) {
        Report(*Find(aKey), aKey, "holds \"" + text + "\"", "IP address:port");
        continue;
      }
      aValues.push_back(*endpoint);
    }
  }

  // Reports the keys of the table that are not in `aKnown`.
  void ReportUnknown(std::span<const std::string_view> aKnown)
  {
    for (const auto& [key, node] : m_table) {
      if (std::ranges::count(aKnown, std::string_view(key.str())) == 0) {
        Report(node, key.str(), "is unknown", "one of the documented keys");
      }
    }
  }

  void Report(const toml::node& aNode,
              std::string_view aKey,
              std::string aProblem,
              std::string aAllowed)
  {
    m_findings.push_back({ .m_place = { std::string(m_file),
                                        aNode.source().begin.line,
                                        aNode.source().begin.column },
                           .m_key = std::string(aKey),
                           .m_problem = std::move(aProblem),
                           .m_allowed = std::move(aAllowed) });
  }

  [[nodiscard]] const toml::node* Find(std::string_view aKey) const
  {
    return m_table.get(aKey);
  }
  [[nodiscard]] const toml::table& Table() const { return m_table; }

private:
  static bool IsText(const toml::node& aNode) { return aNode.is_string(); }

  const toml::table& m_table;
  std::string_view m_file;
  Findings& m_findings;
};

constexpr std::array<std::string_view, 14> kRootKeys = {
  "name",  "seed",    "duration_s", "warm_up_s",  "arrivals",
  "rate",  "callers", "timeout_ms", "nodes",      "upstreams",
  "query", "filing",  "fault",      "data_centre"
};
constexpr std::array<std::string_view, 5> kQueryKeys = { "services",
                                                         "group",
                                                         "text",
                                                         "limit",
                                                         "deadline_ms" };
constexpr std::array<std::string_view, 3> kFilingKeys = { "share",
                                                          "services",
                                                          "operation" };
constexpr std::array<std::string_view, 5> kFaultKeys = { "at_s",
                                                         "mark",
                                                         "url",
                                                         "method",
                                                         "body" };

void
ReadArrivals(TableReader& aReader, Experiment& aExperiment)
{
  std::string kind = "poisson";
  aReader.Text("arrivals", kind);
  if (kind != "poisson" && kind != "constant") {
    aReader.Report(*aReader.Find("arrivals"),
                   "arrivals",
                   "is \"" + kind + "\"",
                   "\"poisson\" or \"constant\"");
  }
  aExperiment.m_arrivals =
    kind == "constant" ? ArrivalKind::kConstant : ArrivalKind::kPoisson;
}

void
ReadQuery(TableReader aReader, QueryMix& aQuery)
{
  aReader.Texts("services", aQuery.m_services);
  aReader.Text("group", aQuery.m_group);
  aReader.Text("text", aQuery.m_text);
  aReader.Count("limit", 1, aQuery.m_limit);
  aReader.Time("deadline_ms", Milliseconds(1), aQuery.m_deadline);
  aReader.ReportUnknown(kQueryKeys);
  if (aQuery.m_services.empty() == aQuery.m_group.empty()) {
    aReader.Report(aReader.Table(),
                   "query",
                   "names both services and a group, or neither",
                   "one of the two");
  }
}

void
ReadFiling(TableReader aReader, FilingMix& aFiling)
{
  aReader.Number("share", 0, 1, aFiling.m_share);
  aReader.Texts("services", aFiling.m_services);
  aReader.Text("operation", aFiling.m_operation);
  aReader.ReportUnknown(kFilingKeys);
  if (aFiling.m_share > 0 && aFiling.m_services.empty()) {
    aReader.Report(
      aReader.Table(), "filing", "names no services", "at least one");
  }
}

ScheduledFault
ReadFault(TableReader aReader)
{
  ScheduledFault fault;
  std::string url;
  aReader.Time("at_s", Seconds(1), fault.m_at);
  aReader.Text("mark", fault.m_label);
  aReader.Text("url", url);
  aReader.Text("method", fault.m_method);
  aReader.Text("body", fault.m_body);
  aReader.ReportUnknown(kFaultKeys);
  size_t slash = url.find('/');
  std::optional<Endpoint> endpoint = ParseEndpoint(url.substr(0, slash));
  if (!endpoint || slash == std::string::npos) {
    aReader.Report(
      aReader.Table(), "url", "is invalid", "IP address:port/path");
    return fault;
  }
  fault.m_endpoint = *endpoint;
  std::string path = url.substr(slash);
  size_t question = path.find('?');
  fault.m_path = path.substr(0, question);
  fault.m_query =
    question == std::string::npos ? "" : path.substr(question + 1);
  return fault;
}

void
ReadFaults(const toml::table& aRoot,
           std::string_view aFile,
           Findings& aFindings,
           Experiment& aExperiment)
{
  const toml::array* faults = aRoot["fault"].as_array();
  if (faults == nullptr) {
    return;
  }
  for (const toml::node& node : *faults) {
    if (const toml::table* table = node.as_table()) {
      aExperiment.m_faults.push_back(
        ReadFault(TableReader(*table, aFile, aFindings)));
    }
  }
  std::ranges::stable_sort(
    aExperiment.m_faults, std::ranges::less(), &ScheduledFault::m_at);
}

} // namespace

Experiment
ParseExperiment(std::string_view aText,
                std::string_view aFile,
                Findings& aFindings)
{
  Experiment experiment;
  toml::parse_result parsed = toml::parse(aText);
  if (!parsed) {
    const toml::source_region& source = parsed.error().source();
    aFindings.push_back(
      { .m_place = { std::string(aFile),
                     source.begin.line,
                     source.begin.column },
        .m_key = "file",
        .m_problem = std::string(parsed.error().description()),
        .m_allowed = "TOML" });
    return experiment;
  }
  const toml::table& root = parsed.table();
  TableReader reader(root, aFile, aFindings);
  reader.Text("name", experiment.m_name);
  reader.Count("seed", 0, experiment.m_seed);
  reader.Time("duration_s", Seconds(1), experiment.m_duration);
  reader.Time("warm_up_s", Seconds(1), experiment.m_warmUp);
  ReadArrivals(reader, experiment);
  reader.Number("rate", 0.001, kMaxRate, experiment.m_rate);
  reader.Count("callers", 1, experiment.m_callers);
  reader.Text("data_centre", experiment.m_dataCentre);
  reader.Time("timeout_ms", Milliseconds(1), experiment.m_timeout);
  reader.Endpoints("nodes", experiment.m_instances);
  reader.Endpoints("upstreams", experiment.m_upstreams);
  reader.ReportUnknown(kRootKeys);
  if (experiment.m_instances.empty()) {
    reader.Report(root, "nodes", "names no instance", "at least one");
  }
  const toml::table empty;
  const toml::table* query = root["query"].as_table();
  ReadQuery(TableReader(query == nullptr ? empty : *query, aFile, aFindings),
            experiment.m_query);
  if (const toml::table* filing = root["filing"].as_table()) {
    ReadFiling(TableReader(*filing, aFile, aFindings), experiment.m_filing);
  }
  ReadFaults(root, aFile, aFindings, experiment);
  return experiment;
}

} // namespace ebonykeel
