#include "load/upstream_totals.h"

#include <algorithm>

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

uint64_t
Number(const Json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  return found != aObject.end() && found->is_number_unsigned()
           ? found->get<uint64_t>()
           : 0;
}

std::string
Text(const Json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

// Returns the increase of the sum of a counter over all upstreams, or 0 if the
// sum decreased because a counter was reset.
uint64_t
Increase(std::span<const Json> aBefore,
         std::span<const Json> aAfter,
         const char* aName)
{
  auto sum = [aName](std::span<const Json> aList) {
    uint64_t total = 0;
    std::ranges::for_each(
      aList, [&](const Json& aEntry) { total += Number(aEntry, aName); });
    return total;
  };
  uint64_t before = sum(aBefore);
  uint64_t after = sum(aAfter);
  return after - std::min(before, after);
}

uint64_t
MaxOf(std::span<const Json> aList, const char* aName)
{
  uint64_t maximum = 0;
  std::ranges::for_each(aList, [&](const Json& aEntry) {
    maximum = std::max(maximum, Number(aEntry, aName));
  });
  return maximum;
}

} // namespace

void
AppendCounters(const Json& aBody, std::vector<Json>& aCounters)
{
  if (!aBody.is_object()) {
    return;
  }
  auto list = aBody.find("upstreams");
  if (list == aBody.end()) {
    aCounters.push_back(aBody);
    return;
  }
  std::ranges::copy_if(*list,
                       std::back_inserter(aCounters),
                       [](const Json& aEntry) { return aEntry.is_object(); });
}

void
AppendExecutions(const Json& aBody, std::vector<ExecutionRecord>& aExecutions)
{
  if (!aBody.is_object() || !aBody.contains("executions")) {
    return;
  }
  for (const Json& entry : aBody["executions"]) {
    if (entry.is_object()) {
      aExecutions.push_back({ Text(entry, "caller"),
                              Text(entry, "request_id"),
                              Number(entry, "count") });
    }
  }
}

UpstreamTotals
SumUpstreams(std::span<const Json> aBefore, std::span<const Json> aAfter)
{
  return {
    .m_received = Increase(aBefore, aAfter, "received"),
    .m_executed = Increase(aBefore, aAfter, "executed"),
    .m_shed = Increase(aBefore, aAfter, "shed"),
    .m_fellOver = Increase(aBefore, aAfter, "fell_over"),
    .m_connectionsRefused = Increase(aBefore, aAfter, "connections_refused"),
    .m_maxInUse = MaxOf(aAfter, "max_in_use"),
    .m_maxInUseWhileCold = MaxOf(aAfter, "max_in_use_while_cold"),
  };
}

} // namespace ebonykeel
