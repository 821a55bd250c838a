/**
 * @file answer_func.cpp
 * Final status and answer of a query.
 */
#include "policy/answer_func.h"
#include "policy/merge_func.h"

#include <algorithm>

namespace monsooncroft::policy {

namespace {

/** Returns the reason of an incomplete answer: an unusable result, else a lost
 * shard, else the reason of the first unanswered shard. */
std::string
Reason(const fanout_report& aReport, const merged_results& aMerged)
{
  if (!aMerged.mRejectedShards.empty()) {
    return "bad_result";
  }
  for (const shard_report& shard : aReport.mShards) {
    if (shard.mOutcome == shard_outcome::MayHaveRun) {
      return "shard_lost";
    }
  }
  for (const shard_report& shard : aReport.mShards) {
    if (shard.mOutcome == shard_outcome::Answered) {
      continue;
    }
    if (shard.mNotHeld) {
      return "not_held";
    }
    return shard.mLastResult.mReason.empty() ? "not_sent"
                                             : shard.mLastResult.mReason;
  }
  return "";
}

merged_results
Merge(const fanout_report& aReport, const model::contract& aContract)
{
  std::vector<shard_result> results;
  for (const shard_report& shard : aReport.mShards) {
    if (shard.mOutcome == shard_outcome::Answered) {
      results.push_back(
        shard_result{ shard.mShard, shard.mLastResult.mResult });
    }
  }
  return MergeResults(aContract.mMerge, aContract.mLimit, results);
}

} // namespace

model::status
DecideStatus(const status_inputs& aInputs)
{
  if (aInputs.mAllShardsAnswered) {
    return model::status::Complete;
  }
  if (!aInputs.mAnyShardAnswered && !aInputs.mUnansweredMayHaveRun) {
    return model::status::NotRun;
  }
  const bool coverageReached =
    aInputs.mAnyShardAnswered && aInputs.mCoverage >= aInputs.mLeastCoverage;
  if (aInputs.mIdempotent) {
    return coverageReached ? model::status::Partial : model::status::Failed;
  }
  return coverageReached && !aInputs.mUnansweredMayHaveRun
           ? model::status::Partial
           : model::status::Unknown;
}

model::answer
BuildAnswer(const fanout_plan& aPlan,
            const fanout_report& aReport,
            const model::service& aService,
            const model::contract& aContract,
            model::manifest_version aManifest,
            bool aRanBefore)
{
  const merged_results merged = Merge(aReport, aContract);
  const std::set<model::shard_id>& answered = merged.mMergedShards;
  const auto inAnswer = [&](const model::shard& aShard) {
    return answered.count(aShard.mId) != 0;
  };
  model::answer out;
  out.mRequest = aPlan.mRequest;
  out.mSnapshot = aPlan.mSnapshot;
  out.mManifest = aManifest;
  out.mCoverage = model::coverage::Compute(aService, answered);
  status_inputs inputs;
  inputs.mIdempotent = aContract.mIdempotent;
  inputs.mLeastCoverage = aContract.mLeastCoverage;
  inputs.mCoverage = out.mCoverage.Fraction();
  inputs.mAllShardsAnswered =
    std::all_of(aService.mShards.begin(), aService.mShards.end(), inAnswer);
  inputs.mAnyShardAnswered = !answered.empty();
  inputs.mUnansweredMayHaveRun =
    aRanBefore || !merged.mRejectedShards.empty() ||
    std::any_of(aReport.mShards.begin(),
                aReport.mShards.end(),
                [](const shard_report& aShard) {
                  return aShard.mOutcome == shard_outcome::MayHaveRun;
                });
  out.mStatus = DecideStatus(inputs);
  if (out.mStatus != model::status::Complete) {
    out.mReason = Reason(aReport, merged);
  }
  if (!answered.empty()) {
    out.mResults = merged.mJson;
  }
  return out;
}

model::answer
NotRunAnswer(const model::request_id& aRequest,
             const model::service* aService,
             const std::string& aReason)
{
  model::answer out;
  out.mRequest = aRequest;
  out.mStatus = model::status::NotRun;
  out.mReason = aReason;
  if (aService != nullptr) {
    out.mCoverage = model::coverage::Compute(*aService, {});
  }
  return out;
}

} // namespace monsooncroft::policy
