/**
 * @file recent_demand.cpp
 * What callers have asked for lately.
 */
#include "serving/recent_demand_base.h"

#include "model/time_func.h"

namespace monsooncroft::serving {

namespace {

/** Spans some requests of an instance that sees less than one a second. */
constexpr std::chrono::seconds kHalfForgotten{ 10 };
/** So that routes without requests differ from none. */
constexpr double kUnasked = 0.01;

} // namespace

void
recent_demand::OnRequest(const std::string& aRoute, model::instant aNow)
{
  decayed_count& known = mCounts[aRoute];
  known.mRequests =
    known.mRequests *
      model::DecayFactor(aNow - known.mUpdatedAt, kHalfForgotten) +
    1;
  known.mUpdatedAt = aNow;
}

double
recent_demand::Weight(const std::string& aRoute, model::instant aNow) const
{
  const auto found = mCounts.find(aRoute);
  if (found == mCounts.end()) {
    return kUnasked;
  }
  const decayed_count& known = found->second;
  return kUnasked +
         known.mRequests *
           model::DecayFactor(aNow - known.mUpdatedAt, kHalfForgotten);
}

} // namespace monsooncroft::serving
