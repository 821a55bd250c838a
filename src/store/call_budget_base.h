/**
 * @file call_budget_base.h
 * An instance's share of the platform's rates.
 */
#ifndef MONSOONCROFT_STORE_CALL_BUDGET_BASE_H
#define MONSOONCROFT_STORE_CALL_BUDGET_BASE_H

#include "model/time_type.h"

namespace monsooncroft::store {

/** What a call counts as. */
enum class call_kind
{
  Read,  ///< Gets, lists and waiting watches.
  Write, ///< Swaps, deletes and everything about leases.
};

/** Calls a second. */
struct rate_share
{
  double mWritesPerSecond = 0;
  double mReadsPerSecond = 0;
};

/** Two token buckets, each holding a second's worth and at least one call. Not
 * thread safe. */
class call_budget
{
public:
  /**
   * @param aShare The rates.
   * @param aNow The present; the buckets are full.
   */
  call_budget(const rate_share& aShare, model::instant aNow);

  /**
   * Takes one call from the budget.
   * @param aKind What it counts as.
   * @param aNow The present.
   * @return False if the share is used up; the call must not be made.
   */
  bool Take(call_kind aKind, model::instant aNow);

private:
  struct bucket
  {
    double mRate = 0;   ///< Tokens a second.
    double mTokens = 0; ///< Tokens there at mAt.
    model::instant mAt; ///< Time of mTokens.
  };

  bucket mWrites; ///< Tokens for writes.
  bucket mReads;  ///< Tokens for reads.
};

} // namespace monsooncroft::store

#endif
