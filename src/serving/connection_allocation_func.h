/**
 * @file connection_allocation_func.h
 * Allocates an instance's connections to the replicas of a service.
 */
#ifndef MONSOONCROFT_SERVING_CONNECTION_ALLOCATION_FUNC_H
#define MONSOONCROFT_SERVING_CONNECTION_ALLOCATION_FUNC_H

#include "serving/fleet_size_type.h"

#include <cstddef>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** Limits on the connections to one replica. */
struct replica_limits
{
  std::string mLeafId;
  int mMaxConnections = 1; ///< Accepted from all instances together.
  int mSlots = 1;          ///< Requests that the leaf runs concurrently.
  bool mInOtherDataCentre = false; ///< In another one than the instance.
};

/** An instance's connections to one replica. */
struct replica_connections
{
  std::size_t mMaxConnections = 1; ///< Open at one time.
  bool mKeepOpen = false;          ///< One connection stays open while idle.

  bool operator==(const replica_connections&) const = default;
};

/**
 * Divides connections when there are more instances than a leaf accepts
 * connections. Where each instance has a share of each replica, it gets that
 * share, up to a connection per slot, and keeps one open. Otherwise an instance
 * may open one connection to each replica while it has requests for it, and
 * keeps only one of them open, to a replica of its own data centre chosen by
 * rendezvous hash: the kept connections are then spread evenly over the
 * replicas, with room for instances whose own replica fails. Where the replicas
 * do not accept one kept connection per instance, none is kept.
 * @param aSelf This instance's name.
 * @param aReplicas Replicas of one service.
 * @param aInstances Instances that hold connections.
 * @return Connections to each replica, in the order of aReplicas.
 */
std::vector<replica_connections>
AllocateConnections(const std::string& aSelf,
                    const std::vector<replica_limits>& aReplicas,
                    const fleet_size& aInstances);

} // namespace monsooncroft::serving

#endif
