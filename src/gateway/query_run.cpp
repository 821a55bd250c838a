/**
 * @file query_run.cpp
 * One request on its way.
 */
#include "gateway/query_run_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/leaf_table_base.h"
#include "gateway/request_head_func.h"
#include "model/time_func.h"
#include "serving/omission_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

query_run::query_run(const query_context& aContext,
                     exchange_ptr aExchange,
                     plan aPlan)
  : mContext(aContext)
  , mExchange(std::move(aExchange))
  , mPlan(std::move(aPlan))
  , mParts(mPlan.mServices.size())
  , mTimer(aContext.mLoop, [this] { OnWake(); })
{
  const serving::route& route = *mPlan.mRoute;
  mTerms.mTotal = mParts.size();
  mTerms.mLeast = route.IsFanOut()
                    ? serving::LeastShards(mParts.size(), route.mLeastShare)
                    : 1;
  mTerms.mAnswerBy =
    mExchange->Received() + serving::TimeToAnswer(route.mTargetLatency,
                                                  mExchange->CallersWay(),
                                                  mContext.mSettings.mAnswer);
  mTerms.mDeadline = mPlan.mDeadline;
}

void
query_run::Start()
{
  const model::instant now = event_loop::Now();
  mText =
    MakeRequestText(mExchange->Request(), mContext.mNames, mPlan.mRequestId);
  const auto self = shared_from_this();
  // Attempts hold the run; the caller's connection only points at it.
  mExchange->OnLeft([weak = weak_from_this()] {
    if (const auto run = weak.lock()) {
      run->Finish(nullptr, "caller_left", event_loop::Now());
    }
  });
  for (const std::string& service : mPlan.mServices) {
    mContext.mBudget.OnRequest(service, now);
  }
  if (mParts.size() - LeaveOutLate(now) < mTerms.mLeast) {
    mLastReason = "too few shards in reach";
    GiveUp(now);
    return;
  }
  mSelf = self;
  for (std::size_t place = 0; place < mParts.size() && !mDone; ++place) {
    if (!mParts[place].mLost) {
      Place(place, now);
    }
  }
  if (!mDone) {
    Evaluate(now);
  }
}

std::size_t
query_run::LeaveOutLate(model::instant aNow)
{
  std::size_t without = 0;
  std::vector<model::duration> expected;
  expected.reserve(mParts.size());
  for (std::size_t place = 0; place < mParts.size(); ++place) {
    const leaf_peer* leaf = Choose(place, false, aNow);
    without += leaf == nullptr || leaf->Load().Lost(aNow) ? 1 : 0;
    expected.push_back(leaf == nullptr ? model::duration::max()
                                       : leaf->Load().ExpectedLatency(
                                           mPlan.mLatency->Mean(), aNow));
  }
  const auto omitted = serving::ChooseOmissions(
    expected, mTerms.mAnswerBy - aNow, mTerms.mTotal - mTerms.mLeast);
  for (const std::size_t place : omitted) {
    mParts[place].mOmitted = true;
    mParts[place].mExpected = expected[place];
    mParts[place].mLost = true;
    ++mLostParts;
    ++mOmitted;
  }
  return without;
}

bool
query_run::TakeUpOmitted(model::instant aNow)
{
  for (std::size_t place = 0; place < mParts.size(); ++place) {
    part& shard = mParts[place];
    if (shard.mOmitted) {
      shard.mOmitted = false;
      shard.mLost = false;
      --mLostParts;
      --mOmitted;
      Place(place, aNow);
      return true;
    }
  }
  return false;
}

void
query_run::Lose(std::size_t aPart, model::instant aNow)
{
  if (mParts[aPart].mLost) {
    return;
  }
  mParts[aPart].mLost = true;
  ++mLostParts;
  // Another shard's failure makes one needed that was left out.
  if (mParts.size() - mLostParts < mTerms.mLeast) {
    TakeUpOmitted(aNow);
  }
}

leaf_peer*
query_run::Choose(std::size_t aPart, bool aFreshOnly, model::instant aNow)
{
  const part& shard = mParts[aPart];
  const auto& leaves = mContext.mLeaves.Of(mPlan.mServices[aPart]);
  std::vector<const serving::leaf_load*> candidates(leaves.size(), nullptr);
  const auto admit = [&](auto aMay) {
    bool any = false;
    for (std::size_t place = 0; place < leaves.size(); ++place) {
      const leaf_peer& leaf = *leaves[place];
      if (leaf.TakesWork(aNow) && aMay(leaf)) {
        candidates[place] = &leaf.Load();
        any = any || !leaf.Load().Refuses(aNow);
      }
    }
    return any;
  };
  const auto fresh = [&](const leaf_peer& aLeaf) {
    return std::find(shard.mTried.begin(),
                     shard.mTried.end(),
                     aLeaf.Entry().mId) == shard.mTried.end();
  };
  if (!admit(fresh) && !aFreshOnly) {
    admit([](const leaf_peer&) { return true; });
  }
  const std::size_t tie =
    static_cast<std::size_t>(aNow.time_since_epoch().count()) + aPart;
  const auto best =
    serving::ChooseReplica(candidates, mPlan.mLatency->Mean(), tie, aNow);
  return best ? leaves[*best].get() : nullptr;
}

bool
query_run::Place(std::size_t aPart, model::instant aNow)
{
  leaf_peer* leaf = Choose(aPart, false, aNow);
  if (leaf == nullptr || leaf->Load().Refuses(aNow)) {
    mParts[aPart].mHedgeAt = aNow + mContext.mSettings.mPlaceAgain;
    return false;
  }
  Submit(aPart, *leaf, aNow);
  return true;
}

void
query_run::Submit(std::size_t aPart, leaf_peer& aLeaf, model::instant aNow)
{
  part& shard = mParts[aPart];
  auto attempt = std::make_shared<leaf_attempt>();
  attempt->mText = mText;
  attempt->mObserver = shared_from_this();
  attempt->mPart = aPart;
  attempt->mDue = mTerms.mAnswerBy;
  attempt->mDeadline = mTerms.mDeadline;
  attempt->mUsualWork = mPlan.mLatency->Mean();
  attempt->mLeaf = aLeaf.Entry().mId;
  shard.mAttempts.push_back(attempt);
  shard.mTried.push_back(aLeaf.Entry().mId);
  shard.mHedgeAt = aNow + HedgeDelay(aLeaf, aNow);
  ++shard.mSends;
  ++mSends;
  aLeaf.Submit(std::move(attempt), aNow);
}

model::duration
query_run::HedgeDelay(const leaf_peer& aLeaf, model::instant aNow) const
{
  const query_settings& settings = mContext.mSettings;
  if (aLeaf.Load().Suspect(mPlan.mLatency->Mean(), aNow)) {
    return settings.mLeastHedgeDelay;
  }
  const auto usual =
    model::Scaled(mPlan.mLatency->High(), settings.mHedgeFactor);
  const auto most =
    model::Scaled(mPlan.mRoute->mTargetLatency, settings.mHedgeAtLatest);
  return aLeaf.Load().RoundTrip() +
         std::max<model::duration>(std::min<model::duration>(usual, most),
                                   settings.mLeastHedgeDelay);
}

void
query_run::OnAttemptEnd(leaf_attempt& aAttempt, attempt_result aResult)
{
  if (mDone) {
    return;
  }
  const auto self = shared_from_this();
  const model::instant now = event_loop::Now();
  const std::size_t place = aAttempt.mPart;
  part& shard = mParts[place];
  std::erase_if(shard.mAttempts, [&](const leaf_attempt_ptr& aOther) {
    return aOther.get() == &aAttempt;
  });
  bool mayHaveRun = false;
  switch (aResult.mEnd) {
    case attempt_end::Answered:
      mPlan.mLatency->Add(aResult.mArrived - *aAttempt.mSent, now);
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
      --shard.mSends;
      --mSends;
      mLastReason = aResult.mReason;
      break;
    case attempt_end::Lost:
      mayHaveRun = true;
      mMayHaveRun = true;
      mLastReason = aResult.mReason;
      break;
  }
  if (shard.mAnswered) {
    return;
  }
  if (shard.mAttempts.empty()) {
    if (MayTryAgain(place, mayHaveRun, now)) {
      Place(place, now);
    } else {
      Lose(place, now);
    }
  }
  if (!mDone) {
    Evaluate(now);
  }
}

void
query_run::OnAnswer(part& aPart, http_message aAnswer)
{
  const bool success = aAnswer.mStatus / 100 == 2;
  const bool hasSignature = aAnswer.Find(mContext.mNames.mSignature) != nullptr;
  if (success && hasSignature) {
    aPart.mAnswered = true;
    aPart.mAnswer = std::move(aAnswer);
    ++mAnswered;
    if (aPart.mLost) {
      --mLostParts;
    }
    const model::instant now = event_loop::Now();
    for (const leaf_attempt_ptr& other : aPart.mAttempts) {
      other->Abandon(now);
    }
    aPart.mAttempts.clear();
    return;
  }
  mMayHaveRun = true;
  mLastReason = success ? "answer without signature" : "the leaf failed";
  if (!success) {
    mFailure = std::move(aAnswer);
  }
}

bool
query_run::MayTryAgain(std::size_t aPart, bool aMayHaveRun, model::instant aNow)
{
  const part& shard = mParts[aPart];
  const serving::route& route = *mPlan.mRoute;
  const bool once = route.mRepeatability == serving::repeatability::RunOnce;
  if ((once && aMayHaveRun) || aNow >= mTerms.mDeadline) {
    return false;
  }
  if (shard.mSends == 0) {
    return true;
  }
  return shard.mSends < route.mMaxAttempts && !mPlan.mOnceOnly &&
         mContext.mBudget.TryTake(mPlan.mServices[aPart],
                                  serving::extra_budget::purpose::Failure,
                                  aNow);
}

void
query_run::Hedge(std::size_t aPart, model::instant aNow)
{
  part& shard = mParts[aPart];
  shard.mHedgeAt = mTerms.mDeadline;
  const serving::route& route = *mPlan.mRoute;
  if (route.mRepeatability == serving::repeatability::RunOnce ||
      mPlan.mOnceOnly || shard.mSends >= route.mMaxAttempts) {
    return;
  }
  leaf_peer* leaf = Choose(aPart, true, aNow);
  if (leaf == nullptr ||
      aNow + leaf->Load().ExpectedLatency(mPlan.mLatency->Mean(), aNow) >
        std::max(mTerms.mAnswerBy, aNow + mPlan.mLatency->High()) ||
      !mContext.mBudget.TryTake(
        mPlan.mServices[aPart], serving::extra_budget::purpose::Hedge, aNow)) {
    shard.mHedgeAt = aNow + mContext.mSettings.mPlaceAgain;
    return;
  }
  ++mHedges;
  Submit(aPart, *leaf, aNow);
  shard.mHedgeAt = mTerms.mDeadline;
}

void
query_run::OnWake()
{
  const auto self = shared_from_this();
  const model::instant now = event_loop::Now();
  mWake = model::instant();
  for (std::size_t place = 0; place < mParts.size() && !mDone; ++place) {
    part& shard = mParts[place];
    if (shard.mAnswered || shard.mLost || now < shard.mHedgeAt) {
      continue;
    }
    if (shard.mAttempts.empty()) {
      Place(place, now);
    } else {
      Hedge(place, now);
    }
  }
  if (!mDone) {
    Evaluate(now);
  }
}

} // namespace monsooncroft::gateway
