/**
 * @file fanout_driver.cpp
 * Effects are carried out without the lock, so that a sender may call back at
 * once.
 */
#include "entry/fanout_driver_base.h"

#include "entry/attempt_sender_base.h"
#include "entry/clock_func.h"
#include "net/http_connector_base.h"

#include <utility>

namespace monsooncroft::entry {

fanout_driver::fanout_driver(net::http_connector& aTimers,
                             std::shared_ptr<attempt_sender> aSender,
                             std::unique_ptr<policy::fanout> aFanout)
  : mTimers(aTimers)
  , mSender(std::move(aSender))
  , mFanout(std::move(aFanout))
{
}

void
fanout_driver::Start(finished aDone)
{
  policy::fanout_effects effects;
  {
    const std::lock_guard lock(mMutex);
    mDone = std::move(aDone);
    effects = mFanout->Start(Now());
  }
  Carry(effects);
}

void
fanout_driver::Cancel()
{
  policy::fanout_effects effects;
  {
    const std::lock_guard lock(mMutex);
    effects = mFanout->OnCancel(Now());
  }
  Carry(effects);
}

void
fanout_driver::ForbidExtra()
{
  const std::lock_guard lock(mMutex);
  mFanout->ForbidExtraAttempts();
}

void
fanout_driver::OnResult(const model::attempt_result& aResult)
{
  policy::fanout_effects effects;
  {
    const std::lock_guard lock(mMutex);
    if (aResult.mReason == kReasonLeafDied) {
      mFanout->ForbidExtraAttempts();
    }
    effects = mFanout->OnResult(aResult, Now());
  }
  Carry(effects);
}

void
fanout_driver::OnTimer()
{
  policy::fanout_effects effects;
  {
    const std::lock_guard lock(mMutex);
    mScheduled.reset();
    effects = mFanout->OnTimer(Now());
  }
  Carry(effects);
}

void
fanout_driver::Carry(const policy::fanout_effects& aEffects)
{
  std::vector<policy::send_effect> sends;
  std::vector<policy::cancel_effect> cancels;
  bool over = false;
  for (const policy::fanout_effect& effect : aEffects) {
    if (const auto* send = std::get_if<policy::send_effect>(&effect)) {
      sends.push_back(*send);
    } else if (const auto* cancel =
                 std::get_if<policy::cancel_effect>(&effect)) {
      cancels.push_back(*cancel);
    } else {
      over = true;
    }
  }
  if (!cancels.empty()) {
    mSender->Cancel(cancels);
  }
  if (!sends.empty()) {
    {
      const std::lock_guard lock(mMutex);
      mSent += static_cast<int>(sends.size());
    }
    mSender->Send(
      sends, [self = shared_from_this()](const model::attempt_result& aResult) {
        self->OnResult(aResult);
      });
  }
  if (over) {
    finished done;
    {
      const std::lock_guard lock(mMutex);
      done = std::exchange(mDone, nullptr);
    }
    if (done) {
      done(*this);
    }
    return;
  }
  Schedule();
}

void
fanout_driver::Schedule()
{
  model::duration delay{ 0 };
  {
    const std::lock_guard lock(mMutex);
    const std::optional<model::instant> wake = mFanout->NextWake();
    const bool covered = mScheduled && wake && *mScheduled <= *wake;
    if (!wake || covered) {
      return;
    }
    mScheduled = wake;
    delay = std::max(*wake - Now(), model::duration(0));
  }
  mTimers.RunAfter(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnTimer();
    }
  });
}

} // namespace monsooncroft::entry
