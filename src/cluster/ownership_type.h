/**
 * @file ownership_type.h
 * Leaf groups and the instances that own them.
 */
#ifndef MONSOONCROFT_CLUSTER_OWNERSHIP_TYPE_H
#define MONSOONCROFT_CLUSTER_OWNERSHIP_TYPE_H

#include "model/identifier_type.h"

#include <vector>

namespace monsooncroft::cluster {

/** Most leaves in one group. */
constexpr std::size_t kMaxGroupLeaves = 16;

/** Leaves of one service in one data centre that have the same owners. */
struct leaf_group
{
  model::service_id mService;
  model::data_centre_id mDataCentre;
  int mIndex = 0; ///< Index among the groups of this service and data centre.
  std::vector<model::leaf_id> mLeaves; ///< Sorted by shard.
  /**
   * Highest rendezvous weight first; empty: the group has no owner and its
   * leaves are called directly.
   */
  std::vector<model::instance_id> mOwners;

  bool operator==(const leaf_group&) const = default;
};

} // namespace monsooncroft::cluster

#endif
