/**
 * @file recent_demand.cpp
 * What callers have asked for lately.
 */
#include "serving/recent_demand_base.h"

#include <cmath>

namespace monsooncroft::serving {

namespace {

/** Spans some requests of an instance that sees less than one a second. */
constexpr double kForgetSeconds = 10;
/** So that routes without requests differ from none. */
constexpr double kUnasked = 0.01;

double
Kept(model::instant aSince, model::instant aNow)
{
  return std::exp2(-std::chrono::duration<double>(aNow - aSince).count() /
                   kForgetSeconds);
}

} // namespace

void
recent_demand::OnRequest(const std::string& aRoute, model::instant aNow)
{
  count& known = mCounts[aRoute];
  known.mRequests = known.mRequests * Kept(known.mAt, aNow) + 1;
  known.mAt = aNow;
}

double
recent_demand::Of(const std::string& aRoute, model::instant aNow) const
{
  const auto found = mCounts.find(aRoute);
  return kUnasked + (found == mCounts.end() ? 0
                                            : found->second.mRequests *
                                                Kept(found->second.mAt, aNow));
}

} // namespace monsooncroft::serving
