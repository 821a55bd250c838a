/**
 * @file record_merge.cpp
 * Merging the parts of an answer.
 */
#include "serving/record_merge_func.h"

#include <algorithm>
#include <functional>

namespace monsooncroft::serving {

std::string
MergeRecords(const std::vector<std::string_view>& aParts, std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
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
  for (std::size_t place = 0; place < count; ++place) {
    merged.append(records[place]);
  }
  return merged;
}

} // namespace monsooncroft::serving
