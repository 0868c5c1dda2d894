#include "core/query/sub_query_id.h"

#include <charconv>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace ebonykeel {
namespace {

std::string
BootPrefix(BootId aBoot)
{
  return absl::StrFormat("%016x-", aBoot);
}

} // namespace

SubQueryIds::SubQueryIds(BootId aBoot, uint64_t aQueryNumber)
  : m_prefix(absl::StrCat(BootPrefix(aBoot), aQueryNumber, "-"))
{
}

std::string
SubQueryIds::Next()
{
  ++m_last;
  return absl::StrCat(m_prefix, m_last);
}

std::optional<uint64_t>
QueryNumberOf(std::string_view aId, BootId aBoot)
{
  std::string boot = BootPrefix(aBoot);
  if (!aId.starts_with(boot)) {
    return std::nullopt;
  }
  std::string_view rest = aId.substr(boot.size());
  uint64_t number = 0;
  auto [end, error] =
    std::from_chars(rest.data(), rest.data() + rest.size(), number);
  bool complete = error == std::errc() && end != rest.data() + rest.size();
  return complete && *end == '-' ? std::optional(number) : std::nullopt;
}

} // namespace ebonykeel
