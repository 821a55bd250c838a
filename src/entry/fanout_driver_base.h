/**
 * @file fanout_driver_base.h
 * Runs one fan-out's decisions: carries out effects, feeds events and time.
 */
#ifndef MONSOONCROFT_ENTRY_FANOUT_DRIVER_BASE_H
#define MONSOONCROFT_ENTRY_FANOUT_DRIVER_BASE_H

#include "entry/ranked_mutex_base.h"
#include "policy/fanout_base.h"

#include <functional>
#include <memory>

namespace monsooncroft::net {
class http_connector;
}

namespace monsooncroft::entry {

class attempt_sender;

/** One running fan-out. Thread safe; lock rank Fanout. */
class fanout_driver : public std::enable_shared_from_this<fanout_driver>
{
public:
  using finished = std::function<void(const fanout_driver&)>;

  /**
   * @param aTimers Gives wake-ups; outlives this.
   * @param aSender Carries the attempts; shared with their callbacks.
   * @param aFanout The decisions.
   */
  fanout_driver(net::http_connector& aTimers,
                std::shared_ptr<attempt_sender> aSender,
                std::unique_ptr<policy::fanout> aFanout);

  void Start(finished aDone); ///< Calls @p aDone once, when it is over.
  void Cancel();              ///< The answer is not wanted any more.
  void ForbidExtra();         ///< See policy::fanout::ForbidExtra.

  /** @pre It is over: nothing changes any more. */
  const policy::fanout& Fanout() const { return *mFanout; }
  int Sent() const { return mSent; } ///< Attempts sent. @pre It is over.

private:
  void OnResult(const model::attempt_result& aResult);
  void OnTimer();
  void Carry(const policy::fanout_effects& aEffects);
  void Schedule();

  net::http_connector& mTimers;
  std::shared_ptr<attempt_sender> mSender;
  ranked_mutex mMutex{ lock_rank::Fanout };
  std::unique_ptr<policy::fanout> mFanout;
  std::optional<model::instant> mScheduled; ///< The wake-up asked for.
  int mSent = 0;
  finished mDone;
};

} // namespace monsooncroft::entry

#endif
