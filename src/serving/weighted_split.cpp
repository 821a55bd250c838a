/**
 * @file weighted_split.cpp
 * Smooth weighted round robin.
 */
#include "serving/weighted_split_base.h"

#include <algorithm>
#include <numeric>

namespace monsooncroft::serving {

const std::string&
weighted_split::Next(const route& aRoute)
{
  if (aRoute.mTargets.size() == 1) {
    return aRoute.mTargets.front().mService;
  }
  state& split = mRoutes[aRoute.mName];
  const double total =
    std::accumulate(aRoute.mTargets.begin(),
                    aRoute.mTargets.end(),
                    0.0,
                    [](double aSum, const weighted_service& aTarget) {
                      return aSum + aTarget.mWeight;
                    });
  if (split.mTargets != aRoute.mTargets) {
    split.mTargets = aRoute.mTargets;
    split.mCredit.assign(aRoute.mTargets.size(), 0);
    split.mCredit.back() = mOffset * total;
    split.mCredit.front() = -mOffset * total;
  }
  for (std::size_t place = 0; place < split.mCredit.size(); ++place) {
    split.mCredit[place] += split.mTargets[place].mWeight;
  }
  const auto best = std::max_element(split.mCredit.begin(), split.mCredit.end());
  *best -= total;
  return aRoute.mTargets[best - split.mCredit.begin()].mService;
}

} // namespace monsooncroft::serving
