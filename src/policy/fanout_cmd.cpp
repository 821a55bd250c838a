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
               attempt_budget& aBudget,
               std::uint32_t aSeed,
               fanout_settings aSettings)
  : mPlan(std::move(aPlan))
  , mHedge(aHedge)
  , mBudget(aBudget)
  , mSettings(aSettings)
  , mRandom(aSeed)
  , mUnclosed(mPlan.mShards.size())
{
  mRuns.reserve(mPlan.mShards.size());
  for (const shard_plan& shard : mPlan.mShards) {
    shard_run run;
    run.mShard = shard.mShard;
    for (const target_id& target : shard.mCandidates) {
      run.mCandidates.push_back(candidate{ target, 0, false, {} });
    }
    mRuns.push_back(std::move(run));
  }
}

fanout_effects
fanout::Start(instant aNow)
{
  fanout_effects out;
  if (aNow >= mPlan.mDeadline || mRuns.empty()) {
    Finish(out);
    return out;
  }
  for (std::size_t run = 0; run < mRuns.size(); ++run) {
    SendNext(run, aNow, out);
  }
  return out;
}

fanout_effects
fanout::OnResult(const attempt_result& aResult, instant aNow)
{
  fanout_effects out;
  const auto found = mAttempts.find(aResult.mAttempt);
  if (mFinished || found == mAttempts.end() ||
      mRuns[found->second.mRun].mShard != aResult.mShard) {
    return out;
  }
  const open_attempt open = found->second;
  const bool foreign = aResult.mOutcome == attempt_outcome::Ok &&
                       aResult.mSnapshot != mPlan.mSnapshot;
  const attempt_outcome outcome =
    foreign ? attempt_outcome::Error : aResult.mOutcome;
  RecordEnd(aResult, outcome, open);
  if (outcome == attempt_outcome::Ok) {
    Accept(open.mRun, out);
    return out;
  }
  const shard_run& run = mRuns[open.mRun];
  if (!run.mOpen.empty()) {
    // Another attempt of this shard is still under way, and may never end: a
    // hedge that did not run has not helped yet.
    if (open.mExtra && model::DidNotRun(outcome) && MayTryAgain(run)) {
      Hedge(open.mRun, aNow, out);
    }
    return out;
  }
  SetTimers(open.mRun, {}, {});
  if (!MayTryAgain(run)) {
    Close(open.mRun, out);
  } else if (model::DidNotRun(outcome)) {
    SendNext(open.mRun, aNow, out);
  } else {
    Retry(open.mRun, aNow, out);
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
  while (!mFinished && !mWakes.empty() && mWakes.begin()->first <= aNow) {
    const std::size_t run = mWakes.begin()->second;
    const bool retry = mRuns[run].mRetryAt.has_value();
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
fanout::RecordEnd(const attempt_result& aResult,
                  attempt_outcome aOutcome,
                  const open_attempt& aOpen)
{
  shard_run& run = mRuns[aOpen.mRun];
  candidate& from = run.mCandidates[aOpen.mCandidate];
  from.mOpen = false;
  from.mEnd = aOutcome;
  run.mLast = aResult;
  run.mLast.mOutcome = aOutcome;
  run.mMaybeRan = run.mMaybeRan || !model::DidNotRun(aOutcome);
  run.mNotHeld = run.mNotHeld || aOutcome == attempt_outcome::NotHeld;
  std::erase(run.mOpen, aResult.mAttempt);
  mAttempts.erase(aResult.mAttempt);
}

bool
fanout::MayTryAgain(const shard_run& aRun) const
{
  return !aRun.mMaybeRan || (mPlan.mIdempotent && !mExtraForbidden);
}

std::optional<std::size_t>
fanout::NextCandidate(const shard_run& aRun)
{
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < aRun.mCandidates.size(); ++index) {
    const candidate& each = aRun.mCandidates[index];
    const bool usable =
      !each.mOpen && (!each.mEnd || WorthAnotherRound(*each.mEnd));
    if (usable && (!best || each.mTries < aRun.mCandidates[*best].mTries)) {
      best = index;
    }
  }
  return best;
}

void
fanout::SendNext(std::size_t aRun, instant aNow, fanout_effects& aOut)
{
  const shard_run& run = mRuns[aRun];
  const std::optional<std::size_t> next = NextCandidate(run);
  const bool tried = next && run.mCandidates[*next].mTries > 0;
  if (!next || (tried && !StartsNextRound(aRun))) {
    Close(aRun, aOut);
  } else if (tried) {
    BackOff(aRun, aNow, aOut);
  } else {
    Send(aRun, *next, false, aNow, aOut);
  }
}

void
fanout::Retry(std::size_t aRun, instant aNow, fanout_effects& aOut)
{
  const std::optional<std::size_t> next = NextCandidate(mRuns[aRun]);
  if (!next || !MayTryAgain(mRuns[aRun])) {
    Close(aRun, aOut);
  } else if (std::exchange(mRuns[aRun].mPaid, false) || mBudget.TryTake()) {
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
fanout::StartsNextRound(std::size_t aRun)
{
  switch (mPlan.mUrgency) {
    case model::urgency::Urgent:
      return false;
    case model::urgency::Normal:
      mRuns[aRun].mPaid = mBudget.TryTake();
      return mRuns[aRun].mPaid;
    case model::urgency::Browsing:
      return true;
  }
  return false;
}

void
fanout::Hedge(std::size_t aRun, instant aNow, fanout_effects& aOut)
{
  shard_run& run = mRuns[aRun];
  const std::optional<std::size_t> next = NextCandidate(run);
  const bool untried = next && run.mCandidates[*next].mTries == 0;
  if (!untried || mExtraForbidden || !mBudget.TryTake()) {
    return;
  }
  run.mHedged = true;
  Send(aRun, *next, true, aNow, aOut);
}

void
fanout::BackOff(std::size_t aRun, instant aNow, fanout_effects& aOut)
{
  shard_run& run = mRuns[aRun];
  const int doublings = std::min(run.mRound, kMostDoublings);
  ++run.mRound;
  const model::duration full = std::min(
    mSettings.mBackoffMost, mSettings.mBackoffLeast * (1 << doublings));
  std::uniform_int_distribution<model::duration::rep> jitter(full.count() / 2,
                                                             full.count());
  const instant at = aNow + model::duration(jitter(mRandom));
  if (at >= mPlan.mDeadline) {
    Close(aRun, aOut);
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
  shard_run& run = mRuns[aRun];
  candidate& to = run.mCandidates[aCandidate];
  const model::attempt_id attempt(mPlan.mAttemptPrefix +
                                  std::to_string(++mSent));
  to.mOpen = true;
  ++to.mTries;
  run.mOpen.push_back(attempt);
  mAttempts.emplace(attempt, open_attempt{ aRun, aCandidate, aExtra });
  if (!aExtra) {
    mBudget.OnSend();
  }
  aOut.emplace_back(send_effect{ attempt, run.mShard, to.mTarget, aExtra });
  const bool mayHedge = mPlan.mIdempotent && !run.mHedged && !mExtraForbidden;
  const std::optional<model::duration> delay =
    mayHedge ? mHedge.HedgeDelay() : std::nullopt;
  if (delay) {
    SetTimers(aRun, {}, aNow + *delay);
  }
}

void
fanout::Accept(std::size_t aRun, fanout_effects& aOut)
{
  shard_run& run = mRuns[aRun];
  run.mAnswered = true;
  CancelOpen(run, aOut);
  Close(aRun, aOut);
}

void
fanout::Close(std::size_t aRun, fanout_effects& aOut)
{
  SetTimers(aRun, {}, {});
  mRuns[aRun].mClosed = true;
  --mUnclosed;
  if (mUnclosed == 0) {
    Finish(aOut);
  }
}

void
fanout::CancelOpen(shard_run& aRun, fanout_effects& aOut)
{
  for (const model::attempt_id& attempt : aRun.mOpen) {
    const open_attempt& open = mAttempts.at(attempt);
    aOut.emplace_back(cancel_effect{
      attempt, aRun.mShard, aRun.mCandidates[open.mCandidate].mTarget });
    mAttempts.erase(attempt);
  }
  aRun.mMaybeRan = aRun.mMaybeRan || !aRun.mOpen.empty();
  aRun.mOpen.clear();
}

void
fanout::Finish(fanout_effects& aOut)
{
  for (shard_run& run : mRuns) {
    CancelOpen(run, aOut);
    run.mClosed = true;
  }
  mWakes.clear();
  mUnclosed = 0;
  mFinished = true;
  aOut.emplace_back(finish_effect{});
}

void
fanout::SetTimers(std::size_t aRun,
                  std::optional<instant> aRetryAt,
                  std::optional<instant> aHedgeAt)
{
  shard_run& run = mRuns[aRun];
  for (const auto& old : { run.mRetryAt, run.mHedgeAt }) {
    if (old) {
      mWakes.erase({ *old, aRun });
    }
  }
  run.mRetryAt = aRetryAt;
  run.mHedgeAt = aHedgeAt;
  for (const auto& next : { aRetryAt, aHedgeAt }) {
    if (next) {
      mWakes.emplace(*next, aRun);
    }
  }
}

} // namespace monsooncroft::policy
