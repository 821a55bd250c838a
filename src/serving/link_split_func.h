/**
 * @file link_split_func.h
 * An instance's connections to the replicas of a service.
 */
#ifndef MONSOONCROFT_SERVING_LINK_SPLIT_FUNC_H
#define MONSOONCROFT_SERVING_LINK_SPLIT_FUNC_H

#include "serving/fleet_size_type.h"

#include <cstddef>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** What limits the connections to one replica. */
struct leaf_limit
{
  std::string mLeaf;        ///< Its id.
  int mMostConnections = 1; ///< That it accepts from all instances.
  int mSlots = 1;           ///< Requests that it runs at one time.
  bool mElsewhere = false;  ///< In another data centre than the instance.
};

/** An instance's connections to one replica. */
struct link_share
{
  std::size_t mMost = 0;  ///< 0: none but in need.
  bool mKeptOpen = false; ///< One stands also without work.

  bool operator==(const link_share&) const = default;
};

/**
 * Answers the load of more instances than a leaf accepts connections: where
 * each instance has a share of each replica, it takes that, up to a connection
 * a slot; where not, it takes as many replicas as all shares together allow,
 * those of its own data centre first and the rest by rendezvous, so that each
 * shard stays in reach of each instance and each replica has about as many
 * instances as any other. Only the first of these is kept open: a new
 * connection costs the leaf work, and where so many instances share it, most
 * would end unused.
 * @param aSelf This instance's name.
 * @param aReplicas Replicas of one service.
 * @param aInstances That hold connections.
 * @return One for each replica.
 */
std::vector<link_share>
SplitLinks(const std::string& aSelf,
           const std::vector<leaf_limit>& aReplicas,
           const fleet_size& aInstances);

} // namespace monsooncroft::serving

#endif
