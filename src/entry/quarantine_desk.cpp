/**
 * @file quarantine_desk.cpp
 * Evidence at leaves, marks and turns. An attempt whose connection died is
 * told to its fan-out only when the leaf's fate is known and, if the leaf
 * died, the other instances know as well.
 */
#include "entry/quarantine_desk_base.h"

#include "entry/clock_func.h"
#include "entry/manifest_table_base.h"
#include "entry/quarantine_codec_func.h"
#include "entry/relay_codec_func.h"
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"
#include "ops/log_base.h"

#include <atomic>
#include <utility>

namespace monsooncroft::entry {

namespace {

constexpr std::size_t kMaxWaitingTrials = 256;
/** A leaf that neither refuses nor answers for this long is taken as dead: a
 * wrong mark costs its request one trial, a missing one costs a leaf. */
constexpr model::duration kSettleBound{ 150000 };
constexpr model::duration kAskTimeout{ 50000 };
constexpr model::duration kAskPause{ 10000 };
/** Longest wait for the other instances to take marks over. */
constexpr model::duration kTellBound{ 100000 };

once::content_hash
ContentOf(const link::execute_request& aRequest)
{
  model::query query;
  query.mService = aRequest.mService;
  query.mKind = aRequest.mKind;
  query.mBody = aRequest.mBody;
  return once::HashContent(query);
}

} // namespace

quarantine_desk::quarantine_desk(quarantine_parts aParts,
                                 const once::quarantine_settings& aSettings)
  : mParts(std::move(aParts))
  , mQuarantine(aSettings)
  , mTrials(kMaxWaitingTrials)
{
  mParts.mLeaves.SetGuard(
    [this](const leaf_job& aJob) { return Objection(aJob); });
  mParts.mLeaves.SetLosses(
    [this](const leaf_loss& aLoss, const leaf_observer::release& aRelease) {
      OnLoss(aLoss, aRelease);
    });
  mParts.mLeaves.SetBoots(
    [this](const model::leaf_id& aLeaf, const policy::boot_id& aBoot) {
      OnBoot(aLeaf, aBoot);
    });
}

void
quarantine_desk::SetPut(put aPut)
{
  mPut = std::move(aPut);
}

once::screening_permit
quarantine_desk::Admit(const once::content_hash& aContent,
                       const model::service_id& aService) const
{
  const std::lock_guard lock(mMutex);
  return mQuarantine.Admit(aContent, aService, WallNow());
}

const char*
quarantine_desk::Objection(const leaf_job& aJob) const
{
  switch (Admit(ContentOf(aJob.mRequest), aJob.mRequest.mService)) {
    case once::screening_permit::Unrestricted:
    case once::screening_permit::FirstShardAlone:
      return nullptr;
    case once::screening_permit::Isolated:
      return aJob.mAlone ? nullptr : kReasonSuspected;
    case once::screening_permit::Refused:
      return once::kReasonQuarantined;
  }
  return once::kReasonQuarantined;
}

bool
quarantine_desk::AwaitTurn(const std::string& aKey, model::instant aDeadline)
{
  std::unique_lock lock(mMutex);
  const once::screening_id trial = ++mLastTrial;
  const once::enqueue_result entry = mTrials.Enqueue(aKey, trial, aDeadline);
  if (entry != once::enqueue_result::Wait) {
    return entry == once::enqueue_result::Proceed;
  }
  const auto turn = [&] { return mTurns.erase(trial) != 0; };
  if (mTurned.wait_until(lock, aDeadline, turn)) {
    return true;
  }
  mTrials.RemoveExpired(Now());
  return false;
}

void
quarantine_desk::LeaveTurn(const std::string& aKey)
{
  {
    const std::lock_guard lock(mMutex);
    if (const auto next = mTrials.ReleaseTurn(aKey)) {
      mTurns.insert(*next);
    }
  }
  mTurned.notify_all();
}

void
quarantine_desk::OnAnswered(const once::content_hash& aContent, bool aAlone)
{
  std::vector<once::crash_mark> cleared;
  {
    const std::lock_guard lock(mMutex);
    cleared = mQuarantine.OnAnswered(aContent, aAlone, WallNow());
  }
  Tell(cleared, [] {});
}

void
quarantine_desk::OnRumour(const cluster::gossip_update& aRumour)
{
  if (const auto mark = ReadQuarantineRumour(aRumour)) {
    const std::lock_guard lock(mMutex);
    mQuarantine.Merge(*mark, WallNow());
  }
}

std::string
quarantine_desk::OnMarks(const std::string& aBody)
{
  const auto marks = ParseMarks(aBody);
  if (!marks) {
    return "";
  }
  const std::lock_guard lock(mMutex);
  for (const once::crash_mark& mark : *marks) {
    mQuarantine.Merge(mark, WallNow());
  }
  return "{}";
}

void
quarantine_desk::Tick()
{
  const std::lock_guard lock(mMutex);
  mQuarantine.OnTimer(WallNow());
}

std::size_t
quarantine_desk::Marks() const
{
  const std::lock_guard lock(mMutex);
  return mQuarantine.MarkCount();
}

once::crash_detector&
quarantine_desk::Watch(const model::leaf_id& aLeaf)
{
  return mWatches.try_emplace(aLeaf, aLeaf).first->second;
}

void
quarantine_desk::OnLoss(const leaf_loss& aLoss,
                        const leaf_observer::release& aRelease)
{
  if (!aLoss.mConnectionDied) {
    settled out;
    {
      const std::lock_guard lock(mMutex);
      out = Settle(Watch(aLoss.mLeaf).OnConnectionRefused());
    }
    Carry(out);
    aRelease(false);
    return;
  }
  const link::execute_request& request = aLoss.mJob.mRequest;
  const model::instant now = Now();
  {
    const std::lock_guard lock(mMutex);
    const once::suspicion suspicion =
      Watch(aLoss.mLeaf)
        .OnConnectionLost(ContentOf(request), request.mService, now);
    mQuarantine.AddSuspicion(suspicion);
    mHeld.push_back({ aLoss.mLeaf, suspicion, aRelease });
  }
  Ask(aLoss.mLeaf, now);
}

void
quarantine_desk::OnBoot(const model::leaf_id& aLeaf,
                        const policy::boot_id& aBoot)
{
  settled out;
  {
    const std::lock_guard lock(mMutex);
    out = Settle(Watch(aLeaf).OnBootId(aBoot.Value()));
  }
  Carry(out);
}

void
quarantine_desk::Ask(const model::leaf_id& aLeaf, model::instant aSince)
{
  const bool asked = mParts.mLeaves.AskLife(
    aLeaf, kAskTimeout, [this, aLeaf, aSince](const link::probe_result& aEnd) {
      OnLife(aLeaf, aSince, aEnd);
    });
  if (!asked) {
    OnLife(aLeaf, model::instant(), {});
  }
}

/** @param aSince When the connection died: the reply is a later one, so that
 * the same boot id in it proves that the leaf did not die. */
void
quarantine_desk::OnLife(const model::leaf_id& aLeaf,
                        model::instant aSince,
                        const link::probe_result& aEnd)
{
  settled out;
  bool again = false;
  {
    const std::lock_guard lock(mMutex);
    if (aEnd.mState) {
      out = Settle(Watch(aLeaf).OnBootId(aEnd.mState->mBoot));
    } else if (aEnd.mConnectRefused || Now() - aSince >= kSettleBound) {
      out = Settle(Watch(aLeaf).OnConnectionRefused());
    } else {
      again = true;
    }
  }
  Carry(out);
  if (again) {
    mParts.mTimers.RunAfter(kAskPause,
                            [this, aLeaf, aSince] { Ask(aLeaf, aSince); });
  }
}

quarantine_desk::held_ends
quarantine_desk::TakeHeld(const once::suspicion& aSuspicion)
{
  held_ends out;
  for (auto it = mHeld.begin(); it != mHeld.end();) {
    if (it->mSuspicion == aSuspicion) {
      out.push_back(std::move(*it));
      it = mHeld.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

/** @pre The lock is held. */
quarantine_desk::settled
quarantine_desk::Settle(const once::settled_suspicions& aSuspicions)
{
  settled out;
  for (const once::suspicion& suspicion : aSuspicions.mConfirmed) {
    out.mMarks.push_back(mQuarantine.ConfirmSuspicion(suspicion, WallNow()));
    for (held_end& end : TakeHeld(suspicion)) {
      out.mDied.push_back(std::move(end));
    }
  }
  for (const once::suspicion& suspicion : aSuspicions.mDismissed) {
    mQuarantine.DismissSuspicion(suspicion);
    for (held_end& end : TakeHeld(suspicion)) {
      out.mAlive.push_back(std::move(end));
    }
  }
  return out;
}

void
quarantine_desk::Carry(const settled& aSettled)
{
  for (const held_end& end : aSettled.mAlive) {
    end.mRelease(false);
  }
  for (const held_end& end : aSettled.mDied) {
    mParts.mLog.Write(ops::log_level::Warning,
                      "leaf_died_in_flight",
                      { { "leaf", end.mLeaf.Value() },
                        { "service", end.mSuspicion.mService.Value() },
                        { "content", once::ToHex(end.mSuspicion.mContent) } });
  }
  Tell(aSettled.mMarks, [died = aSettled.mDied] {
    for (const held_end& end : died) {
      end.mRelease(true);
    }
  });
}

/** Tells all instances; @p aTold is called when each knows, or at the bound. */
void
quarantine_desk::Tell(const std::vector<once::crash_mark>& aMarks,
                      const std::function<void()>& aTold)
{
  if (aMarks.empty()) {
    aTold();
    return;
  }
  for (const once::crash_mark& mark : aMarks) {
    mPut(WriteQuarantineRumour(mark));
  }
  std::vector<model::endpoint> peers;
  if (const cluster::member_view_ptr view = mParts.mManifests.View()) {
    for (const auto& [dataCentre, members] : view->Lists()) {
      for (const cluster::member& member : *members) {
        if (member.mId != mParts.mSelf) {
          peers.push_back(member.mPeer);
        }
      }
    }
  }
  // One more than the peers, taken off below: they may reply at once.
  const auto open = std::make_shared<std::atomic<long>>(peers.size() + 1);
  const auto told = [open, aTold] {
    if (open->fetch_sub(1) == 1) {
      aTold();
    }
  };
  const std::string body = EmitMarks(aMarks);
  for (const model::endpoint& peer : peers) {
    mParts.mPool.Send(
      peer,
      { "POST", kMarksTarget, body },
      kTellBound,
      [told](const net::exchange_result& /*aResult*/) { told(); });
  }
  told();
}

} // namespace monsooncroft::entry
