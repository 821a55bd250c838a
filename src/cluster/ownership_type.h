/**
 * @file ownership_type.h
 * Groups of leaves and the instances that own them.
 */
#ifndef MONSOONCROFT_CLUSTER_OWNERSHIP_TYPE_H
#define MONSOONCROFT_CLUSTER_OWNERSHIP_TYPE_H

#include "model/identifier_type.h"

#include <vector>

namespace monsooncroft::cluster {

/** Leaves in one group at most. */
constexpr std::size_t kMaxGroupLeaves = 16;

/** Some leaves of one service in one data centre, owned together. */
struct leaf_group
{
  model::service_id mService;
  model::data_centre_id mDataCentre;
  int mIndex = 0;                          ///< Place among the groups of both.
  std::vector<model::leaf_id> mLeaves;     ///< In the order of shards.
  std::vector<model::instance_id> mOwners; ///< Best first; empty: no instance
                                           ///< owns it, reach it directly.

  bool operator==(const leaf_group&) const = default;
};

} // namespace monsooncroft::cluster

#endif
