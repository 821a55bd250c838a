/**
 * @file leaf_server.cpp
 * How a leaf takes, runs and answers requests.
 */
#include "standin/leaf_server.h"
#include "standin/event_loop.h"
#include "standin/execution_log.h"
#include "standin/json_reply.h"
#include "standin/leaf_attempt.h"

#include <algorithm>
#include <cmath>

namespace monsooncroft::standin {

namespace {

using nlohmann::json;

constexpr double kColdFactor = 10; ///< Slower while starting cold.

listener_options
OptionsOf(const leaf_config& aConfig)
{
  listener_options options;
  options.mAddress = aConfig.mAddress;
  options.mConnectionLimit = aConfig.mConnectionLimit;
  options.mConnectDelay = aConfig.mConnectDelay;
  return options;
}

/** A body may ask for a service time of its own. */
const json*
AskedTime(const json& aBody)
{
  if (!aBody.is_object()) {
    return nullptr;
  }
  const auto found = aBody.find("service_ms");
  return found == aBody.end() ? nullptr : &*found;
}

} // namespace

leaf_server::leaf_server(leaf_config aConfig,
                         std::shared_ptr<serial_queue> aQueue,
                         execution_log& aLog,
                         std::uint64_t aSeed)
  : mConfig(std::move(aConfig))
  , mQueue(std::move(aQueue))
  , mLog(aLog)
  , mRandom(aSeed)
  , mListener(http_listener::Create(mQueue, OptionsOf(mConfig), *this))
{
}

leaf_server::~leaf_server() = default;

void
leaf_server::Open()
{
  ComeUp(model::duration::zero());
}

void
leaf_server::Handle(const net::http_request& aRequest, reply_callback aReply)
{
  if (mFault.mHang) {
    return;
  }
  try {
    if (aRequest.mTarget == "/v1/execute") {
      Execute(json::parse(aRequest.mBody), aReply);
    } else if (aRequest.mTarget == "/v1/cancel") {
      const json body = json::parse(aRequest.mBody);
      const bool cancelled = Cancel(body.at("attempt_id"));
      aReply(JsonReply(net::kHttpOk, { { "cancelled", cancelled } }));
    } else if (aRequest.mTarget == "/v1/state") {
      aReply(JsonReply(net::kHttpOk, State()));
    } else {
      aReply(ReasonReply(net::kHttpNotFound, "no such call"));
    }
  } catch (const json::exception& error) {
    aReply(ReasonReply(net::kHttpBadRequest, error.what()));
  }
}

void
leaf_server::Execute(const json& aBody, const reply_callback& aReply)
{
  auto attempt = std::make_shared<leaf_attempt>(ParseAttempt(aBody, Now()));
  attempt->mReply = aReply;
  attempt->mBoot = mBoots;
  ++mCounters.mAttempts;
  Admit(attempt);
}

void
leaf_server::Admit(const attempt_ptr& aAttempt)
{
  const bool full =
    mRunning >= mConfig.mSlots && mWaiting.size() >= mConfig.mQueueLimit;
  if (mFault.mDraining) {
    Refuse(aAttempt, "draining");
  } else if (!Holds(*aAttempt)) {
    NotHeld(aAttempt);
  } else if (full || Chance(mFault.mShed)) {
    Refuse(aAttempt, "shedding");
  } else {
    mAttempts[aAttempt->mAttempt] = aAttempt;
    mWaiting.push_back(aAttempt);
    StartNext();
  }
}

void
leaf_server::StartNext()
{
  while (mRunning < mConfig.mSlots && !mWaiting.empty()) {
    const attempt_ptr next = mWaiting.front();
    mWaiting.pop_front();
    if (Now() >= next->mExpires) {
      ++mCounters.mExpired;
      Refuse(next, "expired");
    } else if (!Holds(*next)) {
      NotHeld(next);
    } else {
      Run(next);
    }
  }
}

void
leaf_server::Run(const attempt_ptr& aAttempt)
{
  aAttempt->mState = attempt_state::Running;
  aAttempt->mStarted = Now();
  ++mRunning;
  mLog.Start(aAttempt->mRequest, aAttempt->mShard, aAttempt->mIdempotent);
  const bool crashes =
    !mFault.mCrashOnBody.empty() &&
    aAttempt->mBody.dump().find(mFault.mCrashOnBody) != std::string::npos;
  if (crashes) {
    Crash();
    return;
  }
  mQueue->After(ServiceTime(*aAttempt), [this, aAttempt] {
    const bool runs = aAttempt->mState == attempt_state::Running;
    if (runs && aAttempt->mBoot == mBoots) {
      Finish(aAttempt);
    }
  });
}

void
leaf_server::Finish(const attempt_ptr& aAttempt)
{
  --mRunning;
  ++mCounters.mExecuted;
  mCounters.mBusy += Now() - aAttempt->mStarted;
  mLog.End(aAttempt->mRequest, aAttempt->mShard, false);
  Forget(aAttempt);
  if (mFault.mFail > 0) {
    --mFault.mFail;
    json failed = Reply(*aAttempt, "error");
    failed["reason"] = "failed";
    Deliver(aAttempt, net::kHttpServerError, failed);
  } else {
    json done = Reply(*aAttempt, "ok");
    done["snapshot"] = aAttempt->mSnapshot;
    done["result"] = ResultOf(*aAttempt);
    Deliver(aAttempt, net::kHttpOk, done);
  }
  StartNext();
}

void
leaf_server::Deliver(const attempt_ptr& aAttempt,
                     int aStatus,
                     const json& aReply)
{
  json body = aReply;
  if (mFault.mWrongIds > 0) {
    --mFault.mWrongIds;
    body["request_id"] = "foreign-" + std::to_string(mRandom());
    body["attempt_id"] = "foreign-" + std::to_string(mRandom());
  }
  http_reply reply = JsonReply(aStatus, body);
  if (mFault.mDropReplies > 0) {
    --mFault.mDropReplies;
    reply.mDelivery = delivery::Close;
  } else if (mFault.mDuplicateReplies > 0) {
    --mFault.mDuplicateReplies;
    reply.mDelivery = delivery::SendTwice;
  }
  if (mFault.mLateReply <= model::duration::zero()) {
    aAttempt->mReply(reply);
    return;
  }
  mQueue->After(mFault.mLateReply,
                [aAttempt, reply] { aAttempt->mReply(reply); });
}

void
leaf_server::Refuse(const attempt_ptr& aAttempt, const char* aReason)
{
  ++mCounters.mRefused;
  Forget(aAttempt);
  json refused = Reply(*aAttempt, "refused");
  refused["reason"] = aReason;
  aAttempt->mReply(JsonReply(net::kHttpUnavailable, refused));
}

void
leaf_server::NotHeld(const attempt_ptr& aAttempt)
{
  ++mCounters.mNotHeld;
  Forget(aAttempt);
  aAttempt->mReply(JsonReply(net::kHttpOk, Reply(*aAttempt, "not_held")));
}

void
leaf_server::Forget(const attempt_ptr& aAttempt)
{
  aAttempt->mState = attempt_state::Ended;
  const auto found = mAttempts.find(aAttempt->mAttempt);
  if (found != mAttempts.end() && found->second == aAttempt) {
    mAttempts.erase(found);
  }
}

bool
leaf_server::Cancel(const std::string& aAttempt)
{
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end()) {
    return false;
  }
  const attempt_ptr attempt = found->second;
  if (attempt->mState == attempt_state::Waiting) {
    ++mCounters.mCancelledQueued;
    std::erase(mWaiting, attempt);
    Refuse(attempt, "expired");
    return true;
  }
  --mRunning;
  ++mCounters.mCancelledRunning;
  mCounters.mBusy += Now() - attempt->mStarted;
  mLog.End(attempt->mRequest, attempt->mShard, true);
  Forget(attempt);
  json ended = Reply(*attempt, "error");
  ended["reason"] = "cancelled";
  attempt->mReply(JsonReply(net::kHttpServerError, ended));
  StartNext();
  return true;
}

bool
leaf_server::Holds(const leaf_attempt& aAttempt) const
{
  const auto shard = mConfig.mShards.find(aAttempt.mShard);
  return aAttempt.mService == mConfig.mService &&
         shard != mConfig.mShards.end() &&
         std::ranges::binary_search(shard->second, aAttempt.mSnapshot);
}

json
leaf_server::Reply(const leaf_attempt& aAttempt, const char* aOutcome) const
{
  const auto shard = mConfig.mShards.find(aAttempt.mShard);
  const bool here =
    shard != mConfig.mShards.end() && aAttempt.mService == mConfig.mService;
  return { { "request_id", aAttempt.mRequest },
           { "attempt_id", aAttempt.mAttempt },
           { "shard", aAttempt.mShard },
           { "outcome", aOutcome },
           { "boot_id", mBootId },
           { "draining", mFault.mDraining && !mFault.mLie },
           { "load", Load() },
           { "held", here ? json(shard->second) : json::array() } };
}

json
leaf_server::State() const
{
  return { { "boot_id", mBootId },
           { "draining", mFault.mDraining && !mFault.mLie },
           { "load", Load() },
           { "held", mConfig.mShards } };
}

json
leaf_server::Load() const
{
  const bool lie = mFault.mLie;
  return { { "running", lie ? 0 : mRunning },
           { "queued", lie ? 0 : mWaiting.size() },
           { "slots", mConfig.mSlots } };
}

model::duration
leaf_server::ServiceTime(const leaf_attempt& aAttempt)
{
  const service_time& times = mConfig.mServiceTime;
  std::normal_distribution<double> normal(0, 1);
  double taken = times.mMedianMs * std::exp(times.mSigma * normal(mRandom));
  if (Chance(times.mTailFraction)) {
    taken *= times.mTailFactor;
  }
  if (const json* asked = AskedTime(aAttempt.mBody)) {
    taken = asked->get<double>();
  }
  taken *= mFault.mSlowFactor;
  if (Now() < mColdUntil) {
    taken *= kColdFactor;
  }
  const std::chrono::duration<double, std::milli> time(taken);
  return std::chrono::duration_cast<model::duration>(time);
}

bool
leaf_server::Chance(double aShare)
{
  std::uniform_real_distribution<double> uniform(0, 1);
  return aShare > 0 && uniform(mRandom) < aShare;
}

} // namespace monsooncroft::standin
