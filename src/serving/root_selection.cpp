/**
 * @file root_selection.cpp
 * Choice of the instances that execute queries over many shards for others.
 */
#include "serving/root_selection_func.h"

#include "cluster/rendezvous_func.h"
#include "model/time_func.h"
#include "policy/connection_share_func.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace monsooncroft::serving {

namespace {

constexpr const char* kSalt = "root";
/** Processor time of one core for an attempt at a leaf. */
constexpr model::duration kAttemptTime{ 25 };
/** Part of the target latency, inverted, that an instance may work itself. */
constexpr int kMaxOwnWorkDivisor = 4;

/** Position of a member in the order of choice; the highest comes first. */
auto
Rank(const fleet_member& aMember)
{
  return std::make_pair(
    aMember.mCapacityMillicores,
    cluster::RendezvousWeight(cluster::HashOf(kSalt),
                              cluster::HashOf(aMember.mName)));
}

/** Score of a root for an instance: roots win in proportion to capacity. */
double
Score(const root_address& aRoot, std::uint64_t aSelf)
{
  constexpr double kRange = 18'446'744'073'709'551'616.0; ///< 2 to the 64th.
  const auto weight =
    cluster::RendezvousWeight(cluster::HashOf(aRoot.mName), aSelf);
  const double uniform = (static_cast<double>(weight) + 0.5) / kRange;
  return -aRoot.mCapacity / std::log(std::min(uniform, 1 - 1e-12));
}

} // namespace

bool
NeedsRoots(const fan_out_load& aLoad)
{
  const bool tooManyInstances =
    policy::ComputeConnectionShare(
      aLoad.mMaxConnections,
      static_cast<int>(std::max<std::size_t>(1, aLoad.mInstances)))
      .mSteady == 0;
  const auto work = kAttemptTime * static_cast<int>(aLoad.mShards);
  const bool tooSlow = aLoad.mMeanCapacity > 0 &&
                       model::ScaleDuration(work, 1 / aLoad.mMeanCapacity) >
                         aLoad.mTargetLatency / kMaxOwnWorkDivisor;
  return tooManyInstances || tooSlow;
}

std::vector<std::string>
SelectRoots(const std::vector<fleet_member>& aMembers,
            const std::set<std::string>& aLeafDataCentres,
            const root_settings& aSettings)
{
  double capacity = 0;
  std::map<std::string, std::vector<const fleet_member*>> candidates;
  std::vector<const fleet_member*> all;
  for (const fleet_member& member : aMembers) {
    capacity += member.mCapacityMillicores;
    if (member.mCapacityMillicores == 0 || member.mLeaving) {
      continue;
    }
    all.push_back(&member);
    if (aLeafDataCentres.contains(member.mDataCentre)) {
      candidates[member.mDataCentre].push_back(&member);
    }
  }
  if (candidates.empty()) {
    candidates.emplace("", std::move(all));
  }
  const double required = aSettings.mCapacityShare * capacity /
                          static_cast<double>(candidates.size());
  const std::size_t leastCount =
    (aSettings.mMinRoots + candidates.size() - 1) / candidates.size();
  std::vector<std::string> roots;
  for (auto& [dataCentre, members] : candidates) {
    std::sort(members.begin(),
              members.end(),
              [](const fleet_member* aLeft, const fleet_member* aRight) {
                return Rank(*aLeft) > Rank(*aRight);
              });
    double chosen = 0;
    std::size_t count = 0;
    for (const fleet_member* member : members) {
      if (count >= leastCount && chosen >= required) {
        break;
      }
      roots.push_back(member->mName);
      chosen += member->mCapacityMillicores;
      ++count;
    }
  }
  std::sort(roots.begin(), roots.end());
  return roots;
}

void
OrderRoots(std::vector<root_address>& aRoots, const std::string& aSelf)
{
  const std::uint64_t self = cluster::HashOf(aSelf);
  std::sort(
    aRoots.begin(),
    aRoots.end(),
    [&](const root_address& aLeft, const root_address& aRight) {
      return std::make_pair(aLeft.mInOwnDataCentre, Score(aLeft, self)) >
             std::make_pair(aRight.mInOwnDataCentre, Score(aRight, self));
    });
}

} // namespace monsooncroft::serving
