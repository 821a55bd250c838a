/**
 * @file snapshot_view.cpp
 * Choice of the index version that a query pins.
 */
#include "model/coverage_type.h"
#include "policy/snapshot_view_base.h"

namespace monsooncroft::policy {

using model::index_version;

void
snapshot_view::OnHeldVersions(const model::shard_id& aShard,
                              const model::leaf_id& aLeaf,
                              const std::vector<index_version>& aHeld,
                              model::instant aNow)
{
  held_report& entry = mReports[{ aShard, aLeaf }];
  entry.mReportedAt = aNow;
  std::set<index_version> held(aHeld.begin(), aHeld.end());
  held.erase(0); // Version 0 means that none is held.
  while (held.size() > kMaxHeldVersions) {
    held.erase(held.begin());
  }
  if (held != entry.mHeldVersions) {
    entry.mHeldVersions = std::move(held);
    mPickedVersion.reset();
  }
}

void
snapshot_view::Forget(const model::leaf_id& aLeaf)
{
  std::erase_if(
    mReports, [&](const auto& aEntry) { return aEntry.first.second == aLeaf; });
  mPickedVersion.reset();
}

void
snapshot_view::ForgetStale(model::instant aNow)
{
  const auto dropped = std::erase_if(mReports, [&](const auto& aEntry) {
    return aNow - aEntry.second.mReportedAt >= mForgetAfter;
  });
  if (dropped > 0) {
    mPickedVersion.reset();
  }
}

bool
snapshot_view::Holds(const model::shard_id& aShard,
                     const model::leaf_id& aLeaf,
                     index_version aVersion) const
{
  const auto found = mReports.find({ aShard, aLeaf });
  return found != mReports.end() &&
         found->second.mHeldVersions.count(aVersion) != 0;
}

snapshot_view::shards_by_version
snapshot_view::ShardsByVersion(const model::service& aService) const
{
  shards_by_version out;
  for (const model::shard& shard : aService.mShards) {
    for (const model::leaf_id& leaf : shard.mReplicas) {
      const auto found = mReports.find({ shard.mId, leaf });
      if (found == mReports.end()) {
        continue;
      }
      for (const index_version version : found->second.mHeldVersions) {
        out[version].insert(shard.mId);
      }
    }
  }
  return out;
}

std::optional<snapshot_view::version_coverage>
snapshot_view::BestVersion(const model::service& aService,
                           const shards_by_version& aVersions,
                           const std::set<index_version>& aExcept)
{
  std::optional<version_coverage> best;
  for (const auto& [version, shards] : aVersions) {
    if (aExcept.count(version) != 0) {
      continue;
    }
    const version_coverage each{
      model::coverage::Compute(aService, shards).mAnswered,
      static_cast<int>(shards.size()),
      version
    };
    if (!best || *best < each) {
      best = each;
    }
  }
  return best;
}

std::optional<index_version>
snapshot_view::PickVersion(const model::service& aService,
                           model::manifest_version aManifest)
{
  if (!mPickedVersion || mPickedVersion->mManifest != aManifest) {
    const auto best = BestVersion(aService, ShardsByVersion(aService), {});
    mPickedVersion = picked_version{ aManifest, {} };
    if (best) {
      mPickedVersion->mVersion = best->mVersion;
    }
  }
  return mPickedVersion->mVersion;
}

std::optional<index_version>
snapshot_view::NextAfterNotHeld(const model::service& aService,
                                index_version aPinned) const
{
  const shards_by_version versions = ShardsByVersion(aService);
  std::set<index_version> except{ aPinned };
  for (const auto& [version, shards] : versions) {
    if (version <= aPinned) {
      except.insert(version);
    }
  }
  auto best = BestVersion(aService, versions, except);
  if (!best) {
    best = BestVersion(aService, versions, { aPinned });
  }
  return best ? std::optional(best->mVersion) : std::nullopt;
}

} // namespace monsooncroft::policy
