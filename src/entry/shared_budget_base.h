/**
 * @file shared_budget_base.h
 * Hedging state that many fan-outs share.
 */
#ifndef MONSOONCROFT_ENTRY_SHARED_BUDGET_BASE_H
#define MONSOONCROFT_ENTRY_SHARED_BUDGET_BASE_H

#include "entry/ranked_mutex_base.h"
#include "policy/latency_tracker_base.h"
#include "policy/token_bucket_budget_base.h"

#include <memory>

namespace monsooncroft::entry {

/** How hedges are timed. */
struct hedge_options
{
  double mFraction = 0.05;        ///< Extra attempts over first attempts.
  double mQuantile = 0.95;        ///< Latency after which one is sent.
  model::duration mFloor{ 2000 }; ///< Least delay.
  model::duration mFixed{ 0 };    ///< Always this delay, if not 0.
};

/** A budget and a tracked delay, both thread safe. */
class shared_budget
  : public policy::extra_attempt_budget
  , public policy::hedge_policy
{
public:
  /**
   * @param aOptions Timing and fraction.
   * @param aWider Gives the delay while this one has too few samples, learns
   * all of them, and holds the one budget of the kind, so that a service with
   * a slow replica may spend what the others leave; may be null.
   */
  explicit shared_budget(const hedge_options& aOptions,
                         std::shared_ptr<shared_budget> aWider = nullptr);

  void OnFirstAttempt() override;
  bool TryTake() override;
  std::optional<model::duration> HedgeDelay() const override;
  void OnLatency(model::duration aLatency,
                 model::instant aNow); ///< One attempt's.

private:
  hedge_options mOptions;
  std::shared_ptr<shared_budget> mWider; ///< Of a kind at all services.
  mutable ranked_mutex mMutex{ lock_rank::Innermost };
  policy::token_bucket_budget mBudget;
  policy::latency_tracker mTracker;
};

} // namespace monsooncroft::entry

#endif
