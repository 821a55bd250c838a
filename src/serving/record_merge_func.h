/**
 * @file record_merge_func.h
 * Merging the parts of an answer.
 */
#ifndef MONSOONCROFT_SERVING_RECORD_MERGE_FUNC_H
#define MONSOONCROFT_SERVING_RECORD_MERGE_FUNC_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace monsooncroft::serving {

constexpr std::size_t kRecordBytes = 16; ///< Size of a record, by protocol.

/**
 * The greatest records of all parts, greatest first, compared byte by byte.
 * Equal records all count; what is left of a part after its last whole record
 * is no record.
 * @param aParts Bodies of the parts.
 * @param aCount Records at most.
 * @return The records, one after the other.
 */
std::string
MergeRecords(const std::vector<std::string_view>& aParts, std::size_t aCount);

} // namespace monsooncroft::serving

#endif
