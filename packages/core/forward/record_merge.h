// Merges the bodies that were gathered from the shards.
//
//   TopRecordsMerger merger(16, 50);
//   std::string body = merger.Merge(bodies);
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace ebonykeel {

// Merges the shards' bodies into one.
class AnswerMerger
{
public:
  virtual ~AnswerMerger() = default;
  [[nodiscard]] virtual std::string Merge(
    std::span<const std::string_view> aParts) const = 0;
};

// Treats each body as fixed-length records in any order and returns the
// greatest records by bytewise comparison, greatest first. Equal records are
// all kept; a remainder shorter than a record is ignored.
class TopRecordsMerger final : public AnswerMerger
{
public:
  // `aRecordBytes` must be > 0.
  TopRecordsMerger(size_t aRecordBytes, size_t aMaxRecords);
  [[nodiscard]] std::string Merge(
    std::span<const std::string_view> aParts) const override;

private:
  size_t m_recordBytes;
  size_t m_maxRecords;
};

} // namespace ebonykeel
