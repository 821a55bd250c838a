/**
 * @file snapshot_view_base.h
 * Which index versions the leaves hold, and the one that a query pins.
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

/** The versions that the leaves of one service last reported. */
class snapshot_view
{
public:
  static constexpr model::duration kForgetAfter = std::chrono::seconds(30);
  static constexpr std::size_t kMaxHeldVersions =
    16; ///< Newest kept of a report.

  explicit snapshot_view(model::duration aForgetAfter = kForgetAfter)
    : mForgetAfter(aForgetAfter)
  {
  }

  /** What a leaf's reply says it holds of one shard; replaces what it said
   * before. */
  void OnHeldVersions(const model::shard_id& aShard,
                      const model::leaf_id& aLeaf,
                      const std::vector<model::index_version>& aHeld,
                      model::instant aNow);
  void Forget(const model::leaf_id& aLeaf); ///< It is leaving or lost.
  void ForgetStale(model::instant aNow);    ///< Leaves not heard of for long.

  /**
   * The version with the most coverage, then the most shards, then the
   * newest.
   * @param aService The service.
   * @param aManifest Version of the manifest that aService is of.
   * @return Nothing if no leaf of the service reported a version.
   */
  std::optional<model::index_version> PickVersion(
    const model::service& aService,
    model::manifest_version aManifest);

  /**
   * Another version for a query whose pinned one was not held.
   * @param aService The service.
   * @param aPinned The version that was not held.
   * @return The best newer one, else the best other one, else nothing.
   */
  std::optional<model::index_version> NextAfterNotHeld(
    const model::service& aService,
    model::index_version aPinned) const;

  /** Whether the leaf reported to hold the shard at the version. */
  bool Holds(const model::shard_id& aShard,
             const model::leaf_id& aLeaf,
             model::index_version aVersion) const;

private:
  /** One leaf's word on one shard. */
  struct held_report
  {
    std::set<model::index_version> mHeldVersions;
    model::instant mReportedAt;
  };

  /** How much of a service a version covers; greater is better. */
  struct version_coverage
  {
    int mCoverageNames = 0;
    int mShards = 0;
    model::index_version mVersion = 0;

    auto operator<=>(const version_coverage&) const = default;
  };

  /** The result of Pick, valid until a report changes. */
  struct picked_version
  {
    model::manifest_version mManifest = 0;
    std::optional<model::index_version> mVersion;
  };

  using shards_by_version =
    std::map<model::index_version, std::set<model::shard_id>>;

  /** Shards by version that some declared replica holds. */
  shards_by_version ShardsByVersion(const model::service& aService) const;
  static std::optional<version_coverage> BestVersion(
    const model::service& aService,
    const shards_by_version& aVersions,
    const std::set<model::index_version>& aExcept);

  model::duration mForgetAfter;
  std::map<std::pair<model::shard_id, model::leaf_id>, held_report> mReports;
  std::optional<picked_version>
    mPickedVersion; ///< Spares a scan for each query.
};

} // namespace monsooncroft::policy

#endif
