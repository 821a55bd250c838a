/**
 * @file ownership_base.h
 * Owners of the leaf groups for one manifest and one membership epoch.
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

/**
 * Immutable table of leaf groups and their owners, computed once for each
 * epoch.
 */
class ownership
{
public:
  /**
   * Computes the table.
   * @param aManifest The manifest.
   * @param aView The members.
   * @param aOwnersPerGroup Owners of each group; 0: no owners, each root
   * instance calls the leaves directly.
   * @param aPrevious The previous table, whose owners are kept for data centres
   * without a change; may be null.
   */
  static ownership_ptr Build(const model::manifest_ptr& aManifest,
                             const member_view_ptr& aView,
                             std::size_t aOwnersPerGroup,
                             const ownership_ptr& aPrevious);

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
  struct group_position ///< Position of a leaf's group.
  {
    model::service_id mService;
    std::size_t mIndex = 0;
  };
  using leaf_positions = std::unordered_map<model::leaf_id, group_position>;

  ownership(model::manifest_ptr aManifest,
            member_view_ptr aView,
            std::size_t aOwnersPerGroup);
  void BuildGroups();
  void AssignOwners(const ownership* aPrevious);
  groups_ptr WithOwners(const groups& aGroups,
                        const std::set<model::data_centre_id>& aChanged) const;
  std::set<model::data_centre_id> ChangedDataCentres(
    const ownership* aPrevious) const;

  model::manifest_ptr mManifest;
  member_view_ptr mView;
  std::size_t mOwnersPerGroup;
  std::unordered_map<model::service_id, groups_ptr>
    mGroups; ///< Shared with the previous table for services without a changed
             ///< owner.
  std::shared_ptr<const leaf_positions>
    mLeafPositions; ///< Shared by all tables of one manifest.
};

/**
 * Divides the leaves of a service into groups. The groups have no owners yet.
 * @param aService The service.
 * @return Groups sorted by data centre; replicas of a shard follow each other.
 */
std::vector<leaf_group>
GroupLeaves(const model::service& aService);

} // namespace monsooncroft::cluster

#endif
