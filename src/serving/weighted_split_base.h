/**
 * @file weighted_split_base.h
 * Shares of a route's requests between services.
 */
#ifndef MONSOONCROFT_SERVING_WEIGHTED_SPLIT_BASE_H
#define MONSOONCROFT_SERVING_WEIGHTED_SPLIT_BASE_H

#include "serving/route_type.h"

#include <unordered_map>

namespace monsooncroft::serving {

/**
 * Walks the unit interval in steps of the golden ratio, which covers it evenly
 * at any length, and picks the service whose share of the interval it meets.
 * Each instance begins at another point. Answers the load of many instances
 * that each see few requests of a route: all of them together keep to the
 * weights, where random choice would be off by the square root of the count and
 * a round of each instance's own by its first picks. A share that cannot be
 * served is rejected, never moved, so that shares hold while a part is short of
 * room.
 */
class weighted_split
{
public:
  /** @param aOffset Where this instance begins, from 0 to 1. */
  explicit weighted_split(double aOffset)
    : mOffset(aOffset)
  {
  }

  /** The service for the next request of a route that has targets. */
  const std::string& NextService(const route& aRoute);

private:
  double mOffset;
  std::unordered_map<std::string, std::uint64_t> mRequests; ///< By route.
};

} // namespace monsooncroft::serving

#endif
