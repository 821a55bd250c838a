/**
 * @file fanout.cpp
 * What can be read from a fan-out.
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
fanout::ShardMayHaveRun(const shard_progress& aRun)
{
  return aRun.mAnswered || aRun.mMayHaveRun || !aRun.mInFlightAttempts.empty();
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
    mShards.begin(), mShards.end(), [&](const shard_progress& aRun) {
      return aRun.mShard == aShard && ShardMayHaveRun(aRun);
    });
}

bool
fanout::CanReplan() const
{
  if (!mPlan.mIdempotent && MayHaveRun()) {
    return false;
  }
  return std::any_of(
    mShards.begin(), mShards.end(), [](const shard_progress& aRun) {
      return aRun.mClosed && !aRun.mAnswered && aRun.mNotHeld;
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
  for (const shard_progress& run : mShards) {
    shard_report entry;
    entry.mShard = run.mShard;
    entry.mLastResult = run.mLastResult;
    entry.mNotHeld = run.mNotHeld && !run.mAnswered;
    if (run.mAnswered) {
      entry.mOutcome = shard_outcome::Answered;
    } else if (ShardMayHaveRun(run)) {
      entry.mOutcome = shard_outcome::MayHaveRun;
    }
    out.mShards.push_back(std::move(entry));
  }
  return out;
}

} // namespace monsooncroft::policy
