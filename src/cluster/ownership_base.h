/**
 * @file ownership_base.h
 * Who owns which leaves at one manifest and one membership epoch.
 */
#ifndef MONSOONCROFT_CLUSTER_OWNERSHIP_BASE_H
#define MONSOONCROFT_CLUSTER_OWNERSHIP_BASE_H

#include "cluster/member_view_base.h"
#include "cluster/ownership_type.h"
#include "model/manifest_base.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace monsooncroft::cluster {

class ownership;
using ownership_ptr = std::shared_ptr<const ownership>;

/** Immutable table of groups and owners, computed once an epoch. */
class ownership
{
public:
  /**
   * Works out the table.
   * @param aManifest The manifest.
   * @param aView The members.
   * @param aOwnersPerGroup Owners of a group; 0: none, each root is direct.
   * @param aBefore The table before, whose owners are kept for data centres
   * that did not change; may be null.
   */
  static ownership_ptr Build(const model::manifest_ptr& aManifest,
                             const member_view_ptr& aView,
                             std::size_t aOwnersPerGroup,
                             const ownership_ptr& aBefore);

  const std::vector<leaf_group>& GroupsOf(
    const model::service_id& aService) const; ///< Empty for an unknown service.
  const leaf_group* GroupOf(
    const model::leaf_id& aLeaf) const; ///< Null for an unknown leaf.
  bool Owns(const model::instance_id& aInstance,
            const leaf_group& aGroup) const;
  const model::manifest_ptr& Manifest() const { return mManifest; }
  const member_view_ptr& View() const { return mView; }

private:
  using groups = std::vector<leaf_group>;
  using groups_ptr = std::shared_ptr<const groups>;
  struct group_position ///< Of a leaf's group.
  {
    model::service_id mService;
    std::size_t mIndex = 0;
  };
  using leaf_positions = std::unordered_map<model::leaf_id, group_position>;

  ownership(model::manifest_ptr aManifest,
            member_view_ptr aView,
            std::size_t aOwnersPerGroup);
  void BuildGroups();
  void AssignOwners(const ownership* aBefore);
  groups_ptr WithOwners(const groups& aGroups,
                        const std::set<model::data_centre_id>& aStale) const;
  std::set<model::data_centre_id> ChangedDataCentres(
    const ownership* aBefore) const;

  model::manifest_ptr mManifest;
  member_view_ptr mView;
  std::size_t mOwnersPerGroup;
  std::unordered_map<model::service_id, groups_ptr>
    mGroups; ///< Shared with the table before where no owner changed.
  std::shared_ptr<const leaf_positions>
    mLeafPositions; ///< Shared for one manifest.
};

/**
 * Cuts a service's leaves into groups without owners.
 * @param aService The service.
 * @return Groups by data centre; replicas of a shard stand next to each other.
 */
std::vector<leaf_group>
GroupLeaves(const model::service& aService);

} // namespace monsooncroft::cluster

#endif
