/**
 * @file connection_allocation_func.h
 * An instance's connections to the replicas of a service.
 */
#ifndef MONSOONCROFT_SERVING_CONNECTION_ALLOCATION_FUNC_H
#define MONSOONCROFT_SERVING_CONNECTION_ALLOCATION_FUNC_H

#include "serving/fleet_size_type.h"

#include <cstddef>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** What limits the connections to one replica. */
struct replica_limits
{
  std::string mLeafId;     ///< Its id.
  int mMaxConnections = 1; ///< That it accepts from all instances.
  int mSlots = 1;          ///< Requests that it runs at one time.
  bool mInOtherDataCentre =
    false; ///< In another data centre than the instance.
};

/** An instance's connections to one replica. */
struct replica_connections
{
  std::size_t mMaxConnections = 1; ///< At one time.
  bool mKeepOpen = false;          ///< One stands also without work.

  bool operator==(const replica_connections&) const = default;
};

/**
 * Answers the load of more instances than a leaf accepts connections: where
 * each instance has a share of each replica, it takes that, up to a connection
 * a slot, and keeps one open. Where not, it may open one to each replica while
 * it has work there, and keeps only one of them open, by rendezvous among the
 * replicas of its own data centre: each replica then has about as many kept
 * connections as any other, and room for those whose own replica fails. Where
 * a kept one each is more than the replicas accept, none is kept.
 * @param aSelf This instance's name.
 * @param aReplicas Replicas of one service.
 * @param aInstances That hold connections.
 * @return One for each replica.
 */
std::vector<replica_connections>
AllocateConnections(const std::string& aSelf,
                    const std::vector<replica_limits>& aReplicas,
                    const fleet_size& aInstances);

} // namespace monsooncroft::serving

#endif
