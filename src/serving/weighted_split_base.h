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
 * Smooth weighted round robin for each route: over any span each service's
 * share is off its weight by at most one request. Answers the load of many
 * instances that each see few requests of a route, where random choice would
 * be off by the square root of the count. A share that cannot be served is
 * rejected, never moved, so that shares hold while a part is short of room.
 */
class weighted_split
{
public:
  /**
   * @param aOffset Where this instance begins, from 0 to 1, so that instances
   * with few requests do not all begin with the heaviest service.
   */
  explicit weighted_split(double aOffset)
    : mOffset(aOffset)
  {
  }

  /** The service for the next request of a route that has targets. */
  const std::string& Next(const route& aRoute);

private:
  struct state
  {
    std::vector<weighted_service> mTargets; ///< What the credits belong to.
    std::vector<double> mCredit;
  };

  double mOffset;
  std::unordered_map<std::string, state> mRoutes; ///< By name.
};

} // namespace monsooncroft::serving

#endif
