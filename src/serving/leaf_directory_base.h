/**
 * @file leaf_directory_base.h
 * The registered leaves as this instance knows them.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_DIRECTORY_BASE_H
#define MONSOONCROFT_SERVING_LEAF_DIRECTORY_BASE_H

#include "serving/leaf_registration_type.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace monsooncroft::serving {

/** How long missing registrations are kept after an outage of the store. */
struct leaf_directory_settings
{
  /** Time after an outage of the store in which live leaves register again. */
  std::chrono::milliseconds mReregistrationPeriod{ 2'300 };
  /** Time without a read by any instance after which the store counts as having
   * failed. */
  std::chrono::milliseconds mStoreOutageAfter{ 2'000 };
};

/**
 * Merges snapshots of the store and deltas from peers. Registrations are merged
 * by revision, so that order and repetition do not matter. When the store
 * returns after an outage, most registrations have expired: removing them all
 * would leave no leaf to serve requests, so they are kept for the time in which
 * live leaves register again.
 */
class leaf_directory
{
public:
  explicit leaf_directory(const leaf_directory_settings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  /** @return Changes to send to peers; nothing if the snapshot is older than
   * the directory. */
  std::optional<directory_delta> OnSnapshot(const directory_snapshot& aSnapshot,
                                            model::instant aNow);
  /** Merges a delta that a peer sent after it had read the store.
   * @return Whether all changes up to the delta's revision are known. */
  bool OnDelta(const directory_delta& aDelta, model::instant aNow);
  /** Merges changes that a peer knew.
   * @param aCompleteAt When the peer's registrations were last known to be
   * complete; nothing if never.
   * @return Whether all changes up to the delta's revision are known. */
  bool OnPulledChanges(const directory_delta& aDelta,
                       std::optional<model::instant> aCompleteAt);
  /** Changes for a peer that knows all changes up to aRevision; 0 if it knows
   * none. If this directory does not know what was removed since, because it
   * began later, these are all registrations, with base revision 0. */
  directory_delta ChangesSince(std::uint64_t aRevision) const;
  /** Merges changes from a watch on the store.
   * @return Changes to send to peers. */
  directory_delta OnWatch(const directory_delta& aChanges, model::instant aNow);
  /** Removes registrations that are still missing after the re-registration
   * period. Peers know them too and do the same. */
  void RemoveMissing(model::instant aNow);

  /** Registrations changed and removed since the last call of TakeChanges. The
   * removals come before the changes. */
  struct changes
  {
    std::vector<leaf_registration> mChangedLeaves;
    std::vector<std::string> mRemovedIds;
  };
  changes TakeChanges();

  std::uint64_t Revision() const { return mRevision; }
  /** Time at which the directory was last known to be complete. */
  std::optional<model::instant> LastCompleteTime() const
  {
    return mLastCompleteTime;
  }
  std::size_t Size() const { return mLeaves.size(); }
  /** Leaves that are missing in the store but kept for now. */
  std::size_t MissingCount() const { return mMissingRevisions.size(); }

private:
  /**
   * Adds or updates a registration, unless a newer one or its removal is known.
   * @param aSeenAt Store revision at which the registration existed.
   */
  void Put(const leaf_registration& aLeaf, std::uint64_t aSeenAt);
  /** Records that the store was read, by this instance or by a peer.
   * @return Whether missing registrations are kept, as in
   * UpdateReregistrationPeriod. */
  bool OnStoreRead(model::instant aNow);
  /** Starts the re-registration period if an outage of the store ends.
   * @return Whether the period is running, so that missing registrations are
   * kept. */
  bool UpdateReregistrationPeriod(model::instant aNow);
  /** Keeps or removes a leaf that the store does not list at a revision. */
  void OnMissing(const std::string& aId, std::uint64_t aRevision, bool aKeep);
  /** Removes a registration and remembers the removal.
   * @return Whether no newer registration is known. */
  bool Remove(const std::string& aId, std::uint64_t aRevision);
  /** Whether all that a delta can contain is known. A leaf in it that is not
   * known has been removed since. */
  bool IsOutdated(const directory_delta& aDelta) const
  {
    return aDelta.mRevision < mRevision;
  }
  /** Applies the content of a delta. */
  void ApplyDelta(const directory_delta& aDelta);
  /** Advances the revision after a snapshot was applied. */
  void SkipTo(std::uint64_t aRevision);
  /** Removes leaves that were known from an incomplete delta before and are not
   * in a complete one that covers their revisions. */
  void RemoveUnlisted(const directory_delta& aDelta);
  /** Whether all removals since a revision are known. */
  bool KnowsRemovalsSince(std::uint64_t aRevision) const;
  /** Advances the revision after a delta was applied.
   * @return Whether all changes up to the delta's revision are known. */
  bool AdvanceTo(const directory_delta& aDelta);
  /** Replaces what is known by a delta that consists of all registrations.
   * @return Whether the delta does. */
  bool Replace(const directory_delta& aDelta, model::instant aReadAt);

  struct known_leaf
  {
    leaf_registration mRegistration;
    /** Store revision at which this directory saw the last change. Above that
     * of the registration if it returned unchanged after an outage. */
    std::uint64_t mSeenAt = 0;
  };

  leaf_directory_settings mSettings;
  std::map<std::string, known_leaf> mLeaves; ///< By id.
  /** Ids of removed leaves, with the store revision at which each was absent.
   */
  std::map<std::string, std::uint64_t> mRemovedRevisions;
  /** Ids of leaves that are missing in the store but kept for now, with the
   * store revision at which each was absent. */
  std::map<std::string, std::uint64_t> mMissingRevisions;
  std::uint64_t mRevision = 0;
  /** Removals since this store revision are remembered. */
  std::uint64_t mHistoryStart = 0;
  /** Ranges that snapshots have skipped, without their ends: leaves that came
   * and left between are not known. */
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mSkippedRevisions;
  std::optional<model::instant> mLastCompleteTime;
  /** Last time at which this instance or, by its delta, a peer had read the
   * store; the directory may be incomplete then. */
  std::optional<model::instant> mLastReadTime;
  std::optional<model::instant> mStoreRecoveredAt; ///< End of the last outage.
  changes mPendingChanges;
};

} // namespace monsooncroft::serving

#endif
