/**
 * @file record_driver_base.h
 * Runs the decisions of one bucket of the record against the platform.
 */
#ifndef MONSOONCROFT_ENTRY_RECORD_DRIVER_BASE_H
#define MONSOONCROFT_ENTRY_RECORD_DRIVER_BASE_H

#include "entry/ranked_mutex_base.h"
#include "once/record_keeper_base.h"

#include <functional>
#include <map>
#include <memory>

namespace monsooncroft::net {
class http_connector;
}

namespace monsooncroft::store {
class key_value_service;
}

namespace monsooncroft::entry {

class worker_pool;

/** What every bucket uses; all outlives the drivers. */
struct record_parts
{
  store::key_value_service& mStore;
  worker_pool& mWorkers; ///< Runs the store's blocking calls.
  net::http_connector& mTimers;
};

/** One bucket. Thread safe; lock rank Record. */
class record_driver : public std::enable_shared_from_this<record_driver>
{
public:
  using callback = std::function<void(const once::verdict&)>;

  record_driver(const record_parts& aParts,
                std::string aKey,
                const once::record_settings& aSettings,
                const once::incarnation& aSelf);

  /** Asks for a verdict; @p aDone is called once. @pre No other offer of the
   * same request is open here. */
  void Offer(const once::offer& aOffer, callback aDone);

  /** See once::record_keeper::Release. */
  void Release(const once::request_hash& aRequest);

private:
  void Carry(const once::record_effects& aEffects);
  void Read();
  void PostWrite(const once::cas_request& aCall, model::instant aGiveUpAt);
  void Write(const once::cas_request& aCall, model::instant aGiveUpAt);
  void OnTimer();

  record_parts mParts;
  std::string mKey; ///< The bucket's key at the platform.
  ranked_mutex mMutex{ lock_rank::Record };
  once::record_keeper mKeeper;
  std::map<once::request_hash, callback> mWaiting;
};

} // namespace monsooncroft::entry

#endif
