/**
 * @file query_execution.cpp
 * Execution of one request on leaves.
 */
#include "gateway/query_execution_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/leaf_table_base.h"
#include "gateway/request_head_func.h"
#include "model/time_func.h"
#include "serving/shard_omission_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

query_execution::query_execution(const query_context& aContext,
                                 exchange_ptr aExchange,
                                 plan aPlan)
  : mContext(aContext)
  , mExchange(std::move(aExchange))
  , mPlan(std::move(aPlan))
  , mShards(mPlan.mServices.size())
  , mTimer(aContext.mLoop, [this] { OnWake(); })
{
  const serving::route& route = *mPlan.mRoute;
  mRequirements.mTotalShards = mShards.size();
  mRequirements.mRequiredShards =
    route.IsFanOut()
      ? serving::RequiredShards(mShards.size(), route.mMinSuccessShare)
      : 1;
  mRequirements.mPartialAnswerAt =
    mExchange->ReceivedAt() +
    serving::PartialAnswerDelay(route.mTargetLatency,
                                mExchange->CallerNetworkTime(),
                                mContext.mSettings.mAnswerTiming);
  mRequirements.mDeadline = mPlan.mDeadline;
}

void
query_execution::Start()
{
  const model::instant now = event_loop::Now();
  mLeafRequest = MakeLeafRequest(
    mExchange->Request(), mContext.mHeaderNames, mPlan.mRequestId);
  const auto self = shared_from_this();
  // Weak: attempts own the execution, the caller's connection does not.
  mExchange->OnCallerLeft([weak = weak_from_this()] {
    if (const auto run = weak.lock()) {
      run->Finish(nullptr, "caller_left", event_loop::Now());
    }
  });
  for (const std::string& service : mPlan.mServices) {
    mContext.mRetryBudget.OnRequest(service, now);
  }
  if (mShards.size() - OmitLateShards(now) < mRequirements.mRequiredShards) {
    mLastReason = "too few shards in reach";
    GiveUp(now);
    return;
  }
  mSelf = self;
  for (std::size_t place = 0; place < mShards.size() && !mDone; ++place) {
    if (!mShards[place].mFailed) {
      StartAttempt(place, now);
    }
  }
  if (!mDone) {
    Evaluate(now);
  }
}

std::size_t
query_execution::OmitLateShards(model::instant aNow)
{
  std::size_t without = 0;
  std::vector<model::duration> expected;
  expected.reserve(mShards.size());
  for (std::size_t place = 0; place < mShards.size(); ++place) {
    const leaf_endpoint* leaf = ChooseLeaf(place, false, aNow);
    without += leaf == nullptr || leaf->Load().IsKnownUnreachable(aNow) ? 1 : 0;
    expected.push_back(leaf == nullptr ? model::duration::max()
                                       : leaf->Load().ExpectedLatency(
                                           mPlan.mLatency->Mean(), aNow));
  }
  const auto omitted = serving::ChooseOmittedShards(
    expected,
    mRequirements.mPartialAnswerAt - aNow,
    mRequirements.mTotalShards - mRequirements.mRequiredShards);
  for (const std::size_t place : omitted) {
    mShards[place].mOmitted = true;
    mShards[place].mExpectedLatency = expected[place];
    mShards[place].mFailed = true;
    ++mFailedShards;
    ++mOmittedShards;
  }
  return without;
}

bool
query_execution::RestoreOmittedShard(model::instant aNow)
{
  for (std::size_t place = 0; place < mShards.size(); ++place) {
    shard_state& shard = mShards[place];
    if (shard.mOmitted) {
      shard.mOmitted = false;
      shard.mFailed = false;
      --mFailedShards;
      --mOmittedShards;
      StartAttempt(place, aNow);
      return true;
    }
  }
  return false;
}

void
query_execution::FailShard(std::size_t aPart, model::instant aNow)
{
  if (mShards[aPart].mFailed) {
    return;
  }
  mShards[aPart].mFailed = true;
  ++mFailedShards;
  // The failure makes an omitted shard necessary.
  if (mShards.size() - mFailedShards < mRequirements.mRequiredShards) {
    RestoreOmittedShard(aNow);
  }
}

leaf_endpoint*
query_execution::ChooseLeaf(std::size_t aPart,
                            bool aFreshOnly,
                            model::instant aNow)
{
  const shard_state& shard = mShards[aPart];
  const auto& leaves = mContext.mLeaves.LeavesOf(mPlan.mServices[aPart]);
  std::vector<const serving::leaf_health*> candidates(leaves.size(), nullptr);
  const auto admit = [&](auto aMay) {
    bool any = false;
    for (std::size_t place = 0; place < leaves.size(); ++place) {
      const leaf_endpoint& leaf = *leaves[place];
      if (leaf.AcceptsWork(aNow) && aMay(leaf)) {
        candidates[place] = &leaf.Load();
        any = any || !leaf.Load().InConnectBackoff(aNow);
      }
    }
    return any;
  };
  const auto fresh = [&](const leaf_endpoint& aLeaf) {
    return std::find(shard.mTriedLeaves.begin(),
                     shard.mTriedLeaves.end(),
                     aLeaf.Entry().mId) == shard.mTriedLeaves.end();
  };
  if (!admit(fresh) && !aFreshOnly) {
    admit([](const leaf_endpoint&) { return true; });
  }
  const std::size_t tie =
    static_cast<std::size_t>(aNow.time_since_epoch().count()) + aPart;
  const auto best =
    serving::ChooseReplica(candidates, mPlan.mLatency->Mean(), tie, aNow);
  return best ? leaves[*best].get() : nullptr;
}

bool
query_execution::StartAttempt(std::size_t aPart, model::instant aNow)
{
  leaf_endpoint* leaf = ChooseLeaf(aPart, false, aNow);
  if (leaf == nullptr || leaf->Load().InConnectBackoff(aNow)) {
    mShards[aPart].mHedgeAt = aNow + mContext.mSettings.mLeafRetryDelay;
    return false;
  }
  SendAttempt(aPart, *leaf, aNow);
  return true;
}

void
query_execution::SendAttempt(std::size_t aPart,
                             leaf_endpoint& aLeaf,
                             model::instant aNow)
{
  shard_state& shard = mShards[aPart];
  auto attempt = std::make_shared<leaf_attempt>();
  attempt->mRequest = mLeafRequest;
  attempt->mObserver = shared_from_this();
  attempt->mShardIndex = aPart;
  attempt->mAnswerBy = mRequirements.mPartialAnswerAt;
  attempt->mDeadline = mRequirements.mDeadline;
  attempt->mRouteMeanLatency = mPlan.mLatency->Mean();
  attempt->mLeafId = aLeaf.Entry().mId;
  shard.mOutstanding.push_back(attempt);
  shard.mTriedLeaves.push_back(aLeaf.Entry().mId);
  shard.mHedgeAt = aNow + HedgeDelay(aLeaf, aNow);
  ++shard.mAttemptCount;
  ++mAttemptCount;
  aLeaf.Submit(std::move(attempt), aNow);
}

model::duration
query_execution::HedgeDelay(const leaf_endpoint& aLeaf,
                            model::instant aNow) const
{
  const query_settings& settings = mContext.mSettings;
  if (aLeaf.Load().IsSuspect(mPlan.mLatency->Mean(), aNow)) {
    return settings.mMinHedgeDelay;
  }
  const auto usual =
    model::ScaleDuration(mPlan.mLatency->HighQuantile(), settings.mHedgeFactor);
  const auto most = model::ScaleDuration(mPlan.mRoute->mTargetLatency,
                                         settings.mMaxHedgeFraction);
  return aLeaf.Load().RoundTrip() +
         std::max<model::duration>(std::min<model::duration>(usual, most),
                                   settings.mMinHedgeDelay);
}

void
query_execution::OnAttemptEnd(leaf_attempt& aAttempt, attempt_result aResult)
{
  if (mDone) {
    return;
  }
  const auto self = shared_from_this();
  const model::instant now = event_loop::Now();
  const std::size_t place = aAttempt.mShardIndex;
  shard_state& shard = mShards[place];
  std::erase_if(shard.mOutstanding, [&](const leaf_attempt_ptr& aOther) {
    return aOther.get() == &aAttempt;
  });
  bool mayHaveRun = false;
  switch (aResult.mEnd) {
    case attempt_end::Answered:
      mPlan.mLatency->Add(aResult.mArrivedAt - *aAttempt.mSentAt, now);
      OnAnswer(shard, std::move(aResult.mAnswer));
      if (shard.mAnswered) {
        Evaluate(now);
        return;
      }
      mayHaveRun = true;
      break;
    case attempt_end::NotRun:
      mLastReason = aResult.mReason;
      break;
    case attempt_end::NotSent:
      --shard.mAttemptCount;
      --mAttemptCount;
      mLastReason = aResult.mReason;
      break;
    case attempt_end::OutcomeUnknown:
      mayHaveRun = true;
      mMayHaveRun = true;
      mLastReason = aResult.mReason;
      break;
  }
  if (shard.mAnswered) {
    return;
  }
  if (shard.mOutstanding.empty()) {
    if (MayRetry(place, mayHaveRun, now)) {
      StartAttempt(place, now);
    } else {
      FailShard(place, now);
    }
  }
  if (!mDone) {
    Evaluate(now);
  }
}

void
query_execution::OnAnswer(shard_state& aPart, http_message aAnswer)
{
  const bool success = aAnswer.mStatus / 100 == 2;
  const bool hasSignature =
    aAnswer.Find(mContext.mHeaderNames.mSignature) != nullptr;
  if (success && hasSignature) {
    aPart.mAnswered = true;
    aPart.mAnswer = std::move(aAnswer);
    ++mAnsweredShards;
    if (aPart.mFailed) {
      --mFailedShards;
    }
    const model::instant now = event_loop::Now();
    for (const leaf_attempt_ptr& other : aPart.mOutstanding) {
      other->Abandon(now);
    }
    aPart.mOutstanding.clear();
    return;
  }
  mMayHaveRun = true;
  mLastReason = success ? "answer without signature" : "the leaf failed";
  if (!success) {
    mLeafFailure = std::move(aAnswer);
  }
}

bool
query_execution::MayRetry(std::size_t aPart,
                          bool aMayHaveRun,
                          model::instant aNow)
{
  const shard_state& shard = mShards[aPart];
  const serving::route& route = *mPlan.mRoute;
  const bool once = route.mRepeatability == serving::repeatability::RunOnce;
  if ((once && aMayHaveRun) || aNow >= mRequirements.mDeadline) {
    return false;
  }
  if (shard.mAttemptCount == 0) {
    return true;
  }
  return shard.mAttemptCount < route.mMaxAttempts && !mPlan.mSingleAttempt &&
         mContext.mRetryBudget.TryAcquire(
           mPlan.mServices[aPart], serving::retry_budget::purpose::Retry, aNow);
}

void
query_execution::Hedge(std::size_t aPart, model::instant aNow)
{
  shard_state& shard = mShards[aPart];
  shard.mHedgeAt = mRequirements.mDeadline;
  const serving::route& route = *mPlan.mRoute;
  if (route.mRepeatability == serving::repeatability::RunOnce ||
      mPlan.mSingleAttempt || shard.mAttemptCount >= route.mMaxAttempts) {
    return;
  }
  leaf_endpoint* leaf = ChooseLeaf(aPart, true, aNow);
  if (leaf == nullptr ||
      aNow + leaf->Load().ExpectedLatency(mPlan.mLatency->Mean(), aNow) >
        std::max(mRequirements.mPartialAnswerAt,
                 aNow + mPlan.mLatency->HighQuantile()) ||
      !mContext.mRetryBudget.TryAcquire(
        mPlan.mServices[aPart], serving::retry_budget::purpose::Hedge, aNow)) {
    shard.mHedgeAt = aNow + mContext.mSettings.mLeafRetryDelay;
    return;
  }
  ++mHedgeCount;
  SendAttempt(aPart, *leaf, aNow);
  shard.mHedgeAt = mRequirements.mDeadline;
}

void
query_execution::OnWake()
{
  const auto self = shared_from_this();
  const model::instant now = event_loop::Now();
  mWakeAt = model::instant();
  for (std::size_t place = 0; place < mShards.size() && !mDone; ++place) {
    shard_state& shard = mShards[place];
    if (shard.mAnswered || shard.mFailed || now < shard.mHedgeAt) {
      continue;
    }
    if (shard.mOutstanding.empty()) {
      StartAttempt(place, now);
    } else {
      Hedge(place, now);
    }
  }
  if (!mDone) {
    Evaluate(now);
  }
}

} // namespace monsooncroft::gateway
