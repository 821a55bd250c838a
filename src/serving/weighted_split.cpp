/**
 * @file weighted_split.cpp
 * Shares of a route's requests between services.
 */
#include "serving/weighted_split_base.h"

#include <cmath>

namespace monsooncroft::serving {

namespace {

/** Its multiples are the most evenly spread ones on the unit interval. */
constexpr double kGoldenRatio = 0.6180339887498949;

} // namespace

const std::string&
weighted_split::NextService(const route& aRoute)
{
  if (aRoute.mTargets.size() == 1) {
    return aRoute.mTargets.front().mService;
  }
  double total = 0;
  for (const weighted_service& target : aRoute.mTargets) {
    total += target.mWeight;
  }
  const auto step = static_cast<double>(mRequests[aRoute.mName]++);
  double place = std::fmod(mOffset + step * kGoldenRatio, 1.0) * total;
  for (const weighted_service& target : aRoute.mTargets) {
    place -= target.mWeight;
    if (place < 0) {
      return target.mService;
    }
  }
  return aRoute.mTargets.back().mService;
}

} // namespace monsooncroft::serving
