/**
 * @file hedge_delay_base.h
 * Hedge policies: by the observed quantile, and two baselines.
 */
#ifndef MONSOONCROFT_POLICY_HEDGE_DELAY_BASE_H
#define MONSOONCROFT_POLICY_HEDGE_DELAY_BASE_H

#include "policy/hedge_base.h"
#include "policy/latency_tracker_base.h"

#include <algorithm>

namespace monsooncroft::policy {

/** Never hedges. Baseline, and the root's policy for attempts at owners. */
class no_hedge : public hedge_policy
{
public:
  std::optional<model::duration> HedgeDelay() const override { return {}; }
};

/** Hedges after a fixed delay. Baseline. */
class fixed_hedge : public hedge_policy
{
public:
  explicit fixed_hedge(model::duration aDelay)
    : mDelay(aDelay)
  {
  }

  std::optional<model::duration> HedgeDelay() const override { return mDelay; }

private:
  model::duration mDelay;
};

/** Hedges attempts that are slower than the tracked quantile. */
class quantile_hedge : public hedge_policy
{
public:
  /**
   * @param aTracker Latencies of the service and kind; outlives this object.
   * @param aFloor Minimum delay, above the noise of a loaded machine.
   */
  quantile_hedge(const latency_tracker& aTracker, model::duration aFloor)
    : mTracker(aTracker)
    , mFloor(aFloor)
  {
  }

  std::optional<model::duration> HedgeDelay() const override
  {
    const std::optional<model::duration> observed = mTracker.Quantile();
    return observed ? std::max(mFloor, *observed) : observed;
  }

private:
  const latency_tracker& mTracker;
  model::duration mFloor;
};

} // namespace monsooncroft::policy

#endif
