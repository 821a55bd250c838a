/**
 * @file leaf_control.cpp
 * The faults and the life of a leaf.
 */
#include "standin/event_loop.h"
#include "standin/leaf_attempt.h"
#include "standin/leaf_server.h"

#include <algorithm>

namespace monsooncroft::standin {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

model::duration
Milliseconds(const json& aBody, const char* aName, model::duration aDefault)
{
  if (!aBody.contains(aName)) {
    return aDefault;
  }
  return milliseconds(aBody[aName].get<std::int64_t>());
}

} // namespace

void
leaf_server::Control(const json& aBody)
{
  ControlFaults(aBody);
  ControlLife(aBody);
  if (aBody.contains("versions")) {
    for (const auto& [shard, held] : aBody["versions"].items()) {
      std::vector<std::uint64_t> versions = held;
      std::ranges::sort(versions);
      mConfig.mShards[shard] = std::move(versions);
    }
  }
}

void
leaf_server::ControlFaults(const json& aBody)
{
  leaf_fault& fault = mFault;
  fault.mSlowFactor = aBody.value("slow_factor", fault.mSlowFactor);
  fault.mShed = aBody.value("shed", fault.mShed);
  fault.mDraining = aBody.value("draining", fault.mDraining);
  fault.mHang = aBody.value("hang", fault.mHang);
  fault.mLie = aBody.value("lie", fault.mLie);
  fault.mCrashOnBody = aBody.value("crash_on_body", fault.mCrashOnBody);
  fault.mRestart = Milliseconds(aBody, "restart_ms", fault.mRestart);
  fault.mDropReplies = aBody.value("drop_reply", fault.mDropReplies);
  fault.mWrongIds = aBody.value("wrong_ids", fault.mWrongIds);
  fault.mDuplicateReplies =
    aBody.value("duplicate_reply", fault.mDuplicateReplies);
  fault.mFail = aBody.value("fail", fault.mFail);
  fault.mLateReply = Milliseconds(aBody, "late_reply_ms", fault.mLateReply);
}

void
leaf_server::ControlLife(const json& aBody)
{
  if (aBody.contains("leaving")) {
    if (aBody["leaving"].get<bool>()) {
      mListener->StopListening();
    } else {
      mListener->Open();
    }
  }
  if (aBody.value("silent_connections", false)) {
    mListener->SilenceAll();
  }
  if (aBody.value("down", false)) {
    GoDown();
  }
  if (aBody.value("up", false)) {
    ComeUp(Milliseconds(aBody, "cold_start_ms", model::duration::zero()));
  }
}

json
leaf_server::Stats() const
{
  const listener_counters connections = mListener->Counters();
  const auto busy = std::chrono::duration<double, std::milli>(mCounters.mBusy);
  return {
    { "name", mConfig.mName },
    { "boot_id", mBootId },
    { "attempts", mCounters.mAttempts },
    { "executed", mCounters.mExecuted },
    { "refused", mCounters.mRefused },
    { "expired", mCounters.mExpired },
    { "not_held", mCounters.mNotHeld },
    { "cancelled", mCounters.mCancelledQueued + mCounters.mCancelledRunning },
    { "cancelled_queued", mCounters.mCancelledQueued },
    { "cancelled_running", mCounters.mCancelledRunning },
    { "crashes", mCounters.mCrashes },
    { "busy_ms", busy.count() },
    { "running", mRunning },
    { "queued", mWaiting.size() },
    { "connections", connections.mOpen },
    { "max_connections", connections.mMaxOpen },
    { "new_connections", connections.mAccepted },
    { "connection_refusals", connections.mRefused },
  };
}

void
leaf_server::Crash()
{
  ++mCounters.mCrashes;
  GoDown();
  const std::uint64_t boot = mBoots;
  mQueue->After(mFault.mRestart, [this, boot] {
    // A boot on demand in the meantime stands.
    if (boot == mBoots) {
      ComeUp(model::duration::zero());
    }
  });
}

void
leaf_server::GoDown()
{
  ++mBoots;
  mListener->StopListening();
  mListener->ResetAll();
  for (const auto& [id, attempt] : mAttempts) {
    attempt->mState = attempt_state::Ended;
  }
  mAttempts.clear();
  mWaiting.clear();
  mRunning = 0;
}

void
leaf_server::ComeUp(model::duration aColdStart)
{
  ++mBoots;
  mBootId = mConfig.mName + "-" + std::to_string(mBoots) + "-" +
            std::to_string(mRandom());
  mColdUntil = Now() + aColdStart;
  mListener->Open();
}

} // namespace monsooncroft::standin
