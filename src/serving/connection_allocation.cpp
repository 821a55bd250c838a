/**
 * @file connection_allocation.cpp
 * Allocates an instance's connections to the replicas of a service.
 */
#include "serving/connection_allocation_func.h"

#include "cluster/rendezvous_func.h"
#include "policy/connection_share_func.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace monsooncroft::serving {

namespace {

/** Maximum connections of one instance to one leaf, per slot of the leaf: more
 * would only queue at the leaf, where urgent requests cannot overtake. */
constexpr int kMaxConnectionsPerSlot = 1;
/** Fraction of a replica's connection limit that is planned for kept
 * connections: the rest covers uneven allocation, instances whose own replica
 * has failed, and those that are being replaced. */
constexpr double kAllocatedFraction = 0.9;

} // namespace

std::vector<replica_connections>
AllocateConnections(const std::string& aSelf,
                    const std::vector<replica_limits>& aReplicas,
                    const fleet_size& aInstances)
{
  std::vector<replica_connections> allocation;
  const int instances =
    static_cast<int>(std::max<std::size_t>(1, aInstances.mTotal));
  double totalLimit = 0;
  double ownDataCentreLimit = 0;
  bool shareForAll = true;
  for (const replica_limits& replica : aReplicas) {
    const int share =
      policy::ComputeConnectionShare(replica.mMaxConnections, instances)
        .mSteady;
    shareForAll = shareForAll && share > 0;
    totalLimit += replica.mMaxConnections;
    ownDataCentreLimit +=
      replica.mInOtherDataCentre ? 0 : replica.mMaxConnections;
    allocation.push_back(
      { static_cast<std::size_t>(std::clamp(
          share, 1, std::max(1, kMaxConnectionsPerSlot * replica.mSlots))),
        true });
  }
  if (shareForAll) {
    return allocation;
  }
  // The replicas of the own data centre are preferred only if they can hold a
  // kept connection of each of its instances.
  const bool preferOwnDataCentre =
    kAllocatedFraction * ownDataCentreLimit >=
    static_cast<double>(aInstances.mInOwnDataCentre);
  const std::uint64_t self = cluster::HashOf(aSelf);
  std::vector<std::size_t> order(aReplicas.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const auto key = [&](std::size_t aIndex) {
        return std::make_pair(
          preferOwnDataCentre && !aReplicas[aIndex].mInOtherDataCentre,
          cluster::RendezvousWeight(cluster::HashOf(aReplicas[aIndex].mLeafId),
                                    self));
      };
      return key(aLeft) > key(aRight);
    });
  // With less than one kept connection per instance, none is kept: connections
  // move to the instances that have requests.
  const bool keepOne = kAllocatedFraction * totalLimit >= instances;
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    allocation[order[rank]] = { 1, keepOne && rank == 0 };
  }
  return allocation;
}

} // namespace monsooncroft::serving
