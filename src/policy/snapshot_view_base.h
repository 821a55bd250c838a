/**
 * @file snapshot_view_base.h
 * Index versions that leaves hold, and the choice of the one that a query pins.
 */
#ifndef MONSOONCROFT_POLICY_SNAPSHOT_VIEW_BASE_H
#define MONSOONCROFT_POLICY_SNAPSHOT_VIEW_BASE_H

#include "model/answer_type.h"
#include "model/manifest_base.h"
#include "model/service_type.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace monsooncroft::policy {

/** Index versions last reported by the leaves of one service. */
class snapshot_view
{
public:
  static constexpr model::duration kForgetAfter = std::chrono::seconds(30);
  /** Newest versions kept per report. */
  static constexpr std::size_t kMaxHeldVersions = 16;

  explicit snapshot_view(model::duration aForgetAfter = kForgetAfter)
    : mForgetAfter(aForgetAfter)
  {
  }

  /** Records the versions of one shard that a leaf reported as held; replaces
   * the leaf's previous report on the shard. */
  void OnHeldVersions(const model::shard_id& aShard,
                      const model::leaf_id& aLeaf,
                      const std::vector<model::index_version>& aHeld,
                      model::instant aNow);
  void Forget(const model::leaf_id& aLeaf); ///< The leaf is leaving or lost.
  /** Drops reports older than mForgetAfter. */
  void ForgetStale(model::instant aNow);

  /**
   * Returns the version with the most coverage, then the most shards, then the
   * newest.
   * @param aService The service.
   * @param aManifest Version of the manifest that declares aService.
   * @return Empty if no leaf of the service reported a version.
   */
  std::optional<model::index_version> PickVersion(
    const model::service& aService,
    model::manifest_version aManifest);

  /**
   * Returns another version for a query whose pinned version was not held.
   * @param aService The service.
   * @param aPinned The version that was not held.
   * @return The best newer version, else the best other version, else empty.
   */
  std::optional<model::index_version> NextAfterNotHeld(
    const model::service& aService,
    model::index_version aPinned) const;

  /** Whether the leaf reported that it holds the shard at the version. */
  bool Holds(const model::shard_id& aShard,
             const model::leaf_id& aLeaf,
             model::index_version aVersion) const;

private:
  /** Last report of one leaf on one shard. */
  struct held_report
  {
    std::set<model::index_version> mHeldVersions;
    model::instant mReportedAt;
  };

  /** Part of a service that a version covers; greater is better. */
  struct version_coverage
  {
    int mCoverageNames = 0;
    int mShards = 0;
    model::index_version mVersion = 0;

    auto operator<=>(const version_coverage&) const = default;
  };

  /** Cached result of PickVersion(), valid until a report changes. */
  struct picked_version
  {
    model::manifest_version mManifest = 0;
    std::optional<model::index_version> mVersion;
  };

  using shards_by_version =
    std::map<model::index_version, std::set<model::shard_id>>;

  /** Shards held by at least one declared replica, by version. */
  shards_by_version ShardsByVersion(const model::service& aService) const;
  static std::optional<version_coverage> BestVersion(
    const model::service& aService,
    const shards_by_version& aVersions,
    const std::set<model::index_version>& aExcept);

  model::duration mForgetAfter;
  std::map<std::pair<model::shard_id, model::leaf_id>, held_report> mReports;
  /** Avoids a scan of all reports per query. */
  std::optional<picked_version> mPickedVersion;
};

} // namespace monsooncroft::policy

#endif
