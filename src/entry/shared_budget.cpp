/**
 * @file shared_budget.cpp
 * Locking around the hedging state.
 */
#include "entry/shared_budget_base.h"

#include <algorithm>

namespace monsooncroft::entry {

shared_budget::shared_budget(const hedge_options& aOptions)
  : mOptions(aOptions)
  , mBudget(aOptions.mFraction)
  , mTracker(aOptions.mQuantile)
{
}

void
shared_budget::OnSend()
{
  const std::lock_guard lock(mMutex);
  mBudget.OnSend();
}

bool
shared_budget::TryTake()
{
  const std::lock_guard lock(mMutex);
  return mBudget.TryTake();
}

std::optional<model::duration>
shared_budget::HedgeDelay() const
{
  if (mOptions.mFraction <= 0) {
    return std::nullopt;
  }
  if (mOptions.mFixed.count() > 0) {
    return mOptions.mFixed;
  }
  const std::lock_guard lock(mMutex);
  const std::optional<model::duration> observed = mTracker.Quantile();
  if (!observed) {
    return std::nullopt;
  }
  return std::max(mOptions.mFloor, *observed);
}

void
shared_budget::OnLatency(model::duration aLatency, model::instant aNow)
{
  const std::lock_guard lock(mMutex);
  mTracker.Add(aLatency, aNow);
}

} // namespace monsooncroft::entry
