/**
 * @file recent_demand_base.h
 * What callers have asked for lately.
 */
#ifndef MONSOONCROFT_SERVING_RECENT_DEMAND_BASE_H
#define MONSOONCROFT_SERVING_RECENT_DEMAND_BASE_H

#include "model/time_type.h"

#include <string>
#include <unordered_map>

namespace monsooncroft::serving {

/** Requests of each route, half forgotten after some seconds. */
class recent_demand
{
public:
  void OnRequest(const std::string& aRoute, model::instant aNow);
  /** Weight of a route: above 0 also before its first request. */
  double Weight(const std::string& aRoute, model::instant aNow) const;

private:
  struct decayed_count
  {
    double mRequests = 0;
    model::instant mUpdatedAt;
  };

  std::unordered_map<std::string, decayed_count> mCounts;
};

} // namespace monsooncroft::serving

#endif
