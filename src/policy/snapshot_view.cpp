/**
 * @file snapshot_view.cpp
 * Choice of the index version that a query pins.
 */
#include "model/coverage_type.h"
#include "policy/snapshot_view_base.h"

namespace monsooncroft::policy {

using model::index_version;

void
snapshot_view::OnHeld(const model::shard_id& aShard,
                      const model::leaf_id& aLeaf,
                      const std::vector<index_version>& aHeld,
                      model::instant aNow)
{
  report& entry = mReports[{ aShard, aLeaf }];
  entry.mSeen = aNow;
  std::set<index_version> held(aHeld.begin(), aHeld.end());
  held.erase(0); // Means none.
  while (held.size() > kMostHeld) {
    held.erase(held.begin());
  }
  if (held != entry.mHeld) {
    entry.mHeld = std::move(held);
    mPicked.reset();
  }
}

void
snapshot_view::Forget(const model::leaf_id& aLeaf)
{
  std::erase_if(
    mReports, [&](const auto& aEntry) { return aEntry.first.second == aLeaf; });
  mPicked.reset();
}

void
snapshot_view::ForgetOld(model::instant aNow)
{
  const auto old = std::erase_if(mReports, [&](const auto& aEntry) {
    return aNow - aEntry.second.mSeen >= mForgetAfter;
  });
  if (old > 0) {
    mPicked.reset();
  }
}

bool
snapshot_view::Holds(const model::shard_id& aShard,
                     const model::leaf_id& aLeaf,
                     index_version aVersion) const
{
  const auto found = mReports.find({ aShard, aLeaf });
  return found != mReports.end() && found->second.mHeld.count(aVersion) != 0;
}

snapshot_view::shard_versions
snapshot_view::Held(const model::service& aService) const
{
  shard_versions out;
  for (const model::shard& shard : aService.mShards) {
    for (const model::leaf_id& leaf : shard.mReplicas) {
      const auto found = mReports.find({ shard.mId, leaf });
      if (found == mReports.end()) {
        continue;
      }
      for (const index_version version : found->second.mHeld) {
        out[version].insert(shard.mId);
      }
    }
  }
  return out;
}

std::optional<snapshot_view::reach>
snapshot_view::Best(const model::service& aService,
                    const shard_versions& aVersions,
                    const std::set<index_version>& aExcept)
{
  std::optional<reach> best;
  for (const auto& [version, shards] : aVersions) {
    if (aExcept.count(version) != 0) {
      continue;
    }
    const reach each{ model::coverage::Of(aService, shards).mAnswered,
                      static_cast<int>(shards.size()),
                      version };
    if (!best || *best < each) {
      best = each;
    }
  }
  return best;
}

std::optional<index_version>
snapshot_view::Pick(const model::service& aService,
                    model::manifest_version aManifest)
{
  if (!mPicked || mPicked->mManifest != aManifest) {
    const auto best = Best(aService, Held(aService), {});
    mPicked = picked{ aManifest, {} };
    if (best) {
      mPicked->mVersion = best->mVersion;
    }
  }
  return mPicked->mVersion;
}

std::optional<index_version>
snapshot_view::NextAfterNotHeld(const model::service& aService,
                                index_version aPinned) const
{
  const shard_versions versions = Held(aService);
  std::set<index_version> except{ aPinned };
  for (const auto& [version, shards] : versions) {
    if (version <= aPinned) {
      except.insert(version);
    }
  }
  auto best = Best(aService, versions, except);
  if (!best) {
    best = Best(aService, versions, { aPinned });
  }
  return best ? std::optional(best->mVersion) : std::nullopt;
}

} // namespace monsooncroft::policy
