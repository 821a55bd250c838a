/**
 * @file weighted_split.cpp
 * Splits a route's requests between services by weight.
 */
#include "serving/weighted_split_base.h"

#include <cmath>

namespace monsooncroft::serving {

namespace {

/** Multiples of this constant, modulo 1, cover the unit interval most
 * evenly. */
constexpr double kGoldenRatio = 0.6180339887498949;

} // namespace

const std::string&
weighted_split::NextService(const route& aRoute)
{
  if (aRoute.mTargets.size() == 1) {
    return aRoute.mTargets.front().mService;
  }
  double totalWeight = 0;
  for (const weighted_service& target : aRoute.mTargets) {
    totalWeight += target.mWeight;
  }
  const auto step = static_cast<double>(mRequests[aRoute.mName]++);
  double position = std::fmod(mOffset + step * kGoldenRatio, 1.0) * totalWeight;
  for (const weighted_service& target : aRoute.mTargets) {
    position -= target.mWeight;
    if (position < 0) {
      return target.mService;
    }
  }
  return aRoute.mTargets.back().mService;
}

} // namespace monsooncroft::serving
