/**
 * @file fanout.cpp
 * Read access to the state of a fan-out.
 */
#include "policy/fanout_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::attempt_outcome;

model::attempt_outcome
SummaryOutcome(const shard_report& aReport)
{
  switch (aReport.mOutcome) {
    case shard_outcome::Answered:
      return attempt_outcome::Ok;
    case shard_outcome::MayHaveRun:
      return attempt_outcome::Lost;
    case shard_outcome::NotRun:
      break;
  }
  if (aReport.mNotHeld) {
    return attempt_outcome::NotHeld;
  }
  return aReport.mLastResult.mAttempt.Empty() ? attempt_outcome::NotSent
                                              : attempt_outcome::Refused;
}

bool
fanout::ShardMayHaveRun(const shard_progress& aProgress)
{
  return aProgress.mAnswered || aProgress.mMayHaveRun ||
         !aProgress.mInFlightAttempts.empty();
}

bool
fanout::MayHaveRun() const
{
  return std::any_of(mShards.begin(), mShards.end(), ShardMayHaveRun);
}

bool
fanout::MayHaveRun(const model::shard_id& aShard) const
{
  return std::any_of(
    mShards.begin(), mShards.end(), [&](const shard_progress& aProgress) {
      return aProgress.mShard == aShard && ShardMayHaveRun(aProgress);
    });
}

bool
fanout::CanReplan() const
{
  if (!mPlan.mIdempotent && MayHaveRun()) {
    return false;
  }
  return std::any_of(
    mShards.begin(), mShards.end(), [](const shard_progress& aProgress) {
      return aProgress.mClosed && !aProgress.mAnswered && aProgress.mNotHeld;
    });
}

std::optional<model::instant>
fanout::NextWake() const
{
  if (mFinished) {
    return std::nullopt;
  }
  if (mTimers.empty()) {
    return mPlan.mDeadline;
  }
  return std::min(mPlan.mDeadline, mTimers.begin()->first);
}

fanout_report
fanout::Report() const
{
  fanout_report out;
  out.mShards.reserve(mShards.size());
  for (const shard_progress& progress : mShards) {
    shard_report entry;
    entry.mShard = progress.mShard;
    entry.mLastResult = progress.mLastResult;
    entry.mNotHeld = progress.mNotHeld && !progress.mAnswered;
    if (progress.mAnswered) {
      entry.mOutcome = shard_outcome::Answered;
    } else if (ShardMayHaveRun(progress)) {
      entry.mOutcome = shard_outcome::MayHaveRun;
    }
    out.mShards.push_back(std::move(entry));
  }
  return out;
}

} // namespace monsooncroft::policy
