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
  std::size_t mMost = 1;  ///< At one time.
  bool mKeptOpen = false; ///< One stands also without work.

  bool operator==(const link_share&) const = default;
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
std::vector<link_share>
SplitLinks(const std::string& aSelf,
           const std::vector<leaf_limit>& aReplicas,
           const fleet_size& aInstances);

} // namespace monsooncroft::serving

#endif
