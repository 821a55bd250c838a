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
  count& known = mCounts[aRoute];
  known.mRequests =
    known.mRequests * model::Kept(aNow - known.mAt, kHalfForgotten) + 1;
  known.mAt = aNow;
}

double
recent_demand::Of(const std::string& aRoute, model::instant aNow) const
{
  const auto found = mCounts.find(aRoute);
  if (found == mCounts.end()) {
    return kUnasked;
  }
  const count& known = found->second;
  return kUnasked +
         known.mRequests * model::Kept(aNow - known.mAt, kHalfForgotten);
}

} // namespace monsooncroft::serving
