/**
 * @file call_budget.cpp
 * Token buckets of an instance's share.
 */
#include "store/call_budget_base.h"

#include <algorithm>

namespace monsooncroft::store {

namespace {

double
Capacity(double aRate)
{
  return std::max(aRate, 1.0);
}

} // namespace

call_budget::call_budget(const rate_share& aShare, model::instant aNow)
  : mWrites{ aShare.mWritesPerSecond, Capacity(aShare.mWritesPerSecond), aNow }
  , mReads{ aShare.mReadsPerSecond, Capacity(aShare.mReadsPerSecond), aNow }
{
}

bool
call_budget::Take(call_kind aKind, model::instant aNow)
{
  bucket& from = aKind == call_kind::Write ? mWrites : mReads;
  const std::chrono::duration<double> elapsed =
    std::max(aNow - from.mAt, model::duration::zero());
  from.mTokens =
    std::min(from.mTokens + elapsed.count() * from.mRate, Capacity(from.mRate));
  from.mAt = std::max(from.mAt, aNow);
  if (from.mTokens < 1) {
    return false;
  }
  from.mTokens -= 1;
  return true;
}

} // namespace monsooncroft::store
