#include "load/plots.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

namespace ebonykeel {
namespace {

constexpr char kPreamble[] =
  "set datafile separator ','\n"
  "set terminal svg size 900,420 background '#ffffff'\n"
  "set grid\n"
  "set key outside top center horizontal\n";

// Escapes `aText` for a string in single quotes in gnuplot.
std::string
Quoted(const std::string& aText)
{
  return absl::StrReplaceAll(aText, { { "'", "''" }, { "\n", " " } });
}

std::string
FaultLines(const LoadResult& aResult)
{
  std::string text;
  for (const InjectedFault& fault : aResult.Faults()) {
    double seconds = ToMillisecondsF(fault.m_at) / 1000;
    absl::StrAppendFormat(&text,
                          "set arrow from %.3f, graph 0 to %.3f, graph 1 "
                          "nohead dashtype 2\n"
                          "set label '%s' at %.3f, graph 0.97 noenhanced\n",
                          seconds,
                          seconds,
                          Quoted(fault.m_text),
                          seconds);
  }
  return text;
}

std::string
TimeLineScript(const std::string& aTitle, const LoadResult& aResult)
{
  return absl::StrCat(
    kPreamble,
    "set output 'time_line.svg'\n",
    "set title '",
    aTitle,
    ": latency over time' noenhanced\n",
    "set xlabel 'seconds'\n",
    "set ylabel 'ms'\n",
    "set y2label 'failed or partial'\n",
    "set y2tics\n",
    "set logscale y\n",
    FaultLines(aResult),
    "plot 'time_line.csv' skip 1 using 1:5 with lines title 'p50', ",
    "'' skip 1 using 1:6 with lines title 'p99', ",
    "'' skip 1 using 1:7 with dots title 'max', ",
    "'' skip 1 using 1:($3+$4) axes x1y2 with impulses ",
    "title 'failed or partial'\n");
}

std::string
LatencyScript(const std::string& aTitle)
{
  return absl::StrCat(
    kPreamble,
    "set output 'latency.svg'\n",
    "set title '",
    aTitle,
    ": latency by share of requests' noenhanced\n",
    "set xlabel 'share of slower requests'\n",
    "set ylabel 'ms'\n",
    "set logscale x\n",
    "set xrange [1:0.0001] reverse\n",
    "plot 'latency.csv' skip 1 using (1.00001-$3):1 with steps ",
    "title 'latency'\n");
}

std::string
CoverageScript(const std::string& aTitle)
{
  return absl::StrCat(
    kPreamble,
    "set output 'coverage.svg'\n",
    "set title '",
    aTitle,
    ": answers by coverage' noenhanced\n",
    "set xlabel 'share of shards covered'\n",
    "set ylabel 'answers'\n",
    "set xrange [-0.05:1.05]\n",
    "set logscale y\n",
    "set yrange [0.5:*]\n",
    "plot 'coverage.csv' skip 1 using 1:2 with impulses linewidth 4 ",
    "title 'answers'\n");
}

} // namespace

std::vector<OutputFile>
MakeOutputFiles(const std::string& aExperiment, const LoadResult& aResult)
{
  std::string title = Quoted(aExperiment);
  nlohmann::json json = aResult.ToJson();
  json["name"] = aExperiment;
  return { { "result.json", absl::StrCat(json.dump(2), "\n") },
           { "time_line.csv", aResult.TimeLineCsv() },
           { "latency.csv", aResult.LatencyCsv() },
           { "coverage.csv", aResult.CoverageCsv() },
           { "time_line.gp", TimeLineScript(title, aResult) },
           { "latency.gp", LatencyScript(title) },
           { "coverage.gp", CoverageScript(title) } };
}

} // namespace ebonykeel
