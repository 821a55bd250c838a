/**
 * @file manifest.cpp
 * Lookups in a manifest and its services.
 */
#include "model/manifest_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::model {

namespace {

template<class Entries, class Key, class Projection>
auto
Find(const Entries& aEntries, const Key& aKey, Projection aProjection)
{
  const auto found =
    std::find_if(aEntries.begin(), aEntries.end(), [&](const auto& aEntry) {
      return aEntry.*aProjection == aKey;
    });
  return found == aEntries.end() ? nullptr : &*found;
}

} // namespace

const contract*
service::FindContract(const kind_id& aKind) const
{
  return Find(mContracts, aKind, &contract::mKind);
}

const leaf*
service::FindLeaf(const leaf_id& aLeaf) const
{
  return Find(mLeaves, aLeaf, &leaf::mId);
}

const shard*
service::FindShard(const shard_id& aShard) const
{
  return Find(mShards, aShard, &shard::mId);
}

manifest::manifest(manifest_version aVersion,
                   std::vector<workspace> aWorkspaces,
                   std::vector<service> aServices)
  : mVersion(aVersion)
  , mWorkspaces(std::move(aWorkspaces))
  , mServices(std::move(aServices))
{
}

const service*
manifest::FindService(const service_id& aService) const
{
  return Find(mServices, aService, &service::mId);
}

const workspace*
manifest::FindWorkspace(const workspace_id& aWorkspace) const
{
  return Find(mWorkspaces, aWorkspace, &workspace::mId);
}

} // namespace monsooncroft::model
