/**
 * @file token_bucket_budget_base.h
 * Token bucket shared by hedges and retries.
 */
#ifndef MONSOONCROFT_POLICY_TOKEN_BUCKET_BUDGET_BASE_H
#define MONSOONCROFT_POLICY_TOKEN_BUCKET_BUDGET_BASE_H

#include "policy/hedge_base.h"

#include <algorithm>

namespace monsooncroft::policy {

/** Limits extra attempts to a fraction of first attempts, with a small reserve.
 */
class token_bucket_budget : public extra_attempt_budget
{
public:
  /** Extra attempts per first attempt. */
  static constexpr double kFraction = 0.05;
  /** Maximum number of saved extra attempts. */
  static constexpr double kBurst = 10;

  /**
   * @param aFraction Extra attempts earned by one first attempt.
   * @param aBurst Maximum number of saved extra attempts; also the initial
   * reserve.
   */
  explicit token_bucket_budget(double aFraction = kFraction,
                               double aBurst = kBurst)
    : mFraction(aFraction)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  void OnFirstAttempt() override
  {
    mTokens = std::min(mBurst, mTokens + mFraction);
  }

  bool TryTake() override
  {
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  double mFraction;
  double mBurst;
  double mTokens;
};

} // namespace monsooncroft::policy

#endif
