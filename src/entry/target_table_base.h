/**
 * @file target_table_base.h
 * Latencies of owners for each service, shared by all queries of a root.
 */
#ifndef MONSOONCROFT_ENTRY_TARGET_TABLE_BASE_H
#define MONSOONCROFT_ENTRY_TARGET_TABLE_BASE_H

#include "entry/ranked_mutex_base.h"
#include "policy/target_latency_base.h"

#include <map>

namespace monsooncroft::entry {

/** Thread safe; lock rank Innermost. */
class target_table
{
public:
  void Add(const model::service_id& aService,
           const policy::target_id& aTarget,
           model::duration aLatency)
  {
    const std::lock_guard lock(mMutex);
    mServices[aService].Add(aTarget, aLatency);
  }

  /** See policy::target_latency::Order. */
  std::vector<policy::target_id> Order(const model::service_id& aService,
                                       std::vector<policy::target_id> aTargets,
                                       std::uint64_t aTurn,
                                       bool aProbe)
  {
    const std::lock_guard lock(mMutex);
    return mServices[aService].Order(std::move(aTargets), aTurn, aProbe);
  }

private:
  ranked_mutex mMutex{ lock_rank::Innermost };
  std::map<model::service_id, policy::target_latency> mServices;
};

} // namespace monsooncroft::entry

#endif
