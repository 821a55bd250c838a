/**
 * @file owner_service_base.h
 * The owner's part of a query: asks the leaves for some shards.
 */
#ifndef MONSOONCROFT_ENTRY_OWNER_SERVICE_BASE_H
#define MONSOONCROFT_ENTRY_OWNER_SERVICE_BASE_H

#include "entry/relay_type.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace monsooncroft::net {
class http_connector;
}

namespace monsooncroft::ops {
class metrics;
}

namespace monsooncroft::entry {

class fanout_driver;
class manifest_table;

/** Runs groups of shards over leaves. Thread safe; lock rank Tables. */
class owner_service
{
public:
  using callback = std::function<void(const relay_reply&)>;

  /**
   * @param aTimers Gives wake-ups.
   * @param aManifests The manifests.
   * @param aLeaves The leaves.
   * @param aMetrics Gets the counts of attempts.
   * All outlive this.
   */
  owner_service(net::http_connector& aTimers,
                manifest_table& aManifests,
                leaf_table& aLeaves,
                ops::metrics& aMetrics,
                const model::instance_id& aSelf);

  /** Runs the shards; @p aDone is called once, before the time runs out. */
  void Run(const relay_request& aRequest, callback aDone);

  /** As Run, but waits. Never call it on an I/O thread. */
  relay_reply RunAndWait(const relay_request& aRequest);

  /** What this instance knows of a service's index versions. */
  std::vector<held_row> Held(const model::service_id& aService) const;

  /** Cancels the runs in which all of the root's attempts are named. */
  void Cancel(const std::vector<model::attempt_id>& aAttempts);

private:
  using driver_ptr = std::shared_ptr<fanout_driver>;

  policy::fanout_plan PlanOf(const relay_request& aRequest,
                             const model::service& aService,
                             const model::contract& aContract);
  static relay_reply Refused(const relay_request& aRequest,
                             const char* aReason);
  relay_reply ReplyOf(const relay_request& aRequest,
                      const fanout_driver& aDriver) const;
  /** A run and the root's attempts that still want it. */
  struct running
  {
    driver_ptr mDriver;
    std::set<model::attempt_id> mWanted;
  };

  void Remember(const relay_request& aRequest, const driver_ptr& aDriver);
  void Forget(const relay_request& aRequest);

  net::http_connector& mTimers;
  manifest_table& mManifests;
  leaf_table& mLeaves;
  ops::metrics& mMetrics;
  std::string mPrefix; ///< Of attempt ids; unique to this process.
  std::atomic<unsigned long> mNumber{ 0 }; ///< Runs so far.
  ranked_mutex mMutex{ lock_rank::Tables };
  std::unordered_map<model::attempt_id, std::shared_ptr<running>>
    mRunning; ///< By each of the root's attempts.
};

} // namespace monsooncroft::entry

#endif
