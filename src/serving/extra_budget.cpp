/**
 * @file extra_budget.cpp
 * A sliding window in slices.
 */
#include "serving/extra_budget_base.h"

#include <algorithm>

namespace monsooncroft::serving {

void
extra_budget::Advance(window& aWindow, model::instant aNow) const
{
  const auto length = std::max<std::int64_t>(
    1, model::duration(mTerms.mWindow).count() / static_cast<int>(kSlices));
  const std::int64_t slice = aNow.time_since_epoch().count() / length;
  const auto slots = static_cast<std::int64_t>(kSlices + 1);
  if (slice - aWindow.mSlice > slots) {
    aWindow = window{};
    aWindow.mSlice = slice;
    return;
  }
  while (aWindow.mSlice < slice) {
    ++aWindow.mSlice;
    const std::size_t slot = aWindow.mSlice % slots;
    aWindow.mRequestSum -= aWindow.mRequests[slot];
    aWindow.mExtraSum -= aWindow.mExtra[slot];
    aWindow.mRequests[slot] = 0;
    aWindow.mExtra[slot] = 0;
  }
}

void
extra_budget::OnRequest(const std::string& aService, model::instant aNow)
{
  window& counts = mWindows[aService];
  Advance(counts, aNow);
  ++counts.mRequests[counts.mSlice % (kSlices + 1)];
  ++counts.mRequestSum;
}

bool
extra_budget::TryTake(const std::string& aService,
                      purpose aPurpose,
                      model::instant aNow)
{
  window& counts = mWindows[aService];
  Advance(counts, aNow);
  const double slack =
    mTerms.mSlack / static_cast<double>(std::max<std::size_t>(1, mInstances));
  const double share = aPurpose == purpose::Hedge ? kUsed * kHedgeShare : kUsed;
  const double allowed = share * (mTerms.mRatio * counts.mRequestSum + slack);
  if (counts.mExtraSum + 1 > allowed) {
    return false;
  }
  ++counts.mExtra[counts.mSlice % (kSlices + 1)];
  ++counts.mExtraSum;
  return true;
}

} // namespace monsooncroft::serving
