/**
 * @file root_duty.cpp
 * Whether an instance hands queries over many shards to roots, or is one.
 */
#include "serving/root_duty_base.h"

#include "serving/fleet_membership_base.h"
#include "serving/routing_config_base.h"

#include <algorithm>
#include <limits>

namespace monsooncroft::serving {

namespace {

/** Time for which an instance remains a root without being chosen; longer than
 * a member takes to be found unreachable and to return. */
constexpr std::chrono::milliseconds kStepDownDelay{ 3'000 };
/** Time after its start in which an instance may not yet know how large the
 * fleet is. */
constexpr std::chrono::milliseconds kSettlingTime{ 3'000 };
/** Time after its start in which an instance knows too few members to find that
 * it is a root: after the loss of all power, every instance would be one. */
constexpr std::chrono::milliseconds kMinRootAge{ 1'000 };
/** With fewer shards, connections are opened at once after the start. */
constexpr std::size_t kManyShards = 64;
/** Fraction of the shards that a root reaches before it accepts queries, and
 * while it does. */
constexpr double kAcceptingReach = 0.95;
constexpr double kKeepingReach = 0.75;

fan_out_load
MakeLoad(const routing_config& aConfig,
         const std::vector<fleet_member>& aMembers,
         std::size_t aInstances)
{
  fan_out_load load;
  load.mInstances = aInstances;
  load.mMaxConnections = std::numeric_limits<int>::max();
  for (const std::string& shard : aConfig.ShardServices()) {
    load.mMaxConnections =
      std::min(load.mMaxConnections, aConfig.MaxConnections(shard));
  }
  load.mTargetLatency = std::chrono::hours(1);
  for (const route& each : aConfig.Routes()) {
    if (each.IsFanOut()) {
      load.mShards = std::max(load.mShards, each.mShards.size());
      load.mTargetLatency =
        std::min<model::duration>(load.mTargetLatency, each.mTargetLatency);
    }
  }
  double millicores = 0;
  for (const fleet_member& member : aMembers) {
    millicores += member.mCapacityMillicores;
  }
  load.mMeanCapacity =
    millicores / 1'000 / static_cast<double>(aMembers.size());
  return load;
}

} // namespace

bool
root_duty::IsChosen(const fleet_membership& aFleet,
                    const inputs& aInputs,
                    const std::vector<fleet_member>& aMembers,
                    fleet_size& aRoots,
                    model::instant aNow)
{
  const fleet_member& self = aFleet.Self();
  const auto chosen =
    SelectRoots(aMembers, aInputs.mLeafDataCentres, mSettings);
  aRoots = { 0, 0 };
  for (const fleet_member& member : aMembers) {
    // Those that step down hold connections, too.
    if (member.mRelayPort != 0 ||
        std::binary_search(chosen.begin(), chosen.end(), member.mName)) {
      ++aRoots.mTotal;
      aRoots.mInOwnDataCentre += member.mDataCentre == self.mDataCentre ? 1 : 0;
    }
  }
  if (aNow - mStartedAt >= kMinRootAge &&
      std::binary_search(chosen.begin(), chosen.end(), self.mName)) {
    mLastChosen = aNow;
  }
  return mLastChosen && aNow - *mLastChosen <= kStepDownDelay;
}

root_role
root_duty::Update(const fleet_membership& aFleet,
                  const inputs& aInputs,
                  model::instant aNow)
{
  root_role role;
  std::vector<fleet_member> members = aFleet.LiveMembers(aNow);
  for (const fleet_member& member : members) {
    if (member.mRelayPort != 0 && !member.mLeaving) {
      role.mRoots.push_back(
        { member.mName,
          { member.mPeerEndpoint.mAddress, member.mRelayPort },
          member.mCapacityMillicores / 1'000.0,
          member.mDataCentre == aFleet.Self().mDataCentre });
    }
  }
  members.push_back(aFleet.Self());
  const bool hasShards =
    aInputs.mConfig != nullptr && !aInputs.mConfig->ShardServices().empty();
  const bool isLarge =
    hasShards && NeedsRoots(MakeLoad(
                   *aInputs.mConfig, members, aFleet.KnownInstances(aNow)));
  // An instance that has just started may not know how large the fleet is.
  role.mUsesRoots = isLarge || !role.mRoots.empty();
  if (!role.mUsesRoots) {
    const bool mayBeLarge =
      hasShards && aInputs.mConfig->ShardServices().size() > kManyShards &&
      aNow - mStartedAt < kSettlingTime;
    if (!mayBeLarge) {
      role.mShardInstances = aFleet.FleetSize(aNow);
    }
    mAccepted = false;
    return role;
  }
  fleet_size roots;
  const bool isRoot = isLarge && aInputs.mRelayPort != 0 &&
                      IsChosen(aFleet, aInputs, members, roots, aNow);
  if (isRoot) {
    role.mShardInstances = roots;
  }
  mAccepted =
    isRoot && !aInputs.mIsStopping &&
    aInputs.mReachableShards >= (mAccepted ? kKeepingReach : kAcceptingReach);
  role.mAccepts = mAccepted;
  return role;
}

} // namespace monsooncroft::serving
