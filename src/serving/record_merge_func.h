/**
 * @file record_merge_func.h
 * Merges the shard results of a fan-out.
 */
#ifndef MONSOONCROFT_SERVING_RECORD_MERGE_FUNC_H
#define MONSOONCROFT_SERVING_RECORD_MERGE_FUNC_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace monsooncroft::serving {

constexpr std::size_t kRecordBytes = 16; ///< Record size in the protocol.

/**
 * Returns the greatest records of all shard results in descending order,
 * compared byte by byte. Duplicates are kept; an incomplete record at the end
 * of a shard result is ignored.
 * @param aShardResults Bodies of the shard results.
 * @param aCount Maximum number of records.
 * @return The records, concatenated.
 */
std::string
MergeRecords(const std::vector<std::string_view>& aShardResults,
             std::size_t aCount);

} // namespace monsooncroft::serving

#endif
