/**
 * @file leaf_limit_type.h
 * Reports of rate limits that leaves name.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_LIMIT_TYPE_H
#define MONSOONCROFT_SERVING_LEAF_LIMIT_TYPE_H

#include <cstdint>
#include <string>

namespace monsooncroft::serving {

/** What an instance knows of a leaf's rate limit. */
struct leaf_limit_report
{
  std::string mLeafId;
  std::uint64_t mIncarnation = 0; ///< Start time of the leaf, Unix ms.
  /** Requests per second from all instances together; 0 if the leaf no longer
   * names a limit. */
  double mPerSecond = 0;
  std::uint32_t mAgeMs = 0; ///< Time since the leaf said so.

  bool operator==(const leaf_limit_report&) const = default;
};

} // namespace monsooncroft::serving

#endif
