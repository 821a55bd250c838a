/**
 * @file fanout_cmd.cpp
 * Event handlers of a fan-out, which change its state.
 */
#include "policy/fanout_base.h"
#include "policy/hedge_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::policy {

using model::attempt_outcome;
using model::attempt_result;
using model::instant;

namespace {

constexpr int kMaxDoublings = 16;

/** Whether a candidate may be tried again in a later round. */
bool
MayRetryCandidate(attempt_outcome aOutcome)
{
  return aOutcome == attempt_outcome::Refused ||
         aOutcome == attempt_outcome::NotSent;
}

} // namespace

fanout::fanout(fanout_plan aPlan,
               const hedge_policy& aHedge,
               extra_attempt_budget& aBudget,
               std::uint32_t aSeed,
               fanout_settings aSettings)
  : mPlan(std::move(aPlan))
  , mHedge(aHedge)
  , mBudget(aBudget)
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mOpenShards(mPlan.mShards.size())
{
  mShards.reserve(mPlan.mShards.size());
  for (const shard_plan& shard : mPlan.mShards) {
    shard_progress progress;
    progress.mShard = shard.mShard;
    for (const target_id& target : shard.mCandidates) {
      progress.mCandidates.push_back(candidate{ target, 0, false, {} });
    }
    mShards.push_back(std::move(progress));
  }
}

fanout_effects
fanout::Start(instant aNow)
{
  fanout_effects out;
  if (aNow >= mPlan.mDeadline || mShards.empty()) {
    Finish(out);
    return out;
  }
  for (std::size_t shardIndex = 0; shardIndex < mShards.size(); ++shardIndex) {
    SendNext(shardIndex, aNow, out);
  }
  return out;
}

fanout_effects
fanout::OnResult(const attempt_result& aResult, instant aNow)
{
  fanout_effects out;
  const auto found = mInFlightAttempts.find(aResult.mAttempt);
  if (mFinished || found == mInFlightAttempts.end() ||
      mShards[found->second.mShardIndex].mShard != aResult.mShard) {
    return out;
  }
  const in_flight_attempt inFlight = found->second;
  const bool wrongSnapshot = aResult.mOutcome == attempt_outcome::Ok &&
                             aResult.mSnapshot != mPlan.mSnapshot;
  const attempt_outcome outcome =
    wrongSnapshot ? attempt_outcome::Error : aResult.mOutcome;
  RecordOutcome(aResult, outcome, inFlight);
  if (outcome == attempt_outcome::Ok) {
    Accept(inFlight.mShardIndex, out);
    return out;
  }
  const shard_progress& progress = mShards[inFlight.mShardIndex];
  if (!progress.mInFlightAttempts.empty()) {
    // Another attempt of this shard is in flight and may never end, so a hedge
    // that did not run is replaced by a hedge to the next candidate.
    if (inFlight.mExtra && model::DidNotRun(outcome) && MayRetry(progress)) {
      Hedge(inFlight.mShardIndex, aNow, out);
    }
    return out;
  }
  SetTimers(inFlight.mShardIndex, {}, {});
  if (!MayRetry(progress)) {
    CloseShard(inFlight.mShardIndex, out);
  } else if (model::DidNotRun(outcome)) {
    SendNext(inFlight.mShardIndex, aNow, out);
  } else {
    Retry(inFlight.mShardIndex, aNow, out);
  }
  return out;
}

fanout_effects
fanout::OnTimer(instant aNow)
{
  fanout_effects out;
  if (mFinished) {
    return out;
  }
  if (aNow >= mPlan.mDeadline) {
    Finish(out);
    return out;
  }
  while (!mFinished && !mTimers.empty() && mTimers.begin()->first <= aNow) {
    const std::size_t shardIndex = mTimers.begin()->second;
    const bool retry = mShards[shardIndex].mRetryAt.has_value();
    SetTimers(shardIndex, {}, {});
    if (retry) {
      Retry(shardIndex, aNow, out);
    } else {
      Hedge(shardIndex, aNow, out);
    }
  }
  return out;
}

fanout_effects
fanout::OnCancel(instant /*aNow*/)
{
  fanout_effects out;
  if (!mFinished) {
    Finish(out);
  }
  return out;
}

void
fanout::RecordOutcome(const attempt_result& aResult,
                      attempt_outcome aOutcome,
                      const in_flight_attempt& aInFlight)
{
  shard_progress& progress = mShards[aInFlight.mShardIndex];
  candidate& tried = progress.mCandidates[aInFlight.mCandidateIndex];
  tried.mInFlight = false;
  tried.mLastOutcome = aOutcome;
  progress.mLastResult = aResult;
  progress.mLastResult.mOutcome = aOutcome;
  progress.mMayHaveRun = progress.mMayHaveRun || !model::DidNotRun(aOutcome);
  progress.mNotHeld = progress.mNotHeld || aOutcome == attempt_outcome::NotHeld;
  std::erase(progress.mInFlightAttempts, aResult.mAttempt);
  mInFlightAttempts.erase(aResult.mAttempt);
}

bool
fanout::MayRetry(const shard_progress& aProgress) const
{
  return !aProgress.mMayHaveRun ||
         (mPlan.mIdempotent && !mExtraAttemptsForbidden);
}

std::optional<std::size_t>
fanout::NextCandidate(const shard_progress& aProgress)
{
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < aProgress.mCandidates.size(); ++index) {
    const candidate& each = aProgress.mCandidates[index];
    const bool usable =
      !each.mInFlight &&
      (!each.mLastOutcome || MayRetryCandidate(*each.mLastOutcome));
    if (usable && (!best || each.mAttemptCount <
                              aProgress.mCandidates[*best].mAttemptCount)) {
      best = index;
    }
  }
  return best;
}

void
fanout::SendNext(std::size_t aShardIndex,
                 instant aNow,
                 fanout_effects& aEffects)
{
  const shard_progress& progress = mShards[aShardIndex];
  const std::optional<std::size_t> next = NextCandidate(progress);
  const bool tried = next && progress.mCandidates[*next].mAttemptCount > 0;
  if (!next || (tried && !TryStartNextRound(aShardIndex))) {
    CloseShard(aShardIndex, aEffects);
  } else if (tried) {
    BackOff(aShardIndex, aNow, aEffects);
  } else {
    Send(aShardIndex, *next, false, aNow, aEffects);
  }
}

void
fanout::Retry(std::size_t aShardIndex, instant aNow, fanout_effects& aEffects)
{
  const std::optional<std::size_t> next = NextCandidate(mShards[aShardIndex]);
  if (!next || !MayRetry(mShards[aShardIndex])) {
    CloseShard(aShardIndex, aEffects);
  } else if (std::exchange(mShards[aShardIndex].mNextRoundPaid, false) ||
             mBudget.TryTake()) {
    Send(aShardIndex, *next, true, aNow, aEffects);
  } else {
    BackOff(aShardIndex, aNow, aEffects);
  }
}

/**
 * Whether to back off and try the refusing candidates again. Urgent requests
 * end at once, normal requests unless the budget covers the next round;
 * browsing requests wait for coverage.
 */
bool
fanout::TryStartNextRound(std::size_t aShardIndex)
{
  switch (mPlan.mUrgency) {
    case model::urgency::Urgent:
      return false;
    case model::urgency::Normal:
      mShards[aShardIndex].mNextRoundPaid = mBudget.TryTake();
      return mShards[aShardIndex].mNextRoundPaid;
    case model::urgency::Browsing:
      return true;
  }
  return false;
}

void
fanout::Hedge(std::size_t aShardIndex, instant aNow, fanout_effects& aEffects)
{
  shard_progress& progress = mShards[aShardIndex];
  const std::optional<std::size_t> next = NextCandidate(progress);
  const bool untried = next && progress.mCandidates[*next].mAttemptCount == 0;
  if (!untried || mExtraAttemptsForbidden || !mBudget.TryTake()) {
    return;
  }
  progress.mHedged = true;
  Send(aShardIndex, *next, true, aNow, aEffects);
}

void
fanout::BackOff(std::size_t aShardIndex, instant aNow, fanout_effects& aEffects)
{
  shard_progress& progress = mShards[aShardIndex];
  const int doublings = std::min(progress.mBackoffs, kMaxDoublings);
  ++progress.mBackoffs;
  const model::duration maxPause =
    std::min(mSettings.mMaxBackoff, mSettings.mMinBackoff * (1 << doublings));
  std::uniform_int_distribution<model::duration::rep> jitter(
    maxPause.count() / 2, maxPause.count());
  const instant at = aNow + model::duration(jitter(mRandom));
  if (at >= mPlan.mDeadline) {
    CloseShard(aShardIndex, aEffects);
    return;
  }
  SetTimers(aShardIndex, at, {});
}

void
fanout::Send(std::size_t aShardIndex,
             std::size_t aCandidate,
             bool aExtra,
             instant aNow,
             fanout_effects& aEffects)
{
  shard_progress& progress = mShards[aShardIndex];
  candidate& to = progress.mCandidates[aCandidate];
  const model::attempt_id attempt(mPlan.mAttemptPrefix +
                                  std::to_string(++mAttemptsSent));
  to.mInFlight = true;
  ++to.mAttemptCount;
  progress.mInFlightAttempts.push_back(attempt);
  mInFlightAttempts.emplace(
    attempt, in_flight_attempt{ aShardIndex, aCandidate, aExtra });
  if (!aExtra) {
    mBudget.OnFirstAttempt();
  }
  aEffects.emplace_back(
    send_effect{ attempt, progress.mShard, to.mTarget, aExtra });
  const bool mayHedge =
    mPlan.mIdempotent && !progress.mHedged && !mExtraAttemptsForbidden;
  const std::optional<model::duration> delay =
    mayHedge ? mHedge.HedgeDelay() : std::nullopt;
  if (delay) {
    SetTimers(aShardIndex, {}, aNow + *delay);
  }
}

void
fanout::Accept(std::size_t aShardIndex, fanout_effects& aEffects)
{
  shard_progress& progress = mShards[aShardIndex];
  progress.mAnswered = true;
  CancelInFlight(progress, aEffects);
  CloseShard(aShardIndex, aEffects);
}

void
fanout::CloseShard(std::size_t aShardIndex, fanout_effects& aEffects)
{
  SetTimers(aShardIndex, {}, {});
  mShards[aShardIndex].mClosed = true;
  --mOpenShards;
  if (mOpenShards == 0) {
    Finish(aEffects);
  }
}

void
fanout::CancelInFlight(shard_progress& aProgress, fanout_effects& aEffects)
{
  for (const model::attempt_id& attempt : aProgress.mInFlightAttempts) {
    const in_flight_attempt& inFlight = mInFlightAttempts.at(attempt);
    aEffects.emplace_back(
      cancel_effect{ attempt,
                     aProgress.mShard,
                     aProgress.mCandidates[inFlight.mCandidateIndex].mTarget });
    mInFlightAttempts.erase(attempt);
  }
  aProgress.mMayHaveRun =
    aProgress.mMayHaveRun || !aProgress.mInFlightAttempts.empty();
  aProgress.mInFlightAttempts.clear();
}

void
fanout::Finish(fanout_effects& aEffects)
{
  for (shard_progress& progress : mShards) {
    CancelInFlight(progress, aEffects);
    progress.mClosed = true;
  }
  mTimers.clear();
  mOpenShards = 0;
  mFinished = true;
  aEffects.emplace_back(finish_effect{});
}

void
fanout::SetTimers(std::size_t aShardIndex,
                  std::optional<instant> aRetryAt,
                  std::optional<instant> aHedgeAt)
{
  shard_progress& progress = mShards[aShardIndex];
  for (const auto& old : { progress.mRetryAt, progress.mHedgeAt }) {
    if (old) {
      mTimers.erase({ *old, aShardIndex });
    }
  }
  progress.mRetryAt = aRetryAt;
  progress.mHedgeAt = aHedgeAt;
  for (const auto& next : { aRetryAt, aHedgeAt }) {
    if (next) {
      mTimers.emplace(*next, aShardIndex);
    }
  }
}

} // namespace monsooncroft::policy
