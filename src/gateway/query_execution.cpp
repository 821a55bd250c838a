/**
 * @file query_execution.cpp
 * Execution of one request on leaves.
 */
#include "gateway/query_execution_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/header_names_type.h"
#include "gateway/leaf_table_base.h"
#include "gateway/permit_client_base.h"
#include "gateway/query_settings_type.h"
#include "gateway/relay_fields_type.h"
#include "gateway/request_head_func.h"
#include "model/time_func.h"
#include "serving/hedge_rule_func.h"
#include "serving/shard_omission_func.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace monsooncroft::gateway {

namespace {

/** Time before a hedge at which a root asks for the attempts that it needs: a
 * round trip between data centres. */
constexpr std::chrono::milliseconds kGrantTime{ 4 };

} // namespace

query_execution::query_execution(const query_context& aContext,
                                 exchange_ptr aExchange,
                                 query_plan aPlan)
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
    PartialAnswerAt(mContext.mSettings, *mExchange, mPlan);
  mRequirements.mDeadline = mPlan.mDeadline;
  mMaxAttempts = route.mMaxAttempts;
  if (mPlan.mGrant) {
    mMaxAttempts = std::clamp(mPlan.mGrant->mAttempts, 1, mMaxAttempts);
    mReservedAttempts =
      std::min(mPlan.mGrant->mReserved, route.mMaxAttempts - mMaxAttempts);
  }
}

model::instant
query_execution::PartialAnswerAt(const query_settings& aSettings,
                                 const exchange& aExchange,
                                 const query_plan& aPlan)
{
  const model::duration answerTime = aPlan.mLatency->AnswerTime();
  if (aPlan.mAnswerWithin) {
    return aExchange.ReceivedAt() + std::max(*aPlan.mAnswerWithin - answerTime,
                                             *aPlan.mAnswerWithin / 2);
  }
  return aExchange.ReceivedAt() +
         serving::PartialAnswerDelay(aPlan.mRoute->mTargetLatency,
                                     aExchange.CallerNetworkTime(),
                                     answerTime,
                                     aSettings.mAnswerTiming);
}

void
query_execution::Start()
{
  const model::instant now = event_loop::Now();
  mLeafRequest = MakeLeafRequest(mExchange->Request(),
                                 mContext.mHeaderNames,
                                 mPlan.mRequestId,
                                 { mPlan.mRoute->mRepeatability,
                                   request_receiver::Leaf,
                                   mPlan.mConfig->UsesWorkspaces(),
                                   mPlan.WorkspaceName() });
  const auto self = shared_from_this();
  // Weak: attempts own the execution, the caller's connection does not.
  mExchange->OnCallerLeft([weak = weak_from_this()] {
    if (const auto run = weak.lock()) {
      run->Finish(nullptr, "caller_left", event_loop::Now());
    }
  });
  mExchange->OnStop([weak = weak_from_this()](stop_answers aWhich) {
    if (const auto run = weak.lock()) {
      run->OnStop(aWhich, event_loop::Now());
    }
  });
  if (mReservedAttempts > 0) {
    mExchange->OnSupplement(
      [weak = weak_from_this()](const http_message& aMessage) {
        if (const auto run = weak.lock()) {
          run->OnGrant(aMessage, event_loop::Now());
        }
      });
  }
  if (mPlan.IsResent()) {
    mMayHaveRun = true;
    TakeResendBudget(now);
  } else {
    for (const std::string& service : mPlan.mServices) {
      mContext.mRetryBudget.OnRequest(service, now);
    }
  }
  if (mShards.size() - OmitLateShards(now) < mRequirements.mRequiredShards) {
    mLastReason = "too few shards in reach";
    GiveUp(now);
    return;
  }
  mSelf = self;
  HoldForPermits(now);
  for (std::size_t index = 0; index < mShards.size() && !mDone; ++index) {
    if (!mShards[index].mFailed && !mShards[index].mHeld) {
      StartAttempt(index, now);
    }
  }
  if (!mDone) {
    Evaluate(now);
  }
}

void
query_execution::TakeResendBudget(model::instant aNow)
{
  for (std::size_t index = 0; index < mShards.size(); ++index) {
    if (!TakeBudget(index, serving::retry_budget::purpose::Retry, aNow)) {
      mShards[index].mFailed = true;
      ++mFailedShards;
    }
  }
}

std::size_t
query_execution::OmitLateShards(model::instant aNow)
{
  std::size_t unreachable = 0;
  std::vector<model::duration> expected;
  expected.reserve(mShards.size());
  for (std::size_t index = 0; index < mShards.size(); ++index) {
    if (mShards[index].mFailed) {
      ++unreachable;
      expected.emplace_back(0);
      continue;
    }
    const leaf_endpoint* leaf = ChooseLeaf(index, false, aNow);
    unreachable +=
      leaf == nullptr || leaf->Load().IsKnownUnreachable(aNow) ? 1 : 0;
    expected.push_back(leaf == nullptr ? model::duration::max()
                                       : leaf->Load().ExpectedLatency(
                                           mPlan.mLatency->Mean(), aNow));
  }
  const std::size_t spare =
    mRequirements.mTotalShards - mRequirements.mRequiredShards;
  const auto omitted =
    serving::ChooseOmittedShards(expected,
                                 mRequirements.mPartialAnswerAt - aNow,
                                 spare - std::min(spare, mFailedShards));
  for (const std::size_t index : omitted) {
    mShards[index].mOmitted = true;
    mShards[index].mExpectedLatency = expected[index];
    mShards[index].mFailed = true;
    ++mFailedShards;
    ++mOmittedShards;
  }
  return unreachable;
}

bool
query_execution::RestoreOmittedShard(model::instant aNow)
{
  for (std::size_t index = 0; index < mShards.size(); ++index) {
    shard_state& shard = mShards[index];
    if (shard.mOmitted) {
      shard.mOmitted = false;
      shard.mFailed = false;
      --mFailedShards;
      --mOmittedShards;
      StartAttempt(index, aNow);
      return true;
    }
  }
  return false;
}

void
query_execution::FailShard(std::size_t aShardIndex, model::instant aNow)
{
  if (mShards[aShardIndex].mFailed) {
    return;
  }
  mShards[aShardIndex].mFailed = true;
  ++mFailedShards;
  // The failure makes an omitted shard necessary.
  if (mShards.size() - mFailedShards < mRequirements.mRequiredShards) {
    RestoreOmittedShard(aNow);
  }
}

leaf_endpoint*
query_execution::ChooseLeaf(std::size_t aShardIndex,
                            bool aUntriedOnly,
                            model::instant aNow)
{
  const shard_state& shard = mShards[aShardIndex];
  const auto& leaves = mContext.mLeaves.LeavesOf(mPlan.mServices[aShardIndex]);
  std::vector<const serving::leaf_health*> candidates(leaves.size(), nullptr);
  const auto addCandidates = [&](auto aFilter) {
    bool any = false;
    for (std::size_t index = 0; index < leaves.size(); ++index) {
      const leaf_endpoint& leaf = *leaves[index];
      if (leaf.AcceptsRequest(TargetLatencyMs(), aNow) && aFilter(leaf)) {
        candidates[index] = &leaf.Load();
        any = any || !leaf.Load().InConnectBackoff(aNow);
      }
    }
    return any;
  };
  const auto untried = [&](const leaf_endpoint& aLeaf) {
    return std::find(shard.mTriedLeaves.begin(),
                     shard.mTriedLeaves.end(),
                     aLeaf.Entry().mId) == shard.mTriedLeaves.end();
  };
  if (!addCandidates(untried) && !aUntriedOnly) {
    addCandidates([](const leaf_endpoint&) { return true; });
  }
  const std::size_t tieBreaker =
    static_cast<std::size_t>(aNow.time_since_epoch().count()) + aShardIndex;
  const auto best = serving::ChooseReplica(
    candidates, mPlan.mLatency->Mean(), tieBreaker, aNow);
  return best ? leaves[*best].get() : nullptr;
}

bool
query_execution::StartAttempt(std::size_t aShardIndex, model::instant aNow)
{
  leaf_endpoint* leaf = ChooseLeaf(aShardIndex, false, aNow);
  if (mShards[aShardIndex].mAttemptCount >= mMaxAttempts ||
      (leaf == nullptr && IsUnavailable(aShardIndex, aNow))) {
    FailShard(aShardIndex, aNow);
    return false;
  }
  if (leaf == nullptr || leaf->Load().InConnectBackoff(aNow)) {
    mShards[aShardIndex].mHedgeAt = aNow + mContext.mSettings.mLeafRetryDelay;
    return false;
  }
  SendAttempt(aShardIndex, *leaf, false, aNow);
  return true;
}

int
query_execution::TargetLatencyMs() const
{
  return static_cast<int>(mPlan.mRoute->mTargetLatency.count());
}

bool
query_execution::IsUnavailable(std::size_t aShardIndex,
                               model::instant aNow) const
{
  const int latencyMs = TargetLatencyMs();
  bool unavailable = false;
  for (const leaf_endpoint_ptr& leaf :
       mContext.mLeaves.LeavesOf(mPlan.mServices[aShardIndex])) {
    if (leaf->AcceptsRequest(latencyMs, aNow)) {
      return false;
    }
    unavailable = unavailable || (!leaf->IsLeaving() &&
                                  leaf->UnavailableUntil(latencyMs, aNow));
  }
  return unavailable;
}

model::duration
query_execution::ShardReturnDelay(std::size_t aShardIndex, model::instant aNow)
{
  const std::string& service = mPlan.mServices[aShardIndex];
  bool paused = false;
  std::optional<model::instant> earliest;
  for (const leaf_endpoint_ptr& leaf : mContext.mLeaves.LeavesOf(service)) {
    if (leaf->AcceptsRequest(TargetLatencyMs(), aNow)) {
      return model::duration(0);
    }
    const auto until = leaf->UnavailableUntil(TargetLatencyMs(), aNow);
    if (!leaf->IsLeaving() && until) {
      paused = paused || leaf->IsPaused(aNow);
      earliest = earliest ? std::min(*earliest, *until) : *until;
    }
  }
  if (!earliest) {
    return mContext.mSettings.mRetryAfter;
  }
  const auto limitDelay =
    mContext.mPermits.ReturnDelay(service, TargetLatencyMs(), aNow);
  if (!paused) {
    return limitDelay;
  }
  // Urgent requests come back first.
  const model::duration pauseDelay =
    *earliest - aNow + mPlan.mRoute->mTargetLatency;
  return limitDelay.count() == 0 ? pauseDelay
                                 : std::min(limitDelay, pauseDelay);
}

void
query_execution::HoldForPermits(model::instant aNow)
{
  std::vector<std::size_t> unlimited;
  for (std::size_t index = 0; index < mShards.size(); ++index) {
    const leaf_endpoint* leaf =
      mShards[index].mFailed ? nullptr : ChooseLeaf(index, false, aNow);
    if (leaf != nullptr && !mContext.mPermits.IsLimited(leaf->Entry().mId)) {
      unlimited.push_back(index);
    }
  }
  if (unlimited.size() >= mRequirements.mRequiredShards) {
    return;
  }
  for (const std::size_t index : unlimited) {
    mShards[index].mHeld = true;
    mShards[index].mHedgeAt = mRequirements.mDeadline;
  }
}

void
query_execution::SendHeldShards(model::instant aNow)
{
  // The decisions on the other permits follow.
  if (std::any_of(mShards.begin(), mShards.end(), [](const auto& aShard) {
        return aShard.mAwaitsPermit;
      })) {
    return;
  }
  for (std::size_t index = 0; index < mShards.size() && !mDone; ++index) {
    if (std::exchange(mShards[index].mHeld, false)) {
      StartAttempt(index, aNow);
    }
  }
}

void
query_execution::OnAttemptAdmitted(leaf_attempt& aAttempt)
{
  const model::instant now = event_loop::Now();
  shard_state& shard = mShards[aAttempt.mShardIndex];
  if (std::exchange(shard.mAwaitsPermit, false)) {
    if (const leaf_endpoint* leaf = mContext.mLeaves.Find(aAttempt.mLeafId)) {
      shard.mHedgeAt = now + HedgeDelay(*leaf, now);
    }
  }
  SendHeldShards(now);
  if (!mDone) {
    ScheduleWake(now);
  }
}

std::size_t
query_execution::RequiredPermits() const
{
  const auto secured = static_cast<std::size_t>(
    std::count_if(mShards.begin(), mShards.end(), [](const auto& aShard) {
      const bool sent = !aShard.mOutstanding.empty() && !aShard.mAwaitsPermit;
      return !aShard.mFailed && (aShard.mAnswered || aShard.mHeld || sent);
    }));
  return mRequirements.mRequiredShards -
         std::min(secured, mRequirements.mRequiredShards);
}

void
query_execution::SendAttempt(std::size_t aShardIndex,
                             leaf_endpoint& aLeaf,
                             bool aIsHedge,
                             model::instant aNow)
{
  shard_state& shard = mShards[aShardIndex];
  auto attempt = std::make_shared<leaf_attempt>();
  attempt->mRequest = mLeafRequest;
  attempt->mObserver = shared_from_this();
  attempt->mShardIndex = aShardIndex;
  attempt->mRank = mPlan.mRank;
  attempt->mAnswerBy = mRequirements.mPartialAnswerAt;
  attempt->mDeadline = mRequirements.mDeadline;
  attempt->mRouteMeanLatency = mPlan.mLatency->Mean();
  attempt->mLeafId = aLeaf.Entry().mId;
  shard.mOutstanding.push_back(attempt);
  shard.mTriedLeaves.push_back(aLeaf.Entry().mId);
  shard.mHedgeAt = aNow + HedgeDelay(aLeaf, aNow);
  ++shard.mAttemptCount;
  ++mAttemptCount;
  if (!mContext.mPermits.IsLimited(aLeaf.Entry().mId)) {
    aLeaf.Submit(std::move(attempt), aNow);
    return;
  }
  if (!aIsHedge) {
    shard.mAwaitsPermit = true;
    shard.mHedgeAt = mRequirements.mDeadline; // Until there is a permit.
  }
  mContext.mPermits.Submit(
    std::move(attempt),
    { mPlan.mConfig->GroupOf(mPlan.mServices[aShardIndex]),
      TargetLatencyMs(),
      aIsHedge });
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
  const auto maximum = model::ScaleDuration(mPlan.mRoute->mTargetLatency,
                                            settings.mMaxHedgeFraction);
  return aLeaf.Load().RoundTrip() +
         std::max<model::duration>(std::min<model::duration>(usual, maximum),
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
  const std::size_t index = aAttempt.mShardIndex;
  shard_state& shard = mShards[index];
  std::erase_if(shard.mOutstanding, [&](const leaf_attempt_ptr& aOther) {
    return aOther.get() == &aAttempt;
  });
  if (shard.mOutstanding.empty()) {
    shard.mAwaitsPermit = false;
  }
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
    Retry(index, mayHaveRun, now);
  }
  if (!mDone) {
    Evaluate(now);
  }
  if (!mDone) {
    SendHeldShards(now);
  }
}

void
query_execution::OnAnswer(shard_state& aShard, http_message aAnswer)
{
  const bool success = aAnswer.mStatus / 100 == 2;
  const bool hasSignature =
    aAnswer.Find(mContext.mHeaderNames.mSignature) != nullptr;
  if (success && hasSignature) {
    aShard.mAnswered = true;
    aShard.mAnswer = std::move(aAnswer);
    ++mAnsweredShards;
    if (aShard.mFailed) {
      --mFailedShards;
    }
    const model::instant now = event_loop::Now();
    for (const leaf_attempt_ptr& other : aShard.mOutstanding) {
      other->Abandon(now);
    }
    aShard.mOutstanding.clear();
    return;
  }
  mMayHaveRun = true;
  if (success) {
    mLastReason = "answer without signature";
    return;
  }
  mLastReason = MeansNotRun(aAnswer.mStatus)
                  ? "refused by the leaf, may have run"
                  : "the leaf failed";
  mLeafFailure = std::move(aAnswer);
}

void
query_execution::Retry(std::size_t aShardIndex,
                       bool aMayHaveRun,
                       model::instant aNow)
{
  const shard_state& shard = mShards[aShardIndex];
  const serving::route& route = *mPlan.mRoute;
  const bool runOnce = route.mRepeatability == serving::repeatability::RunOnce;
  if ((runOnce && aMayHaveRun) || aNow >= mRequirements.mDeadline) {
    FailShard(aShardIndex, aNow);
    return;
  }
  if (shard.mAttemptCount == 0) {
    StartAttempt(aShardIndex, aNow);
    return;
  }
  switch (PermitExtraAttempt(aShardIndex)) {
    case extra_attempt::Permitted:
      if (TakeBudget(
            aShardIndex, serving::retry_budget::purpose::Retry, aNow)) {
        StartAttempt(aShardIndex, aNow);
      } else {
        FailShard(aShardIndex, aNow);
      }
      return;
    case extra_attempt::AwaitsGrant:
      return;
    case extra_attempt::Denied:
      FailShard(aShardIndex, aNow);
      return;
  }
}

query_execution::extra_attempt
query_execution::PermitExtraAttempt(std::size_t aShardIndex)
{
  shard_state& shard = mShards[aShardIndex];
  if (mPlan.mSingleAttempt) {
    return extra_attempt::Denied;
  }
  if (shard.mAttemptCount < mMaxAttempts) {
    return extra_attempt::Permitted;
  }
  if (shard.mAttemptCount >= mMaxAttempts + mReservedAttempts) {
    return extra_attempt::Denied;
  }
  shard.mAwaitsGrant = true;
  shard.mHedgeAt = mRequirements.mDeadline;
  AskForAttempts();
  return extra_attempt::AwaitsGrant;
}

void
query_execution::AskForAttempts()
{
  if (!std::exchange(mAskedForAttempts, true)) {
    mExchange->SendProcessing(
      { { relay_fields::kAttempts, std::to_string(mReservedAttempts) } });
  }
}

model::instant
query_execution::WakeTime(const shard_state& aShard) const
{
  const bool asksEarly = mReservedAttempts > 0 && !mAskedForAttempts &&
                         !mPlan.mSingleAttempt && !aShard.mOutstanding.empty();
  return asksEarly ? aShard.mHedgeAt - kGrantTime : aShard.mHedgeAt;
}

void
query_execution::OnGrant(const http_message& aMessage, model::instant aNow)
{
  const std::string* id = aMessage.Find(relay_fields::kGrant);
  const std::string* attempts = aMessage.Find(relay_fields::kAttempts);
  if (mDone || id == nullptr || *id != mPlan.mRequestId ||
      attempts == nullptr) {
    return;
  }
  int granted = 0;
  std::from_chars(
    attempts->data(), attempts->data() + attempts->size(), granted);
  mMaxAttempts += std::clamp(granted, 0, mReservedAttempts);
  mReservedAttempts = 0;
  for (std::size_t index = 0; index < mShards.size() && !mDone; ++index) {
    shard_state& shard = mShards[index];
    if (!std::exchange(shard.mAwaitsGrant, false) || shard.mAnswered ||
        shard.mFailed) {
      continue;
    }
    if (shard.mOutstanding.empty()) {
      // Requests through roots may be repeated.
      Retry(index, true, aNow);
    } else {
      Hedge(index, aNow);
    }
  }
  if (!mDone) {
    Evaluate(aNow);
  }
}

bool
query_execution::TakeBudget(std::size_t aShardIndex,
                            serving::retry_budget::purpose aPurpose,
                            model::instant aNow)
{
  const bool allowed = mContext.mRetryBudget.TryAcquire(
    mPlan.mServices[aShardIndex], aPurpose, aNow);
  mDeniedAttempts += allowed ? 0 : 1;
  return allowed;
}

void
query_execution::Hedge(std::size_t aShardIndex, model::instant aNow)
{
  shard_state& shard = mShards[aShardIndex];
  shard.mHedgeAt = mRequirements.mDeadline;
  const serving::route& route = *mPlan.mRoute;
  if (route.mRepeatability == serving::repeatability::RunOnce ||
      mPlan.mSingleAttempt ||
      shard.mAttemptCount >= mMaxAttempts + mReservedAttempts) {
    return;
  }
  leaf_endpoint* leaf = ChooseLeaf(aShardIndex, true, aNow);
  const bool useful =
    leaf != nullptr && serving::HedgeIsUseful(mRequirements,
                                              leaf->Load().ExpectedLatency(
                                                mPlan.mLatency->Mean(), aNow),
                                              mPlan.mLatency->HighQuantile(),
                                              aNow);
  if (useful && PermitExtraAttempt(aShardIndex) == extra_attempt::AwaitsGrant) {
    return;
  }
  if (!useful ||
      !TakeBudget(aShardIndex, serving::retry_budget::purpose::Hedge, aNow)) {
    shard.mHedgeAt = aNow + mContext.mSettings.mLeafRetryDelay;
    return;
  }
  ++mHedgeCount;
  SendAttempt(aShardIndex, *leaf, true, aNow);
  shard.mHedgeAt = mRequirements.mDeadline;
}

void
query_execution::OnWake()
{
  const auto self = shared_from_this();
  const model::instant now = event_loop::Now();
  mWakeAt = model::instant();
  for (std::size_t index = 0; index < mShards.size() && !mDone; ++index) {
    shard_state& shard = mShards[index];
    if (shard.mAnswered || shard.mFailed || shard.mAwaitsGrant ||
        now < WakeTime(shard)) {
      continue;
    }
    if (now < shard.mHedgeAt) {
      AskForAttempts();
      continue;
    }
    if (shard.mOutstanding.empty()) {
      StartAttempt(index, now);
    } else {
      Hedge(index, now);
    }
  }
  if (!mDone) {
    Evaluate(now);
  }
}

} // namespace monsooncroft::gateway
