/**
 * @file recent_demand_base.h
 * Recent request counts of routes.
 */
#ifndef MONSOONCROFT_SERVING_RECENT_DEMAND_BASE_H
#define MONSOONCROFT_SERVING_RECENT_DEMAND_BASE_H

#include "model/time_type.h"

#include <string>
#include <unordered_map>

namespace monsooncroft::serving {

/** Request counts of each route, with exponential decay. */
class recent_demand
{
public:
  void OnRequest(const std::string& aRoute, model::instant aNow);
  /** @return Decayed request count of a route; above 0 even before its first
   * request. */
  double Weight(const std::string& aRoute, model::instant aNow) const;

private:
  struct decayed_count
  {
    double mRequests = 0;
    model::instant mUpdatedAt;
  };

  std::unordered_map<std::string, decayed_count> mCounts; ///< By route.
};

} // namespace monsooncroft::serving

#endif
