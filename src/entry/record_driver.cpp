/**
 * @file record_driver.cpp
 * Reads and writes of one bucket, off the locks.
 */
#include "entry/record_driver_base.h"

#include "entry/clock_func.h"
#include "entry/worker_pool_base.h"
#include "net/http_connector_base.h"
#include "store/key_value_service_base.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace monsooncroft::entry {

namespace {

/** Before a write beyond this instance's share is tried again. */
constexpr model::duration kThrottlePause{ 10000 };
/** A write that waited for longer is given up: its ages were checked before,
 * and the window leaves far more than this. */
constexpr model::duration kThrottleGiveUp{ 1000000 };

once::clock_reading
Clocks()
{
  return { Now(), WallNow() };
}

once::cas_outcome
OutcomeOf(store::store_status aStatus)
{
  switch (aStatus) {
    case store::store_status::Ok:
      return once::cas_outcome::Stored;
    case store::store_status::Conflict:
      return once::cas_outcome::Conflict;
    case store::store_status::Ambiguous:
      return once::cas_outcome::Ambiguous;
    case store::store_status::NotFound:
    case store::store_status::Throttled:
    case store::store_status::Unavailable:
      return once::cas_outcome::NotApplied;
  }
  return once::cas_outcome::Ambiguous;
}

} // namespace

record_driver::record_driver(const record_parts& aParts,
                             std::string aKey,
                             const once::record_settings& aSettings,
                             const once::incarnation& aSelf)
  : mParts(aParts)
  , mKey(std::move(aKey))
  , mKeeper(aSettings, aSelf)
{
}

void
record_driver::Offer(const once::offer& aOffer, callback aDone)
{
  once::record_effects effects;
  {
    const std::lock_guard lock(mMutex);
    mWaiting[aOffer.mRequest] = std::move(aDone);
    effects = mKeeper.Offer(aOffer, Clocks());
  }
  Carry(effects);
}

void
record_driver::Release(const once::request_hash& aRequest)
{
  const std::lock_guard lock(mMutex);
  mKeeper.ReleaseDispatch(aRequest);
}

void
record_driver::Carry(const once::record_effects& aEffects)
{
  if (aEffects.mReadBucket) {
    mParts.mWorkers.Post([self = shared_from_this()] { self->Read(); });
  }
  if (aEffects.mCas) {
    PostWrite(*aEffects.mCas, Now() + kThrottleGiveUp);
  }
  if (aEffects.mWakeAt) {
    const model::duration delay =
      std::max(*aEffects.mWakeAt - Now(), model::duration(0));
    mParts.mTimers.RunAfter(delay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnTimer();
      }
    });
  }
  std::vector<std::pair<callback, once::verdict>> ended;
  {
    const std::lock_guard lock(mMutex);
    for (const once::verdict& verdict : aEffects.mVerdicts) {
      const auto found = mWaiting.find(verdict.mRequest);
      if (found != mWaiting.end()) {
        ended.emplace_back(std::move(found->second), verdict);
        mWaiting.erase(found);
      }
    }
  }
  for (const auto& [done, verdict] : ended) {
    done(verdict);
  }
}

void
record_driver::PostWrite(const once::cas_request& aCall,
                         model::instant aGiveUpAt)
{
  mParts.mWorkers.Post([self = shared_from_this(), aCall, aGiveUpAt] {
    self->Write(aCall, aGiveUpAt);
  });
}

void
record_driver::Read()
{
  const store::read_outcome outcome = mParts.mStore.Get(mKey);
  once::read_result result;
  result.mAvailable = outcome.mStatus == store::store_status::Ok ||
                      outcome.mStatus == store::store_status::NotFound;
  result.mRevision = outcome.mRevision;
  result.mValue = outcome.mValue;
  once::record_effects effects;
  {
    const std::lock_guard lock(mMutex);
    effects = mKeeper.OnRead(result, Clocks());
  }
  Carry(effects);
}

void
record_driver::Write(const once::cas_request& aCall, model::instant aGiveUpAt)
{
  const store::write_outcome outcome = mParts.mStore.CompareAndSwap(
    mKey, aCall.mExpectedRevision, aCall.mValue, {});
  const bool throttled = outcome.mStatus == store::store_status::Throttled;
  if (throttled && Now() < aGiveUpAt) {
    // Nothing was written: the same write may wait for its turn, and the
    // requests that come meanwhile share the next one.
    mParts.mTimers.RunAfter(kThrottlePause,
                            [self = shared_from_this(), aCall, aGiveUpAt] {
                              self->PostWrite(aCall, aGiveUpAt);
                            });
    return;
  }
  const once::cas_result result{ OutcomeOf(outcome.mStatus),
                                 outcome.mRevision };
  once::record_effects effects;
  {
    const std::lock_guard lock(mMutex);
    effects = mKeeper.OnCas(result, Clocks());
  }
  Carry(effects);
}

void
record_driver::OnTimer()
{
  once::record_effects effects;
  {
    const std::lock_guard lock(mMutex);
    effects = mKeeper.OnTimer(Clocks());
  }
  Carry(effects);
}

} // namespace monsooncroft::entry
