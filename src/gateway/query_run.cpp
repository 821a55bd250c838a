/**
 * @file query_run.cpp
 * One request on its way.
 */
#include "gateway/query_run_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/leaf_table_base.h"
#include "gateway/request_head_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/omission_func.h"
#include "serving/record_merge_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

model::duration
Scaled(model::duration aTime, double aFactor)
{
  return model::duration(static_cast<model::duration::rep>(
    static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

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
  const bool found = admit(
    [&](const leaf_peer& aLeaf) { return aLeaf.Share() > 0 && fresh(aLeaf); });
  if (!found && !admit(fresh) && !aFreshOnly) {
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
  attempt->mExtra = shard.mSends > 0;
  shard.mAttempts.push_back(attempt);
  shard.mTried.push_back(aLeaf.Entry().mId);
  shard.mHedgeAt = aNow + HedgeDelay(aLeaf, aNow);
  ++shard.mSends;
  ++mSends;
  mExtra += attempt->mExtra ? 1 : 0;
  aLeaf.Submit(std::move(attempt), aNow);
}

model::duration
query_run::HedgeDelay(const leaf_peer& aLeaf, model::instant aNow) const
{
  const query_settings& settings = mContext.mSettings;
  if (aLeaf.Load().Suspect(mPlan.mLatency->Mean(), aNow)) {
    return settings.mLeastHedgeDelay;
  }
  const auto usual = Scaled(mPlan.mLatency->High(), settings.mHedgeFactor);
  const auto most =
    Scaled(mPlan.mRoute->mTargetLatency, settings.mHedgeAtLatest);
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
      mPlan.mLatency->Add(now - *aAttempt.mSent, now);
      OnAnswer(shard, aAttempt, std::move(aResult.mAnswer));
      if (shard.mAnswered) {
        Evaluate(now);
        return;
      }
      mayHaveRun = true;
      break;
    case attempt_end::NotRun:
      mRefusedAsFull = true;
      mLastReason = aResult.mReason;
      break;
    case attempt_end::NotSent:
      --shard.mSends;
      --mSends;
      mExtra -= aAttempt.mExtra ? 1 : 0;
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
query_run::OnAnswer(part& aPart, leaf_attempt& aAttempt, http_message aAnswer)
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
  static_cast<void>(aAttempt);
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

void
query_run::Evaluate(model::instant aNow)
{
  const serving::answer_progress progress{
    mAnswered, mParts.size() - mAnswered - mLostParts
  };
  switch (serving::DecideAnswer(mTerms, progress, aNow)) {
    case serving::answer_decision::Wait:
      SetWake(aNow);
      return;
    case serving::answer_decision::Answer:
      Answer(aNow);
      return;
    case serving::answer_decision::GiveUp:
      GiveUp(aNow);
      return;
  }
}

void
query_run::SetWake(model::instant aNow)
{
  model::instant wake = mTerms.mDeadline;
  if (aNow < mTerms.mAnswerBy) {
    wake = std::min(wake, mTerms.mAnswerBy);
  }
  for (const part& shard : mParts) {
    if (!shard.mAnswered && !shard.mLost) {
      wake = std::min(wake, shard.mHedgeAt);
    }
  }
  if (wake == mWake) {
    return;
  }
  mWake = wake;
  mTimer.Start(wake - aNow);
}

void
query_run::Answer(model::instant aNow)
{
  http_response response;
  if (!mPlan.mRoute->IsFanOut()) {
    response = ForwardedAnswer(mParts.front().mAnswer);
    Finish(&response, "answered", aNow);
    return;
  }
  std::string signatures;
  std::vector<std::string_view> bodies;
  for (const part& shard : mParts) {
    if (!shard.mAnswered) {
      continue;
    }
    signatures.append(signatures.empty() ? "" : ", ");
    signatures.append(*shard.mAnswer.Find(mContext.mNames.mSignature));
    bodies.push_back(shard.mAnswer.mBody);
  }
  response.mFields = {
    { mContext.mNames.mRequestId, mPlan.mRequestId },
    { mContext.mNames.mPartSignatures, std::move(signatures) },
    { mContext.mNames.mMissingParts, std::to_string(mParts.size() - mAnswered) }
  };
  response.mBody = serving::MergeRecords(bodies, mPlan.mRoute->mTopRecords);
  Finish(&response, mAnswered == mParts.size() ? "complete" : "partial", aNow);
}

void
query_run::GiveUp(model::instant aNow)
{
  bool sent = mMayHaveRun;
  for (const part& shard : mParts) {
    sent = sent || shard.mAnswered;
    for (const leaf_attempt_ptr& attempt : shard.mAttempts) {
      sent = sent || attempt->mSent.has_value();
    }
  }
  http_response response;
  const char* outcome = "failed";
  if (!sent) {
    outcome = "not_run";
    response.mStatus = 503;
    response.mFields.push_back(
      { "Retry-After", SecondsText(mContext.mSettings.mRetryAfter) });
  } else if (!mPlan.mRoute->IsFanOut() && mFailure.mStatus != 0) {
    response = ForwardedAnswer(mFailure);
  } else {
    response.mStatus = aNow >= mTerms.mDeadline ? 504 : 502;
  }
  Finish(&response, outcome, aNow);
}

void
query_run::Finish(const http_response* aResponse,
                  const char* aOutcome,
                  model::instant aNow)
{
  if (mDone) {
    return;
  }
  mDone = true;
  mTimer.Stop();
  for (part& shard : mParts) {
    for (const leaf_attempt_ptr& attempt : shard.mAttempts) {
      attempt->Abandon(aNow);
    }
    shard.mAttempts.clear();
  }
  const auto took = aNow - mExchange->Received();
  mContext.mLog.Write(
    ops::log_level::Info,
    "request",
    { { "request", mPlan.mRequestId },
      { "route", mPlan.mRoute->mName },
      { "config", static_cast<long>(mPlan.mConfig->Version()) },
      { "outcome", std::string(aOutcome) },
      { "status",
        static_cast<long>(aResponse == nullptr ? 0 : aResponse->mStatus) },
      { "ms", static_cast<double>(took.count()) / 1000.0 },
      { "answered", static_cast<long>(mAnswered) },
      { "total", static_cast<long>(mParts.size()) },
      { "sends", static_cast<long>(mSends) },
      { "hedges", static_cast<long>(mHedges) },
      { "omitted", static_cast<long>(mOmitted) },
      { "missing", MissingText() },
      { "reason", std::string(mLastReason) } });
  mContext.mMetrics.Count("requests",
                          { { "route", mPlan.mRoute->mName },
                            { "outcome", aOutcome },
                            { "reason", mLastReason } });
  ops::query_figures figures;
  figures.mLatency = took;
  figures.mCoverage =
    static_cast<double>(mAnswered) / static_cast<double>(mParts.size());
  figures.mAttempts = mSends;
  figures.mLeastAttempts = static_cast<int>(mParts.size());
  figures.mStatus = aOutcome;
  mContext.mMetrics.RecordQuery({ model::service_id(mPlan.mServices.front()),
                                  model::kind_id(mPlan.mRoute->mName),
                                  model::tenant_id(mPlan.mRoute->mHost) },
                                figures);
  if (aResponse != nullptr) {
    mExchange->Respond(*aResponse);
  } else {
    mExchange->OnLeft(nullptr);
  }
  // The run may be on the stack, held by nothing else.
  mContext.mLoop.Defer([self = std::move(mSelf)] {});
}

std::string
query_run::MissingText() const
{
  std::string text;
  if (mAnswered == mParts.size()) {
    return text;
  }
  for (std::size_t place = 0; place < mParts.size(); ++place) {
    if (mParts[place].mAnswered) {
      continue;
    }
    text.append(text.empty() ? "" : " ").append(mPlan.mServices[place]);
    if (mParts[place].mOmitted) {
      text.append("~").append(
        std::to_string(
          std::min<long>(mParts[place].mExpected.count() / 1'000, 99'999)) +
        "ms");
    }
    for (const std::string& leaf : mParts[place].mTried) {
      text.append(":").append(leaf);
    }
  }
  return text;
}

} // namespace monsooncroft::gateway
