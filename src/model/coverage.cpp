/**
 * @file coverage.cpp
 * Computes the coverage of an answer.
 */
#include "model/coverage_type.h"

namespace monsooncroft::model {

coverage
coverage::Compute(const service& aService, const std::set<shard_id>& aAnswered)
{
  std::set<coverage_name> names;
  std::set<coverage_name> missing;
  for (const shard& declaredShard : aService.mShards) {
    names.insert(declaredShard.mCoverageNames.begin(),
                 declaredShard.mCoverageNames.end());
    if (aAnswered.count(declaredShard.mId) == 0) {
      missing.insert(declaredShard.mCoverageNames.begin(),
                     declaredShard.mCoverageNames.end());
    }
  }
  coverage out;
  out.mTotal = static_cast<int>(names.size());
  out.mAnswered = out.mTotal - static_cast<int>(missing.size());
  out.mMissing.assign(missing.begin(), missing.end());
  return out;
}

double
coverage::Fraction() const
{
  return mTotal == 0 ? 1.0 : static_cast<double>(mAnswered) / mTotal;
}

} // namespace monsooncroft::model
