/**
 * @file request_dispatcher_workspace.cpp
 * Keys and quotas of callers' requests.
 */
#include "gateway/request_dispatcher_base.h"

#include "gateway/bearer_key_func.h"
#include "gateway/event_loop_base.h"
#include "gateway/workspace_admission_base.h"

#include <utility>

namespace monsooncroft::gateway {

namespace {

/** Longest wait of requests with known keys after a suspension, for one read of
 * the store; an instance that is cut off from it goes on with what it knows. */
constexpr std::chrono::milliseconds kMaxUncertainty{ 250 };
constexpr const char* kNoDecision = "no decision on the quota in time";

} // namespace

const serving::workspace*
request_dispatcher::Authenticate(const exchange_ptr& aExchange,
                                 model::instant aDeadline,
                                 const progress& aProgress)
{
  const auto key = BearerKey(aExchange->Request());
  const serving::workspace* workspace =
    key ? mConfig->FindWorkspace(*key) : nullptr;
  const model::instant now = event_loop::Now();
  if (workspace != nullptr) {
    if (aProgress.mKeyWaitEnd || !mResumedAt ||
        now >= *mResumedAt + kMaxUncertainty) {
      return workspace;
    }
    mKeyWaits.Add(aExchange, *mResumedAt + kMaxUncertainty, now);
    return nullptr;
  }
  // Without a key there is nothing that a newer configuration may contain.
  if (!key || !mConfigCurrent) {
    RefuseKey(aExchange);
    return nullptr;
  }
  const auto digest = serving::workspace_keys::DigestOf(*key);
  serving::unknown_key_policy::decision decision;
  if (aProgress.mKeyWaitEnd) {
    decision.mWaitsUntil = *aProgress.mKeyWaitEnd;
  } else {
    decision =
      mUnknownKeys.Decide(digest, aDeadline - now, mKeyWaits.Size(), now);
  }
  if (decision.mWaitsUntil <= now) {
    mUnknownKeys.OnRefused(digest, now);
    RefuseKey(aExchange);
    return nullptr;
  }
  mKeyWaits.Add(aExchange, decision.mWaitsUntil, now);
  if (decision.mReads && mReadConfig && mReadConfig()) {
    mUnknownKeys.OnReadStarted(now);
  }
  return nullptr;
}

void
request_dispatcher::RefuseKey(const exchange_ptr& aExchange)
{
  if (mConfigCurrent) {
    Refuse(aExchange, { 401, "unknown key" });
  } else {
    Refuse(aExchange, { 503, "unknown key, configuration uncertain" });
  }
}

void
request_dispatcher::OnConfigConfirmed(model::instant aAt)
{
  mUnknownKeys.OnConfirmed(aAt);
  if (mResumedAt && aAt >= *mResumedAt) {
    mResumedAt.reset();
    mKeyWaits.ResumeAll();
  }
  mKeyWaits.EndAddedUntil(aAt, event_loop::Now());
}

void
request_dispatcher::OnResume(model::instant aNow)
{
  mResumedAt = aNow;
  if (mConfig && mConfig->UsesWorkspaces() && mReadConfig) {
    mReadConfig();
  }
}

/** A request for which the decision on its quota is awaited. */
struct request_dispatcher::quota_wait
{
  quota_wait(event_loop& aLoop,
             exchange_ptr aExchange,
             serving::routing_config_ptr aConfig,
             const serving::workspace& aWorkspace,
             model::instant aDeadline,
             progress aProgress)
    : mExchange(std::move(aExchange))
    , mConfig(std::move(aConfig))
    , mWorkspace(aWorkspace)
    , mDeadline(aDeadline)
    , mProgress(std::move(aProgress))
    , mTimer(aLoop, [this] { mOnDeadline(); })
  {
  }

  exchange_ptr mExchange;
  serving::routing_config_ptr mConfig; ///< Owns the workspace.
  const serving::workspace& mWorkspace;
  model::instant mDeadline; ///< The caller waits no longer.
  progress mProgress;
  /** The decision was made in the call that asked for it. */
  std::optional<bool> mAdmittedAtOnce;
  bool mIsAsking = true; ///< That call has not returned.
  bool mDone = false;    ///< The decision has no effect any more.
  std::function<void()> mOnDeadline;
  loop_timer mTimer;
};

bool
request_dispatcher::Charge(const exchange_ptr& aExchange,
                           const serving::workspace& aWorkspace,
                           model::instant aDeadline,
                           const progress& aProgress)
{
  if (mContext.mAdmission == nullptr || aWorkspace.mRatePerSecond <= 0 ||
      aProgress.mChargedTo == aWorkspace.mName) {
    return true;
  }
  const model::instant now = event_loop::Now();
  const auto wait = std::make_shared<quota_wait>(
    mContext.mLoop, aExchange, mConfig, aWorkspace, aDeadline, aProgress);
  mContext.mAdmission->Admit(
    aWorkspace, now, [this, wait](const admission_decision& aDecision) {
      OnQuotaDecision(std::shared_ptr(wait), aDecision);
    });
  wait->mIsAsking = false;
  if (wait->mAdmittedAtOnce) {
    return *wait->mAdmittedAtOnce;
  }
  // The handler keeps the wait alive until the answer.
  aExchange->OnCallerLeft([wait] {
    wait->mDone = true;
    wait->mTimer.Stop();
  });
  wait->mOnDeadline = [this, weak = std::weak_ptr(wait)] {
    const auto expired = weak.lock();
    expired->mDone = true;
    Refuse(expired->mExchange, { 503, kNoDecision, &expired->mWorkspace });
    // The timer's own function is on the stack.
    mContext.mLoop.Defer([expired] {});
  };
  wait->mTimer.Start(aDeadline - now);
  return false;
}

void
request_dispatcher::OnQuotaDecision(const std::shared_ptr<quota_wait>& aWait,
                                    const admission_decision& aDecision)
{
  if (std::exchange(aWait->mDone, true)) {
    return;
  }
  aWait->mTimer.Stop();
  const exchange_ptr exchange = aWait->mExchange;
  if (aWait->mIsAsking) {
    aWait->mAdmittedAtOnce = aDecision.mAdmitted;
  }
  if (!aDecision.mAdmitted) {
    Refuse(exchange,
           { 429, "over quota", &aWait->mWorkspace, aDecision.mRetryAfter });
  } else if (!aWait->mIsAsking) {
    exchange->OnCallerLeft(nullptr);
    if (event_loop::Now() >= aWait->mDeadline) {
      return Refuse(exchange, { 503, kNoDecision, &aWait->mWorkspace });
    }
    progress charged = aWait->mProgress;
    charged.mChargedTo = aWait->mWorkspace.mName;
    // Not with the configuration of before, which may have changed.
    Dispatch(exchange, charged);
  }
}

} // namespace monsooncroft::gateway
