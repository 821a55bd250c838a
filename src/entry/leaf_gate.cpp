/**
 * @file leaf_gate.cpp
 * Admission's effects carried out on the link, without the lock.
 */
#include "entry/leaf_gate_base.h"

#include "entry/attempt_sender_base.h"
#include "entry/clock_func.h"
#include "entry/leaf_observer_base.h"
#include "net/http_connector_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::entry {

namespace {

model::attempt_result
NotSent(const leaf_job& aJob, const model::leaf_id& aLeaf, const char* aReason)
{
  model::attempt_result result;
  result.mAttempt = aJob.mRequest.mAttempt;
  result.mShard = aJob.mRequest.mShard;
  result.mLeaf = aLeaf;
  result.mOutcome = model::attempt_outcome::NotSent;
  result.mReason = aReason;
  return result;
}

} // namespace

leaf_gate::leaf_gate(net::http_connector& aConnector,
                     leaf_observer& aObserver,
                     const model::leaf& aLeaf,
                     const gate_options& aOptions)
  : mConnector(aConnector)
  , mObserver(aObserver)
  , mLeaf(aLeaf)
  , mLink(link::leaf_client::Create(aConnector, aLeaf, aOptions.mLink, Now))
  , mQueue(aLeaf.mSlots, aOptions.mAdmission)
{
}

void
leaf_gate::Submit(leaf_job aJob, callback aDone)
{
  if (aJob.mAlone) {
    SubmitAlone(aJob, aDone);
    return;
  }
  policy::admission_effects effects;
  {
    const std::lock_guard lock(mMutex);
    const policy::admission_item item = aJob.mItem;
    pending entry;
    entry.mJob = std::move(aJob);
    entry.mDone = std::move(aDone);
    mPending.emplace(item.mAttempt, std::move(entry));
    effects = mQueue.Offer(item, Now());
  }
  Carry(effects);
}

/**
 * The queue drains, so that what waits goes to another replica, and the
 * attempt is sent when what runs has ended.
 */
void
leaf_gate::SubmitAlone(const leaf_job& aJob, const callback& aDone)
{
  const model::attempt_id attempt = aJob.mRequest.mAttempt;
  const model::duration left = aJob.mItem.mDeadline - Now();
  policy::admission_effects effects;
  bool refused = false;
  {
    const std::lock_guard lock(mMutex);
    refused = mAlone.has_value() || mDraining;
    if (!refused) {
      mAlone = attempt;
      pending entry;
      entry.mJob = aJob;
      entry.mDone = aDone;
      mPending.emplace(attempt, std::move(entry));
      effects = mQueue.SetDraining(true);
    }
  }
  if (refused) {
    aDone(NotSent(aJob, mLeaf.mId, "reserved"));
    return;
  }
  Carry(effects);
  StartAlone();
  mConnector.RunAfter(std::max(left, model::duration(0)),
                      [weak = weak_from_this(), attempt] {
                        if (const auto self = weak.lock()) {
                          self->ExpireAlone(attempt);
                        }
                      });
}

void
leaf_gate::StartAlone()
{
  model::attempt_id attempt;
  {
    const std::lock_guard lock(mMutex);
    const bool busy =
      std::any_of(mPending.begin(), mPending.end(), [](const auto& aEntry) {
        return aEntry.second.mSent;
      });
    if (!mAlone || busy) {
      return;
    }
    attempt = *mAlone;
    mPending.at(attempt).mSent = true;
  }
  Dispatch(attempt);
}

void
leaf_gate::ExpireAlone(const model::attempt_id& aAttempt)
{
  pending entry;
  policy::admission_effects effects;
  {
    const std::lock_guard lock(mMutex);
    const auto found = mPending.find(aAttempt);
    if (mAlone != aAttempt || found == mPending.end() || found->second.mSent) {
      return;
    }
    entry = std::move(found->second);
    mPending.erase(found);
    effects = EndAlone();
  }
  entry.mDone(NotSent(entry.mJob, mLeaf.mId, link::kReasonExpired));
  Carry(effects);
}

/** The leaf serves everybody again. @pre The lock is held. */
policy::admission_effects
leaf_gate::EndAlone()
{
  mAlone.reset();
  return mQueue.SetDraining(mDraining);
}

void
leaf_gate::Cancel(const model::attempt_id& aAttempt)
{
  ExpireAlone(aAttempt);
  bool sent = false;
  policy::admission_effects effects;
  {
    const std::lock_guard lock(mMutex);
    const auto found = mPending.find(aAttempt);
    if (found == mPending.end()) {
      return;
    }
    sent = found->second.mSent;
    effects = mQueue.OnCancel(aAttempt);
  }
  if (sent) {
    mLink->Cancel(aAttempt);
  }
  Carry(effects);
}

void
leaf_gate::SetDraining(bool aDraining)
{
  policy::admission_effects effects;
  {
    const std::lock_guard lock(mMutex);
    mDraining = aDraining;
    if (mAlone || mQueue.Draining() == aDraining) {
      return;
    }
    effects = mQueue.SetDraining(aDraining);
  }
  Carry(effects);
}

void
leaf_gate::SetSlots(int aSlots)
{
  policy::admission_effects effects;
  {
    const std::lock_guard lock(mMutex);
    effects = mQueue.SetSlots(aSlots, Now());
  }
  Carry(effects);
}

void
leaf_gate::SetConnections(int aLimit)
{
  mLink->SetLimit(aLimit);
}

void
leaf_gate::Probe(model::duration aTimeout,
                 link::leaf_client::state_callback aDone)
{
  mLink->Probe(aTimeout, std::move(aDone));
}

void
leaf_gate::ProbeLife(model::duration aTimeout,
                     link::leaf_client::probe_callback aDone)
{
  mLink->ProbeLiveness(aTimeout, std::move(aDone));
}

void
leaf_gate::OnTimer()
{
  mLink->OnTimer();
}

model::duration
leaf_gate::EstimatedWait() const
{
  const std::lock_guard lock(mMutex);
  return mQueue.EstimatedWait();
}

void
leaf_gate::Carry(const policy::admission_effects& aEffects)
{
  for (const policy::admission_effect& effect : aEffects) {
    if (const auto* dispatch = std::get_if<policy::dispatch_effect>(&effect)) {
      Dispatch(dispatch->mAttempt);
    } else {
      Refuse(std::get<policy::refuse_effect>(effect));
    }
  }
  Schedule();
}

void
leaf_gate::Dispatch(const model::attempt_id& aAttempt)
{
  link::execute_request request;
  std::optional<model::wall_instant> sendBefore;
  model::duration timeout{ 0 };
  {
    const std::lock_guard lock(mMutex);
    pending& entry = mPending.at(aAttempt);
    entry.mSent = true;
    entry.mSentAt = Now();
    request = entry.mJob.mRequest;
    sendBefore = entry.mJob.mSendBefore;
    timeout =
      std::max(entry.mJob.mItem.mDeadline - entry.mSentAt, model::duration(0));
  }
  request.mRemaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  link::leaf_client::send_check maySend;
  if (sendBefore) {
    maySend = [before = *sendBefore] { return WallNow() < before; };
  }
  mLink->Execute(
    request,
    timeout,
    maySend,
    [self = shared_from_this(), aAttempt](const link::attempt_end& aEnd) {
      self->OnEnd(aAttempt, aEnd);
    });
}

void
leaf_gate::Refuse(const policy::refuse_effect& aEffect)
{
  pending entry;
  {
    const std::lock_guard lock(mMutex);
    const auto found = mPending.find(aEffect.mAttempt);
    if (found == mPending.end()) {
      return;
    }
    entry = std::move(found->second);
    mPending.erase(found);
  }
  entry.mDone(
    NotSent(entry.mJob, mLeaf.mId, policy::ToString(aEffect.mRefusal)));
}

void
leaf_gate::OnEnd(const model::attempt_id& aAttempt,
                 const link::attempt_end& aEnd)
{
  pending entry;
  model::duration took{ 0 };
  policy::admission_effects effects;
  {
    const std::lock_guard lock(mMutex);
    const auto found = mPending.find(aAttempt);
    if (found == mPending.end()) {
      return;
    }
    entry = std::move(found->second);
    mPending.erase(found);
    const model::instant now = Now();
    took = now - entry.mSentAt;
    effects = mAlone == aAttempt
                ? EndAlone()
                : mQueue.OnDone(aAttempt, aEnd.mResult.mOutcome, took, now);
  }
  const leaf_job job = entry.mJob;
  mObserver.OnAttemptEnd(
    mLeaf,
    job,
    aEnd,
    took,
    [done = std::move(entry.mDone), result = aEnd.mResult](bool aDied) {
      model::attempt_result told = result;
      if (aDied) {
        told.mReason = kReasonLeafDied;
      }
      done(told);
    });
  Carry(effects);
  StartAlone();
}

void
leaf_gate::OnWake()
{
  policy::admission_effects effects;
  {
    const std::lock_guard lock(mMutex);
    mScheduled.reset();
    effects = mQueue.OnTimer(Now());
  }
  Carry(effects);
}

void
leaf_gate::Schedule()
{
  model::duration delay{ 0 };
  {
    const std::lock_guard lock(mMutex);
    const std::optional<model::instant> wake = mQueue.NextWake();
    const bool covered = mScheduled && wake && *mScheduled <= *wake;
    if (!wake || covered) {
      return;
    }
    mScheduled = wake;
    delay = std::max(*wake - Now(), model::duration(0));
  }
  mConnector.RunAfter(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnWake();
    }
  });
}

} // namespace monsooncroft::entry
