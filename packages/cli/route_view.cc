#include "cli/route_view.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "cli/json_text.h"

namespace ebonykeel::cli {
namespace {

using Json = nlohmann::json;

bool
IsTrue(const Json& aObject, const char* aKey)
{
  return Member(aObject, aKey) == Json(true);
}

// Returns `aPrefix`, the member and `aSuffix`; empty text without the member.
std::string
Optional(const Json& aObject,
         const char* aKey,
         const char* aPrefix,
         const char* aSuffix)
{
  std::string text = Text(aObject, aKey);
  return text.empty() ? text : absl::StrCat(aPrefix, text, aSuffix);
}

std::string
RenderHead(const Json& aAnswer)
{
  const Json& route = Member(aAnswer, "route");
  std::string split = RenderEach(route, "split", [](const Json& aPart) {
    return absl::StrCat(
      " ", Text(aPart, "service"), "=", Text(aPart, "weight"));
  });
  return absl::StrCat("instance ",
                      Text(aAnswer, "instance"),
                      " in ",
                      Text(aAnswer, "data_centre"),
                      ", configuration version ",
                      Text(aAnswer, "version"),
                      IsTrue(aAnswer, "starting") ? ", starting" : "",
                      "\nroute ",
                      Text(route, "name"),
                      ": ",
                      Text(route, "host"),
                      Text(route, "path_prefix"),
                      " to ",
                      Text(route, "target"),
                      IsTrue(route, "public") ? ", public" : "",
                      ", target ",
                      Text(route, "target_latency_ms"),
                      " ms, time-out ",
                      Text(route, "timeout_ms"),
                      " ms\n",
                      split.empty() ? "" : "split:",
                      split,
                      Optional(route, "split_service", "; next ", "\n"));
}

std::string
RenderCaller(const Json& aAnswer)
{
  const Json& workspace = Member(aAnswer, "workspace");
  std::string priority =
    absl::StrCat("priority ", Text(aAnswer, "priority"), "\n");
  if (!workspace.is_object()) {
    return absl::StrCat("no workspace, ", priority);
  }
  return absl::StrCat("workspace ",
                      Text(workspace, "name"),
                      ", quota left here: ",
                      Text(Member(workspace, "quota"), "left"),
                      ", ",
                      priority);
}

std::string
RenderAdmission(const Json& aAnswer)
{
  const Json& admission = Member(aAnswer, "admission");
  return absl::StrCat(
    "admission: ",
    Text(admission, "decision"),
    Optional(admission, "status", " with ", ""),
    Optional(admission, "reason", " (", ")"),
    Optional(admission, "retry_after_ms", ", Retry-After ", " ms"),
    Optional(admission, "max_wait_ms", " for capacity for up to ", " ms"),
    "\n");
}

std::string
RenderSummary(const Json& aAnswer)
{
  const Json& summary = Member(aAnswer, "summary");
  const Json& slowest = Member(summary, "slowest");
  return absl::StrCat(Text(summary, "services"),
                      " services, ",
                      Text(summary, "required"),
                      " required; ",
                      Text(summary, "with_candidate"),
                      " with a candidate; ",
                      Text(summary, "sent"),
                      " sent, ",
                      Text(summary, "waiting"),
                      " waiting, ",
                      Text(summary, "unavailable"),
                      " unavailable",
                      Optional(slowest, "service", "; slowest ", ""),
                      Optional(slowest, "predicted_ms", " (", " ms)"),
                      "\n");
}

std::string
RenderCandidate(const Json& aCandidate)
{
  std::string text = absl::StrFormat(
    "  %s %-20s %-12s %-20s in flight %s/%s  factor %s  predicted %s ms  "
    "cost %s ms",
    IsTrue(aCandidate, "chosen") ? "*" : " ",
    Text(aCandidate, "id"),
    Text(aCandidate, "data_centre"),
    Text(aCandidate, "state"),
    Text(aCandidate, "in_flight"),
    Text(aCandidate, "slots"),
    Text(aCandidate, "latency_factor"),
    Text(aCandidate, "predicted_ms"),
    Text(aCandidate, "cost_ms"));
  return absl::StrCat(
    text,
    Optional(aCandidate, "unfinished_work_ms", "  unfinished ", " ms"),
    Optional(aCandidate, "cold_for_ms", "  cold for ", " ms"),
    Optional(aCandidate, "unreachable_for_ms", "  unreachable for ", " ms"),
    Optional(aCandidate, "pushing_back_for_ms", "  pushing back for ", " ms"),
    IsTrue(aCandidate, "resuming") ? "  resuming" : "",
    IsTrue(aCandidate, "remote") ? "  remote" : "",
    "\n");
}

std::string
RenderService(const Json& aService)
{
  const Json& candidates = Member(aService, "candidates");
  std::string shown =
    absl::StrCat(candidates.is_array() ? candidates.size() : 0);
  std::string registered = Text(aService, "registered");
  return absl::StrCat(Text(aService, "service"),
                      ": ",
                      Text(aService, "decision"),
                      Optional(aService, "chosen", " to ", ""),
                      Optional(aService, "reason", " (", ")"),
                      ", ",
                      Text(aService, "eligible"),
                      " of ",
                      registered,
                      " eligible",
                      shown == registered ? ""
                                          : absl::StrCat(", ", shown, " shown"),
                      "\n",
                      RenderEach(aService, "candidates", RenderCandidate));
}

} // namespace

std::string
RenderRoute(const Json& aAnswer)
{
  const Json& services = Member(aAnswer, "services");
  std::string shown = absl::StrCat(services.is_array() ? services.size() : 0);
  std::string total = Text(Member(aAnswer, "summary"), "services");
  return absl::StrCat(
    RenderHead(aAnswer),
    RenderCaller(aAnswer),
    RenderAdmission(aAnswer),
    RenderSummary(aAnswer),
    RenderEach(aAnswer, "services", RenderService),
    shown == total
      ? ""
      : absl::StrCat(shown,
                     " of ",
                     total,
                     " services shown; --shard=NAME shows another\n"));
}

} // namespace ebonykeel::cli
