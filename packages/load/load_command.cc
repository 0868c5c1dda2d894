#include "load/load_command.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <system_error>

#include "absl/strings/str_format.h"
#include "load/experiment.h"
#include "load/plots.h"

namespace ebonykeel {
namespace {

class NoProgress final : public LoadProgress
{
public:
  void Show(double /* aShare */,
            uint64_t /* aSent */,
            uint64_t /* aInFlight */) override
  {
  }
};

// Draws a progress bar and overwrites it in place.
class ProgressBar final : public LoadProgress
{
public:
  explicit ProgressBar(std::ostream& aStream)
    : m_stream(aStream)
  {
  }

  void Show(double aShare, uint64_t aSent, uint64_t aInFlight) override
  {
    constexpr size_t kWidth = 40;
    auto filled = static_cast<size_t>(aShare * kWidth);
    std::string bar =
      std::string(filled, '=') + std::string(kWidth - filled, ' ');
    m_stream << absl::StrFormat("\r[%s] %3.0f%%  %d sent, %d waiting ",
                                bar,
                                aShare * 100,
                                aSent,
                                aInFlight);
    if (aShare >= 1 && aInFlight == 0) {
      m_stream << "\n";
    }
    m_stream << std::flush;
  }

private:
  std::ostream& m_stream;
};

std::optional<std::string>
ReadWholeFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

bool
WriteFiles(const std::string& aFolder, const std::vector<OutputFile>& aFiles)
{
  std::error_code error;
  std::filesystem::create_directories(aFolder, error);
  for (const OutputFile& output : aFiles) {
    std::ofstream file(std::filesystem::path(aFolder) / output.m_name);
    file << output.m_text;
    if (!file.flush()) {
      return false;
    }
  }
  return true;
}

// Returns a tag that differs between runs with the same seed.
std::string
MakeRunTag(uint64_t aSeed)
{
  return absl::StrFormat("%d-%08x", aSeed, std::random_device{}());
}

} // namespace

LoadExit
RunLoadCommand(Loop& aLoop,
               HttpClient& aClient,
               const LoadCommandOptions& aOptions,
               std::ostream& aOut,
               std::ostream& aError)
{
  std::optional<std::string> text = ReadWholeFile(aOptions.m_experiment);
  if (!text) {
    aError << "cannot read " << aOptions.m_experiment << "\n";
    return LoadExit::kBadInput;
  }
  Findings findings;
  Experiment experiment =
    ParseExperiment(*text, aOptions.m_experiment, findings);
  if (!findings.empty()) {
    aError << FormatFindings(findings);
    return LoadExit::kBadInput;
  }
  experiment.m_rate = aOptions.m_rate.value_or(experiment.m_rate);
  experiment.m_duration = aOptions.m_duration.value_or(experiment.m_duration);
  NoProgress noProgress;
  ProgressBar progressBar(aError);
  LoadProgress& progress = aOptions.m_progressBar
                             ? static_cast<LoadProgress&>(progressBar)
                             : noProgress;
  std::mt19937_64 random(experiment.m_seed);
  LoadRunner runner(aLoop,
                    aClient,
                    experiment,
                    MakeRunTag(experiment.m_seed),
                    random,
                    progress);
  LoadResult result = runner.Run().wait(aLoop.WaitScope());
  std::vector<OutputFile> files = MakeOutputFiles(experiment.m_name, result);
  aOut << (aOptions.m_json ? files.front().m_text : FormatResult(result));
  if (!aOptions.m_output.empty() && !WriteFiles(aOptions.m_output, files)) {
    aError << "cannot write to " << aOptions.m_output << "\n";
    return LoadExit::kBadInput;
  }
  bool passed = result.BrokenPromises() == 0 && result.Answered() > 0;
  return passed ? LoadExit::kOk : LoadExit::kFailed;
}

std::string
FormatResult(const LoadResult& aResult)
{
  nlohmann::json json = aResult.ToJson();
  const nlohmann::json& latency = json["latency"];
  std::string text = absl::StrFormat(
    "requests %d, answered %d, failed %d\n"
    "latency ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n"
    "answers: whole %d, partial %d\n"
    "filings: sent %d, executed %d, doubled %d\n"
    "broken promises: %d\n",
    aResult.Requests(),
    aResult.Answered(),
    json["failed"].get<uint64_t>(),
    latency["p50_ms"].get<double>(),
    latency["p90_ms"].get<double>(),
    latency["p99_ms"].get<double>(),
    latency["p99_9_ms"].get<double>(),
    latency["max_ms"].get<double>(),
    json["coverage"]["whole"].get<uint64_t>(),
    json["coverage"]["partial"].get<uint64_t>(),
    json["filings"]["sent"].get<uint64_t>(),
    json["filings"]["executed"].get<uint64_t>(),
    json["filings"]["doubled"].get<uint64_t>(),
    aResult.BrokenPromises());
  for (const auto& [name, count] : json["refusals"].items()) {
    absl::StrAppendFormat(
      &text, "refused %s: %d\n", name, count.get<uint64_t>());
  }
  for (const auto& [name, count] : json["violations"].items()) {
    absl::StrAppendFormat(
      &text, "violation %s: %d\n", name, count.get<uint64_t>());
  }
  if (json["upstreams"].is_object()) {
    absl::StrAppendFormat(&text,
                          "extra upstream load: %.2f%%\n",
                          100 * json["upstreams"]["extra_share"].get<double>());
  }
  return text;
}

} // namespace ebonykeel
