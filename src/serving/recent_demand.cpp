/**
 * @file recent_demand.cpp
 * Recent request counts of routes.
 */
#include "serving/recent_demand_base.h"

#include "model/time_func.h"

namespace monsooncroft::serving {

namespace {

/** Long enough to count several requests on an instance that receives less than
 * one per second. */
constexpr std::chrono::seconds kHalfLife{ 10 };
/** Weight of a route without requests, so that it still counts. */
constexpr double kMinWeight = 0.01;

} // namespace

void
recent_demand::OnRequest(const std::string& aRoute, model::instant aNow)
{
  decayed_count& count = mCounts[aRoute];
  count.mRequests =
    count.mRequests * model::DecayFactor(aNow - count.mUpdatedAt, kHalfLife) +
    1;
  count.mUpdatedAt = aNow;
}

double
recent_demand::Weight(const std::string& aRoute, model::instant aNow) const
{
  const auto found = mCounts.find(aRoute);
  if (found == mCounts.end()) {
    return kMinWeight;
  }
  const decayed_count& count = found->second;
  return kMinWeight + count.mRequests *
                        model::DecayFactor(aNow - count.mUpdatedAt, kHalfLife);
}

} // namespace monsooncroft::serving
