#include "core/slo/burn_report.h"

#include <algorithm>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr int64_t kSecondsPerMinute = 60;
constexpr int64_t kSecondsPerHour = 3600;
constexpr double kPercent = 100;

int64_t
ToSeconds(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::seconds>(aSpan).count();
}

// Returns the duration in the largest unit that fits, such as "5m", "24h" or
// "90s".
std::string
FormatDuration(Duration aSpan)
{
  int64_t seconds = ToSeconds(aSpan);
  if (seconds >= kSecondsPerHour && seconds % kSecondsPerHour == 0) {
    return absl::StrCat(seconds / kSecondsPerHour, "h");
  }
  if (seconds >= kSecondsPerMinute && seconds % kSecondsPerMinute == 0) {
    return absl::StrCat(seconds / kSecondsPerMinute, "m");
  }
  return absl::StrCat(seconds, "s");
}

std::string
CauseName(size_t aIndex)
{
  return std::string(BurnCauseName(static_cast<BurnCause>(aIndex)));
}

Json
WindowJson(const WindowBurn& aWindow, double aObjective)
{
  Json bad = Json::object();
  for (size_t i = 0; i < kBurnCauses; ++i) {
    bad[CauseName(i)] = aWindow.m_counts.m_bad[i];
  }
  return { { "window_s", ToSeconds(aWindow.m_window) },
           { "good", aWindow.m_counts.m_good },
           { "bad", bad },
           { "burn_rate", BurnRate(aWindow.m_counts, aObjective) } };
}

Json
ServiceJson(const ServiceBurn& aService)
{
  const ServiceLevelTarget& target = aService.m_target;
  return { { "service", aService.m_service.Text() },
           { "objective", target.m_objective },
           { "latency_ms", ToMilliseconds(target.m_latency) },
           { "coverage", target.m_coverage },
           { "short", WindowJson(aService.m_short, target.m_objective) },
           { "long", WindowJson(aService.m_long, target.m_objective) },
           { "whole", WindowJson(aService.m_whole, target.m_objective) } };
}

// Reads members of JSON objects and records whether all of them were valid.
class FieldReader
{
public:
  uint64_t Count(const Json& aObject, const std::string& aKey)
  {
    const Json* value = Find(aObject, aKey);
    bool valid = value != nullptr && value->is_number_unsigned();
    m_valid = m_valid && valid;
    return valid ? value->get<uint64_t>() : 0;
  }

  // Returns a count of seconds or milliseconds, limited so that it fits a
  // Duration.
  int64_t Span(const Json& aObject, const std::string& aKey)
  {
    constexpr uint64_t kMaxCount = 1'000'000'000;
    uint64_t count = Count(aObject, aKey);
    m_valid = m_valid && count <= kMaxCount;
    return static_cast<int64_t>(std::min(count, kMaxCount));
  }

  double Share(const Json& aObject, const std::string& aKey)
  {
    const Json* value = Find(aObject, aKey);
    double share =
      value != nullptr && value->is_number() ? value->get<double>() : 0;
    m_valid = m_valid && share > 0 && share <= 1;
    return share;
  }

  std::string Text(const Json& aObject, const std::string& aKey)
  {
    const Json* value = Find(aObject, aKey);
    bool valid = value != nullptr && value->is_string();
    m_valid = m_valid && valid;
    return valid ? value->get<std::string>() : std::string();
  }

  const Json& Member(const Json& aObject, const std::string& aKey)
  {
    static const Json kNull;
    const Json* value = Find(aObject, aKey);
    m_valid = m_valid && value != nullptr;
    return value == nullptr ? kNull : *value;
  }

  [[nodiscard]] bool Valid() const { return m_valid; }

private:
  static const Json* Find(const Json& aObject, const std::string& aKey)
  {
    if (!aObject.is_object()) {
      return nullptr;
    }
    auto found = aObject.find(aKey);
    return found == aObject.end() ? nullptr : &*found;
  }

  bool m_valid = true;
};

WindowBurn
ReadWindow(FieldReader& aReader, const Json& aJson)
{
  WindowBurn window;
  window.m_window = Seconds(aReader.Span(aJson, "window_s"));
  window.m_counts.m_good = aReader.Count(aJson, "good");
  const Json& bad = aReader.Member(aJson, "bad");
  for (size_t i = 0; i < kBurnCauses; ++i) {
    window.m_counts.m_bad[i] = aReader.Count(bad, CauseName(i));
  }
  return window;
}

ServiceBurn
ReadService(FieldReader& aReader, const Json& aJson)
{
  ServiceBurn service;
  service.m_service = ServiceName(aReader.Text(aJson, "service"));
  service.m_target.m_objective = aReader.Share(aJson, "objective");
  service.m_target.m_latency = Milliseconds(aReader.Span(aJson, "latency_ms"));
  service.m_target.m_coverage = aReader.Share(aJson, "coverage");
  service.m_short = ReadWindow(aReader, aReader.Member(aJson, "short"));
  service.m_long = ReadWindow(aReader, aReader.Member(aJson, "long"));
  service.m_whole = ReadWindow(aReader, aReader.Member(aJson, "whole"));
  service.m_target.m_window = service.m_whole.m_window;
  return service;
}

// Returns the causes by descending count, such as
// "late 12 (80%), uncovered 3 (20%)".
std::string
FormatCauses(const BurnCounts& aCounts)
{
  std::vector<std::pair<uint64_t, std::string>> causes;
  for (size_t i = 0; i < kBurnCauses; ++i) {
    if (aCounts.m_bad[i] > 0) {
      causes.emplace_back(aCounts.m_bad[i], CauseName(i));
    }
  }
  std::ranges::stable_sort(
    causes, std::greater<>(), &std::pair<uint64_t, std::string>::first);
  std::string text;
  for (const auto& [count, name] : causes) {
    double share = kPercent * static_cast<double>(count) /
                   static_cast<double>(aCounts.Bad());
    absl::StrAppend(&text,
                    text.empty() ? "" : ", ",
                    absl::StrFormat("%s %d (%.0f%%)", name, count, share));
  }
  return text.empty() ? "-" : text;
}

std::string
FormatService(const ServiceBurn& aService)
{
  const ServiceLevelTarget& target = aService.m_target;
  auto burn = [&](const WindowBurn& aWindow) {
    return absl::StrFormat("%s %.2f",
                           FormatDuration(aWindow.m_window),
                           BurnRate(aWindow.m_counts, target.m_objective));
  };
  return absl::StrFormat(
    "%s\n  target %g%% within %d ms and coverage %g over %s: good %d, bad %d\n"
    "  burn %s, %s, %s\n  burnt by: %s\n",
    aService.m_service.Text(),
    kPercent * target.m_objective,
    ToMilliseconds(target.m_latency),
    target.m_coverage,
    FormatDuration(aService.m_whole.m_window),
    aService.m_whole.m_counts.m_good,
    aService.m_whole.m_counts.Bad(),
    burn(aService.m_short),
    burn(aService.m_long),
    burn(aService.m_whole),
    FormatCauses(aService.m_whole.m_counts));
}

} // namespace

BurnReport
MergeBurnReports(std::span<const BurnReport> aReports)
{
  BurnReport merged;
  merged.m_instances = 0;
  std::map<ServiceName, ServiceBurn> byName;
  for (const BurnReport& report : aReports) {
    merged.m_instances += report.m_instances;
    merged.m_countingTime =
      std::max(merged.m_countingTime, report.m_countingTime);
    for (const ServiceBurn& service : report.m_services) {
      auto [entry, inserted] = byName.try_emplace(service.m_service, service);
      if (inserted) {
        continue;
      }
      entry->second.m_short.m_counts.Add(service.m_short.m_counts);
      entry->second.m_long.m_counts.Add(service.m_long.m_counts);
      entry->second.m_whole.m_counts.Add(service.m_whole.m_counts);
    }
  }
  merged.m_services.reserve(byName.size());
  for (auto& [name, service] : byName) {
    merged.m_services.push_back(std::move(service));
  }
  return merged;
}

std::string
EncodeBurnReport(const BurnReport& aReport)
{
  Json services = Json::array();
  std::ranges::transform(
    aReport.m_services, std::back_inserter(services), ServiceJson);
  Json object{ { "instances", aReport.m_instances },
               { "counting_s", ToSeconds(aReport.m_countingTime) },
               { "services", services },
               { "text", FormatBurnReport(aReport) } };
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<BurnReport>
DecodeBurnReport(std::string_view aText)
{
  Json object = Json::parse(aText, nullptr, false);
  FieldReader reader;
  BurnReport report;
  constexpr uint64_t kMaxInstances = 1'000'000;
  report.m_instances = static_cast<uint32_t>(
    std::min(reader.Count(object, "instances"), kMaxInstances));
  report.m_countingTime = Seconds(reader.Span(object, "counting_s"));
  const Json& services = reader.Member(object, "services");
  if (!services.is_array()) {
    return absl::InvalidArgumentError("burn report has no array of services");
  }
  for (const Json& service : services) {
    report.m_services.push_back(ReadService(reader, service));
  }
  if (!reader.Valid()) {
    return absl::InvalidArgumentError(
      "burn report has a missing or invalid value");
  }
  return report;
}

std::string
FormatBurnReport(const BurnReport& aReport)
{
  std::vector<const ServiceBurn*> order;
  std::ranges::transform(aReport.m_services,
                         std::back_inserter(order),
                         [](const ServiceBurn& aBurn) { return &aBurn; });
  std::ranges::stable_sort(
    order, std::greater<>(), [](const ServiceBurn* aBurn) {
      return BurnRate(aBurn->m_whole.m_counts, aBurn->m_target.m_objective);
    });
  std::string text = absl::StrFormat(
    "service-level burn of %d services on %d instances, counting for up to "
    "%s; burn 1 uses up exactly what the target allows\n",
    aReport.m_services.size(),
    aReport.m_instances,
    FormatDuration(aReport.m_countingTime));
  for (const ServiceBurn* service : order) {
    absl::StrAppend(&text, FormatService(*service));
  }
  return text;
}

} // namespace ebonykeel
