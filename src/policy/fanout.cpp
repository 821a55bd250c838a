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
  switch (aReport.mFate) {
    case shard_fate::Answered:
      return attempt_outcome::Ok;
    case shard_fate::MaybeRan:
      return attempt_outcome::Lost;
    case shard_fate::NotRun:
      break;
  }
  if (aReport.mNotHeld) {
    return attempt_outcome::NotHeld;
  }
  return aReport.mLast.mAttempt.Empty() ? attempt_outcome::NotSent
                                        : attempt_outcome::Refused;
}

bool
fanout::Ran(const shard_run& aRun)
{
  return aRun.mAnswered || aRun.mMaybeRan || !aRun.mOpen.empty();
}

bool
fanout::MayHaveRun() const
{
  return std::any_of(mRuns.begin(), mRuns.end(), Ran);
}

bool
fanout::MayHaveRun(const model::shard_id& aShard) const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [&](const shard_run& aRun) {
    return aRun.mShard == aShard && Ran(aRun);
  });
}

bool
fanout::CanReplan() const
{
  if (!mPlan.mIdempotent && MayHaveRun()) {
    return false;
  }
  return std::any_of(mRuns.begin(), mRuns.end(), [](const shard_run& aRun) {
    return aRun.mClosed && !aRun.mAnswered && aRun.mNotHeld;
  });
}

std::optional<model::instant>
fanout::NextWake() const
{
  if (mFinished) {
    return std::nullopt;
  }
  if (mWakes.empty()) {
    return mPlan.mDeadline;
  }
  return std::min(mPlan.mDeadline, mWakes.begin()->first);
}

fanout_report
fanout::Report() const
{
  fanout_report out;
  out.mShards.reserve(mRuns.size());
  for (const shard_run& run : mRuns) {
    shard_report entry;
    entry.mShard = run.mShard;
    entry.mLast = run.mLast;
    entry.mNotHeld = run.mNotHeld && !run.mAnswered;
    if (run.mAnswered) {
      entry.mFate = shard_fate::Answered;
    } else if (Ran(run)) {
      entry.mFate = shard_fate::MaybeRan;
    }
    out.mShards.push_back(std::move(entry));
  }
  return out;
}

} // namespace monsooncroft::policy
