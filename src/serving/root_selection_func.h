/**
 * @file root_selection_func.h
 * Choice of the instances that execute queries over many shards for others.
 */
#ifndef MONSOONCROFT_SERVING_ROOT_SELECTION_FUNC_H
#define MONSOONCROFT_SERVING_ROOT_SELECTION_FUNC_H

#include "model/time_type.h"
#include "serving/fleet_type.h"

#include <set>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** How many instances become roots. */
struct root_settings
{
  /** Fraction of the fleet's processors that the roots have together. */
  double mCapacityShare = 0.1;
  /** Of the fleet, so that the loss of one root leaves others with open
   * connections; each data centre that has leaves has one at least. */
  std::size_t mMinRoots = 3;

  bool operator==(const root_settings&) const = default;
};

/** What decides whether a fleet needs roots. */
struct fan_out_load
{
  std::size_t mInstances = 1; ///< Instances that would hold connections.
  double mMeanCapacity = 0;   ///< Processor cores of an instance; 0: unknown.
  std::size_t mShards = 0;    ///< Of the largest fan-out.
  int mMaxConnections = 0;    ///< Accepted by a leaf of a shard.
  model::duration mTargetLatency; ///< Shortest of a fan-out.
};

/**
 * Whether instances hand queries over many shards to roots. With more instances
 * than a leaf accepts connections, most queries would find no open connection:
 * each instance has few queries, and each new connection costs the leaf more
 * than a request does. On small processors, sending and reading all parts takes
 * most of the target latency.
 */
bool
NeedsRoots(const fan_out_load& aLoad);

/**
 * Chooses the roots: the instances with the most processor capacity in each
 * data centre that has leaves of shards, or of the whole fleet if there is none
 * in these. Equal ones are ordered by hash. All instances that know the same
 * members choose the same roots.
 * @param aMembers Live members, with the own instance. Those of unknown
 * capacity are not chosen.
 * @param aLeafDataCentres Data centres that have leaves of shards.
 * @return Names, sorted.
 */
std::vector<std::string>
SelectRoots(const std::vector<fleet_member>& aMembers,
            const std::set<std::string>& aLeafDataCentres,
            const root_settings& aSettings);

/** A root to which an instance may hand queries. */
struct root_address
{
  std::string mName;
  model::endpoint mEndpoint;
  double mCapacity = 0; ///< Processor cores.
  bool mInOwnDataCentre = false;

  bool operator==(const root_address&) const = default;
};

/**
 * Orders the roots for one instance: those of its data centre first, then by
 * weighted rendezvous hash, so that an instance uses few of them, whose
 * connections stay open, and each root gets queries in proportion to its
 * capacity.
 */
void
OrderRoots(std::vector<root_address>& aRoots, const std::string& aSelf);

} // namespace monsooncroft::serving

#endif
