#include "core/forward/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace ebonykeel {

TopRecordsMerger::TopRecordsMerger(size_t aRecordBytes, size_t aMaxRecords)
  : m_recordBytes(aRecordBytes)
  , m_maxRecords(aMaxRecords)
{
}

std::string
TopRecordsMerger::Merge(std::span<const std::string_view> aParts) const
{
  std::vector<std::string_view> records;
  for (std::string_view part : aParts) {
    for (size_t at = 0; at + m_recordBytes <= part.size();
         at += m_recordBytes) {
      records.push_back(part.substr(at, m_recordBytes));
    }
  }
  size_t count = std::min(m_maxRecords, records.size());
  std::ranges::partial_sort(records, records.begin() + count, std::greater{});
  std::string body;
  body.reserve(count * m_recordBytes);
  for (size_t i = 0; i < count; ++i) {
    body.append(records[i]);
  }
  return body;
}

} // namespace ebonykeel
