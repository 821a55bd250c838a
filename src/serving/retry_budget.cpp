/**
 * @file retry_budget.cpp
 * Sliding windows, counted in slices.
 */
#include "serving/retry_budget_base.h"

#include <algorithm>

namespace monsooncroft::serving {

void
retry_budget::Advance(window& aWindow, model::instant aNow) const
{
  const auto length = std::max<std::int64_t>(
    1, model::duration(mSettings.mWindow).count() / static_cast<int>(kSlices));
  const std::int64_t slice = aNow.time_since_epoch().count() / length;
  const auto slots = static_cast<std::int64_t>(kSlices + 1);
  if (slice - aWindow.mCurrentSlice > slots) {
    aWindow = window{};
    aWindow.mCurrentSlice = slice;
    return;
  }
  while (aWindow.mCurrentSlice < slice) {
    ++aWindow.mCurrentSlice;
    const std::size_t slot = aWindow.mCurrentSlice % slots;
    aWindow.mRequestSum -= aWindow.mRequests[slot];
    aWindow.mExtraAttemptSum -= aWindow.mExtraAttempts[slot];
    aWindow.mRequests[slot] = 0;
    aWindow.mExtraAttempts[slot] = 0;
  }
}

void
retry_budget::OnRequest(const std::string& aService, model::instant aNow)
{
  window& counts = mWindows[aService];
  Advance(counts, aNow);
  ++counts.mRequests[counts.mCurrentSlice % (kSlices + 1)];
  ++counts.mRequestSum;
}

double
retry_budget::Slack(model::instant aNow) const
{
  return aNow < mStartedAt + mSettings.mWindow
           ? 0
           : mSettings.mSlack / static_cast<double>(mInstanceCount);
}

bool
retry_budget::TryAcquire(const std::string& aService,
                         purpose aPurpose,
                         model::instant aNow)
{
  window& counts = mWindows[aService];
  Advance(counts, aNow);
  const double share =
    aPurpose == purpose::Hedge ? kUsableShare * kHedgeShare : kUsableShare;
  const double allowed =
    share * (mSettings.mRatio * counts.mRequestSum + Slack(aNow));
  if (counts.mExtraAttemptSum + 1 > allowed) {
    return false;
  }
  ++counts.mExtraAttempts[counts.mCurrentSlice % (kSlices + 1)];
  ++counts.mExtraAttemptSum;
  return true;
}

} // namespace monsooncroft::serving
