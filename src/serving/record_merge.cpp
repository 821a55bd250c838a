/**
 * @file record_merge.cpp
 * Merges the shard results of a fan-out.
 */
#include "serving/record_merge_func.h"

#include <algorithm>
#include <functional>

namespace monsooncroft::serving {

std::string
MergeRecords(const std::vector<std::string_view>& aShardResults,
             std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (const std::string_view result : aShardResults) {
    for (std::size_t offset = 0; offset + kRecordBytes <= result.size();
         offset += kRecordBytes) {
      records.push_back(result.substr(offset, kRecordBytes));
    }
  }
  const std::size_t count = std::min(aCount, records.size());
  // string_view compares as unsigned bytes (char_traits<char>::compare).
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (std::size_t index = 0; index < count; ++index) {
    merged.append(records[index]);
  }
  return merged;
}

} // namespace monsooncroft::serving
