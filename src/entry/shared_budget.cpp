/**
 * @file shared_budget.cpp
 * Locking around the hedging state.
 */
#include "entry/shared_budget_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::entry {

shared_budget::shared_budget(const hedge_options& aOptions,
                             std::shared_ptr<shared_budget> aWider)
  : mOptions(aOptions)
  , mWider(std::move(aWider))
  , mBudget(aOptions.mFraction)
  , mTracker(aOptions.mQuantile)
{
}

void
shared_budget::OnFirstAttempt()
{
  if (mWider) {
    mWider->OnFirstAttempt();
    return;
  }
  const std::lock_guard lock(mMutex);
  mBudget.OnFirstAttempt();
}

bool
shared_budget::TryTake()
{
  if (mWider) {
    return mWider->TryTake();
  }
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
  std::optional<model::duration> observed;
  {
    const std::lock_guard lock(mMutex);
    observed = mTracker.Quantile();
  }
  if (!observed) {
    return mWider ? mWider->HedgeDelay() : std::nullopt;
  }
  return std::max(mOptions.mFloor, *observed);
}

void
shared_budget::OnLatency(model::duration aLatency, model::instant aNow)
{
  {
    const std::lock_guard lock(mMutex);
    mTracker.Add(aLatency, aNow);
  }
  if (mWider) {
    mWider->OnLatency(aLatency, aNow);
  }
}

} // namespace monsooncroft::entry
