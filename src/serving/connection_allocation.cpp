/**
 * @file connection_allocation.cpp
 * An instance's connections to the replicas of a service.
 */
#include "serving/connection_allocation_func.h"

#include "cluster/rendezvous_func.h"
#include "policy/connection_share_func.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace monsooncroft::serving {

namespace {

/** Connections of one instance to one leaf at most, for each of its slots:
 * more would only queue at the leaf, where urgent work cannot overtake. */
constexpr int kMostLinksPerSlot = 1;
/** Used of a replica's limit where instances are dealt out: the rest is for
 * uneven dealing, instances in need and those that are being replaced. */
constexpr double kDealt = 0.9;

} // namespace

std::vector<replica_connections>
AllocateConnections(const std::string& aSelf,
                    const std::vector<replica_limits>& aReplicas,
                    const fleet_size& aInstances)
{
  std::vector<replica_connections> shares;
  const int instances =
    static_cast<int>(std::max<std::size_t>(1, aInstances.mTotal));
  double all = 0;
  double near = 0;
  bool enough = true;
  for (const replica_limits& replica : aReplicas) {
    const int share =
      policy::ComputeConnectionShare(replica.mMaxConnections, instances)
        .mSteady;
    enough = enough && share > 0;
    all += replica.mMaxConnections;
    near += replica.mInOtherDataCentre ? 0 : replica.mMaxConnections;
    shares.push_back(
      { static_cast<std::size_t>(std::clamp(
          share, 1, std::max(1, kMostLinksPerSlot * replica.mSlots))),
        true });
  }
  if (enough) {
    return shares;
  }
  // A data centre with few replicas for its instances cannot prefer them.
  const bool nearFirst =
    kDealt * near >= static_cast<double>(aInstances.mInOwnDataCentre);
  const std::uint64_t self = cluster::HashOf(aSelf);
  std::vector<std::size_t> order(aReplicas.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const auto key = [&](std::size_t aPlace) {
        return std::make_pair(
          nearFirst && !aReplicas[aPlace].mInOtherDataCentre,
          cluster::RendezvousWeight(cluster::HashOf(aReplicas[aPlace].mLeafId),
                                    self));
      };
      return key(aLeft) > key(aRight);
    });
  // Too few for one each: connections change hands as there is work.
  const bool kept = kDealt * all >= instances;
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    shares[order[rank]] = { 1, kept && rank == 0 };
  }
  return shares;
}

} // namespace monsooncroft::serving
