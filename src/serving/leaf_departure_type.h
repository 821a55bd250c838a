/**
 * @file leaf_departure_type.h
 * Reports of leaves that are leaving.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_DEPARTURE_TYPE_H
#define MONSOONCROFT_SERVING_LEAF_DEPARTURE_TYPE_H

#include <cstdint>
#include <string>

namespace monsooncroft::serving {

/** A leaf has said in an answer that it is leaving. */
struct leaf_departure
{
  std::string mLeafId;
  /** Latest start time of the process that said so, Unix ms. A registration
   * with a later start time belongs to another process. */
  std::uint64_t mStartedBy = 0;

  bool operator==(const leaf_departure&) const = default;
};

} // namespace monsooncroft::serving

#endif
