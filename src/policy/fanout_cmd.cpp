/**
 * @file fanout_cmd.cpp
 * Events of a fan-out: everything that changes its state.
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

constexpr int kMostDoublings = 16;

/** Whether the same candidate may be asked again in a later round. */
bool
WorthAnotherRound(attempt_outcome aEnd)
{
  return aEnd == attempt_outcome::Refused || aEnd == attempt_outcome::NotSent;
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
    shard_progress run;
    run.mShard = shard.mShard;
    for (const target_id& target : shard.mCandidates) {
      run.mCandidates.push_back(candidate{ target, 0, false, {} });
    }
    mShards.push_back(std::move(run));
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
  for (std::size_t run = 0; run < mShards.size(); ++run) {
    SendNext(run, aNow, out);
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
  const in_flight_attempt open = found->second;
  const bool foreign = aResult.mOutcome == attempt_outcome::Ok &&
                       aResult.mSnapshot != mPlan.mSnapshot;
  const attempt_outcome outcome =
    foreign ? attempt_outcome::Error : aResult.mOutcome;
  RecordOutcome(aResult, outcome, open);
  if (outcome == attempt_outcome::Ok) {
    Accept(open.mShardIndex, out);
    return out;
  }
  const shard_progress& run = mShards[open.mShardIndex];
  if (!run.mInFlightAttempts.empty()) {
    // Another attempt of this shard is still under way, and may never end: a
    // hedge that did not run has not helped yet.
    if (open.mExtra && model::DidNotRun(outcome) && MayRetry(run)) {
      Hedge(open.mShardIndex, aNow, out);
    }
    return out;
  }
  SetTimers(open.mShardIndex, {}, {});
  if (!MayRetry(run)) {
    CloseShard(open.mShardIndex, out);
  } else if (model::DidNotRun(outcome)) {
    SendNext(open.mShardIndex, aNow, out);
  } else {
    Retry(open.mShardIndex, aNow, out);
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
    const std::size_t run = mTimers.begin()->second;
    const bool retry = mShards[run].mRetryAt.has_value();
    SetTimers(run, {}, {});
    if (retry) {
      Retry(run, aNow, out);
    } else {
      Hedge(run, aNow, out);
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
                      const in_flight_attempt& aOpen)
{
  shard_progress& run = mShards[aOpen.mShardIndex];
  candidate& from = run.mCandidates[aOpen.mCandidateIndex];
  from.mInFlight = false;
  from.mLastOutcome = aOutcome;
  run.mLastResult = aResult;
  run.mLastResult.mOutcome = aOutcome;
  run.mMayHaveRun = run.mMayHaveRun || !model::DidNotRun(aOutcome);
  run.mNotHeld = run.mNotHeld || aOutcome == attempt_outcome::NotHeld;
  std::erase(run.mInFlightAttempts, aResult.mAttempt);
  mInFlightAttempts.erase(aResult.mAttempt);
}

bool
fanout::MayRetry(const shard_progress& aRun) const
{
  return !aRun.mMayHaveRun || (mPlan.mIdempotent && !mExtraAttemptsForbidden);
}

std::optional<std::size_t>
fanout::NextCandidate(const shard_progress& aRun)
{
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < aRun.mCandidates.size(); ++index) {
    const candidate& each = aRun.mCandidates[index];
    const bool usable =
      !each.mInFlight &&
      (!each.mLastOutcome || WorthAnotherRound(*each.mLastOutcome));
    if (usable &&
        (!best || each.mAttemptCount < aRun.mCandidates[*best].mAttemptCount)) {
      best = index;
    }
  }
  return best;
}

void
fanout::SendNext(std::size_t aRun, instant aNow, fanout_effects& aOut)
{
  const shard_progress& run = mShards[aRun];
  const std::optional<std::size_t> next = NextCandidate(run);
  const bool tried = next && run.mCandidates[*next].mAttemptCount > 0;
  if (!next || (tried && !TryStartNextRound(aRun))) {
    CloseShard(aRun, aOut);
  } else if (tried) {
    BackOff(aRun, aNow, aOut);
  } else {
    Send(aRun, *next, false, aNow, aOut);
  }
}

void
fanout::Retry(std::size_t aRun, instant aNow, fanout_effects& aOut)
{
  const std::optional<std::size_t> next = NextCandidate(mShards[aRun]);
  if (!next || !MayRetry(mShards[aRun])) {
    CloseShard(aRun, aOut);
  } else if (std::exchange(mShards[aRun].mNextRoundPaid, false) ||
             mBudget.TryTake()) {
    Send(aRun, *next, true, aNow, aOut);
  } else {
    BackOff(aRun, aNow, aOut);
  }
}

/**
 * Whether to wait and ask refusing candidates once more. An urgent caller is
 * told at once, a normal one unless the next round can be paid; a browsing
 * one waits for coverage.
 */
bool
fanout::TryStartNextRound(std::size_t aRun)
{
  switch (mPlan.mUrgency) {
    case model::urgency::Urgent:
      return false;
    case model::urgency::Normal:
      mShards[aRun].mNextRoundPaid = mBudget.TryTake();
      return mShards[aRun].mNextRoundPaid;
    case model::urgency::Browsing:
      return true;
  }
  return false;
}

void
fanout::Hedge(std::size_t aRun, instant aNow, fanout_effects& aOut)
{
  shard_progress& run = mShards[aRun];
  const std::optional<std::size_t> next = NextCandidate(run);
  const bool untried = next && run.mCandidates[*next].mAttemptCount == 0;
  if (!untried || mExtraAttemptsForbidden || !mBudget.TryTake()) {
    return;
  }
  run.mHedged = true;
  Send(aRun, *next, true, aNow, aOut);
}

void
fanout::BackOff(std::size_t aRun, instant aNow, fanout_effects& aOut)
{
  shard_progress& run = mShards[aRun];
  const int doublings = std::min(run.mBackoffs, kMostDoublings);
  ++run.mBackoffs;
  const model::duration full =
    std::min(mSettings.mMaxBackoff, mSettings.mMinBackoff * (1 << doublings));
  std::uniform_int_distribution<model::duration::rep> jitter(full.count() / 2,
                                                             full.count());
  const instant at = aNow + model::duration(jitter(mRandom));
  if (at >= mPlan.mDeadline) {
    CloseShard(aRun, aOut);
    return;
  }
  SetTimers(aRun, at, {});
}

void
fanout::Send(std::size_t aRun,
             std::size_t aCandidate,
             bool aExtra,
             instant aNow,
             fanout_effects& aOut)
{
  shard_progress& run = mShards[aRun];
  candidate& to = run.mCandidates[aCandidate];
  const model::attempt_id attempt(mPlan.mAttemptPrefix +
                                  std::to_string(++mAttemptsSent));
  to.mInFlight = true;
  ++to.mAttemptCount;
  run.mInFlightAttempts.push_back(attempt);
  mInFlightAttempts.emplace(attempt,
                            in_flight_attempt{ aRun, aCandidate, aExtra });
  if (!aExtra) {
    mBudget.OnFirstAttempt();
  }
  aOut.emplace_back(send_effect{ attempt, run.mShard, to.mTarget, aExtra });
  const bool mayHedge =
    mPlan.mIdempotent && !run.mHedged && !mExtraAttemptsForbidden;
  const std::optional<model::duration> delay =
    mayHedge ? mHedge.HedgeDelay() : std::nullopt;
  if (delay) {
    SetTimers(aRun, {}, aNow + *delay);
  }
}

void
fanout::Accept(std::size_t aRun, fanout_effects& aOut)
{
  shard_progress& run = mShards[aRun];
  run.mAnswered = true;
  CancelInFlight(run, aOut);
  CloseShard(aRun, aOut);
}

void
fanout::CloseShard(std::size_t aRun, fanout_effects& aOut)
{
  SetTimers(aRun, {}, {});
  mShards[aRun].mClosed = true;
  --mOpenShards;
  if (mOpenShards == 0) {
    Finish(aOut);
  }
}

void
fanout::CancelInFlight(shard_progress& aRun, fanout_effects& aOut)
{
  for (const model::attempt_id& attempt : aRun.mInFlightAttempts) {
    const in_flight_attempt& open = mInFlightAttempts.at(attempt);
    aOut.emplace_back(cancel_effect{
      attempt, aRun.mShard, aRun.mCandidates[open.mCandidateIndex].mTarget });
    mInFlightAttempts.erase(attempt);
  }
  aRun.mMayHaveRun = aRun.mMayHaveRun || !aRun.mInFlightAttempts.empty();
  aRun.mInFlightAttempts.clear();
}

void
fanout::Finish(fanout_effects& aOut)
{
  for (shard_progress& run : mShards) {
    CancelInFlight(run, aOut);
    run.mClosed = true;
  }
  mTimers.clear();
  mOpenShards = 0;
  mFinished = true;
  aOut.emplace_back(finish_effect{});
}

void
fanout::SetTimers(std::size_t aRun,
                  std::optional<instant> aRetryAt,
                  std::optional<instant> aHedgeAt)
{
  shard_progress& run = mShards[aRun];
  for (const auto& old : { run.mRetryAt, run.mHedgeAt }) {
    if (old) {
      mTimers.erase({ *old, aRun });
    }
  }
  run.mRetryAt = aRetryAt;
  run.mHedgeAt = aHedgeAt;
  for (const auto& next : { aRetryAt, aHedgeAt }) {
    if (next) {
      mTimers.emplace(*next, aRun);
    }
  }
}

} // namespace monsooncroft::policy
