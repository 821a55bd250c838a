/**
 * @file ownership.cpp
 * Grouping of leaves and assignment of owners.
 */
#include "cluster/ownership_base.h"

#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace monsooncroft::cluster {

namespace {

using leaves_by_data_centre =
  std::map<model::data_centre_id, std::vector<model::leaf_id>>;

/**
 * Returns each leaf once by data centre, in the order of the shards it serves.
 */
leaves_by_data_centre
LeavesInShardOrder(const model::service& aService)
{
  leaves_by_data_centre leaves;
  std::set<model::leaf_id> seen;
  for (const auto& shard : aService.mShards) {
    for (const auto& replica : shard.mReplicas) {
      const auto* leaf = aService.FindLeaf(replica);
      if (leaf != nullptr && seen.insert(replica).second) {
        leaves[leaf->mDataCentre].push_back(replica);
      }
    }
  }
  return leaves;
}

std::string
GroupKey(const leaf_group& aGroup)
{
  return aGroup.mService.Value() + "/" + aGroup.mDataCentre.Value() + "/" +
         std::to_string(aGroup.mIndex);
}

} // namespace

std::vector<leaf_group>
GroupLeaves(const model::service& aService)
{
  std::vector<leaf_group> groups;
  for (const auto& [dataCentre, leaves] : LeavesInShardOrder(aService)) {
    for (std::size_t start = 0; start < leaves.size();
         start += kMaxGroupLeaves) {
      const auto end = std::min(start + kMaxGroupLeaves, leaves.size());
      leaf_group group;
      group.mService = aService.mId;
      group.mDataCentre = dataCentre;
      group.mIndex = static_cast<int>(start / kMaxGroupLeaves);
      group.mLeaves.assign(leaves.begin() + static_cast<std::ptrdiff_t>(start),
                           leaves.begin() + static_cast<std::ptrdiff_t>(end));
      groups.push_back(std::move(group));
    }
  }
  return groups;
}

ownership::ownership(model::manifest_ptr aManifest,
                     member_view_ptr aView,
                     std::size_t aOwnersPerGroup)
  : mManifest(std::move(aManifest))
  , mView(std::move(aView))
  , mOwnersPerGroup(aOwnersPerGroup)
{
}

ownership_ptr
ownership::Build(const model::manifest_ptr& aManifest,
                 const member_view_ptr& aView,
                 std::size_t aOwnersPerGroup,
                 const ownership_ptr& aPrevious)
{
  const std::shared_ptr<ownership> table(
    new ownership(aManifest, aView, aOwnersPerGroup));
  const bool sameManifest = aPrevious && aPrevious->mManifest == aManifest;
  if (sameManifest) {
    table->mGroups = aPrevious->mGroups;
    table->mLeafPositions = aPrevious->mLeafPositions;
  } else {
    table->BuildGroups();
  }
  table->AssignOwners(sameManifest ? aPrevious.get() : nullptr);
  return table;
}

void
ownership::BuildGroups()
{
  auto positions = std::make_shared<leaf_positions>();
  for (const auto& service : mManifest->Services()) {
    auto serviceGroups = std::make_shared<const groups>(GroupLeaves(service));
    for (std::size_t index = 0; index < serviceGroups->size(); ++index) {
      for (const auto& leaf : (*serviceGroups)[index].mLeaves) {
        (*positions)[leaf] = { service.mId, index };
      }
    }
    mGroups[service.mId] = std::move(serviceGroups);
  }
  mLeafPositions = std::move(positions);
}

/** Data centres whose members differ from those of the previous table. */
std::set<model::data_centre_id>
ownership::ChangedDataCentres(const ownership* aPrevious) const
{
  const bool rebuildAll =
    aPrevious == nullptr || aPrevious->mOwnersPerGroup != mOwnersPerGroup;
  std::set<model::data_centre_id> stale;
  for (const auto& [id, serviceGroups] : mGroups) {
    for (const auto& group : *serviceGroups) {
      const auto& dataCentre = group.mDataCentre;
      if (rebuildAll || aPrevious->mView->MembersIn(dataCentre) !=
                          mView->MembersIn(dataCentre)) {
        stale.insert(dataCentre);
      }
    }
  }
  return stale;
}

void
ownership::AssignOwners(const ownership* aPrevious)
{
  const auto changed = ChangedDataCentres(aPrevious);
  for (auto& [id, serviceGroups] : mGroups) {
    const bool changes =
      std::any_of(serviceGroups->begin(),
                  serviceGroups->end(),
                  [&](const leaf_group& aGroup) {
                    return changed.count(aGroup.mDataCentre) != 0;
                  });
    if (changes) {
      serviceGroups = WithOwners(*serviceGroups, changed);
    }
  }
}

ownership::groups_ptr
ownership::WithOwners(const groups& aGroups,
                      const std::set<model::data_centre_id>& aChanged) const
{
  auto assigned = std::make_shared<groups>(aGroups);
  for (auto& group : *assigned) {
    if (aChanged.count(group.mDataCentre) != 0) {
      group.mOwners = RankByRendezvous(
        GroupKey(group), *mView->MembersIn(group.mDataCentre), mOwnersPerGroup);
    }
  }
  return assigned;
}

const std::vector<leaf_group>&
ownership::GroupsOf(const model::service_id& aService) const
{
  static const std::vector<leaf_group> kNone;
  const auto found = mGroups.find(aService);
  return found == mGroups.end() ? kNone : *found->second;
}

const leaf_group*
ownership::GroupOf(const model::leaf_id& aLeaf) const
{
  const auto found = mLeafPositions->find(aLeaf);
  if (found == mLeafPositions->end()) {
    return nullptr;
  }
  return &GroupsOf(found->second.mService)[found->second.mIndex];
}

bool
ownership::Owns(const model::instance_id& aInstance,
                const leaf_group& aGroup) const
{
  if (aGroup.mOwners.empty()) {
    return true;
  }
  return std::find(aGroup.mOwners.begin(), aGroup.mOwners.end(), aInstance) !=
         aGroup.mOwners.end();
}

} // namespace monsooncroft::cluster
