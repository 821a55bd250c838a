/**
 * @file coverage.cpp
 * Working out the coverage of an answer.
 */
#include "model/coverage_type.h"

namespace monsooncroft::model {

coverage
coverage::Compute(const service& aService, const std::set<shard_id>& aAnswered)
{
  std::set<coverage_name> names;
  std::set<coverage_name> missing;
  for (const shard& part : aService.mShards) {
    names.insert(part.mCoverageNames.begin(), part.mCoverageNames.end());
    if (aAnswered.count(part.mId) == 0) {
      missing.insert(part.mCoverageNames.begin(), part.mCoverageNames.end());
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
