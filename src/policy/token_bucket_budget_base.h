/**
 * @file token_bucket_budget_base.h
 * The budget that hedges and retries share.
 */
#ifndef MONSOONCROFT_POLICY_TOKEN_BUCKET_BUDGET_BASE_H
#define MONSOONCROFT_POLICY_TOKEN_BUCKET_BUDGET_BASE_H

#include "policy/hedge_base.h"

#include <algorithm>

namespace monsooncroft::policy {

/** Extra attempts as a fraction of first attempts, with a small reserve. */
class token_bucket_budget : public extra_attempt_budget
{
public:
  static constexpr double kFraction = 0.05; ///< Extra attempts per first one.
  static constexpr double kBurst = 10;      ///< Extra attempts saved at most.

  /**
   * @param aFraction Extra attempts earned by one first attempt.
   * @param aBurst Extra attempts that can be saved; the reserve at the start.
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
