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
   * failed, if calls to it failed in that time. */
  std::chrono::milliseconds mStoreOutageAfter{ 2'000 };
  /** Time after a restore of the store in which it may list leaves that have
   * left: it removes them after three missed heartbeats. */
  std::chrono::milliseconds mRestoredCopyPeriod{ 5'000 };
};

/**
 * Merges snapshots of the store and deltas from peers. Registrations are merged
 * by revision, so that order and repetition do not matter. When the store
 * returns after an outage, most registrations have expired: removing them all
 * would leave no leaf to serve requests, so they are kept for the time in which
 * live leaves register again. The same holds for a store that was restored from
 * an older copy, which besides lists leaves as they were before; what has been
 * known of them since, a drain or a removal, holds until they register again.
 */
class leaf_directory
{
public:
  explicit leaf_directory(const leaf_directory_settings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  /** Takes the pages that are not older than what is known of their keys.
   * @return Changes to send to peers; nothing if all pages are older. */
  std::optional<directory_delta> OnSnapshot(const directory_snapshot& aSnapshot,
                                            model::instant aNow);
  /** Whether pages of a snapshot are older than what is known of their keys. */
  bool KnowsNewerThan(const directory_snapshot& aSnapshot) const
  {
    return aSnapshot.Revisions().AnyBelow(mKnownRevisions);
  }
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
   * began later or in a later era, these are all registrations, with base
   * revision 0. */
  directory_delta ChangesSince(model::store_revision aRevision) const;
  /** Merges changes from a watch on the store.
   * @return Changes to send to peers. */
  directory_delta OnWatch(const directory_delta& aChanges, model::instant aNow);
  /** Records that a call to the store failed that this instance began at a
   * time. That nobody has read it for a while is no outage by itself: those
   * that read it may have been lost, or this instance may have stood still. */
  void OnStoreFailure(model::instant aBegunAt);
  /** Remaining time in which missing registrations are kept; 0: they are not.
   */
  std::chrono::milliseconds ReregistrationTime(model::instant aNow) const;
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

  /** A long time in which no instance read the store, as far as known. */
  struct read_gap
  {
    model::duration mLength;
    bool mIsOutage = false; ///< Calls to the store failed in it.
  };
  /** The last gap that ended since the last call of TakeReadGap. */
  std::optional<read_gap> TakeReadGap()
  {
    return std::exchange(mReadGap, std::nullopt);
  }

  /** Revision up to which all changes are known. */
  model::store_revision Revision() const { return mRevision; }
  /** Time at which the directory was last known to be complete. */
  std::optional<model::instant> LastCompleteTime() const
  {
    return mLastCompleteTime;
  }
  std::size_t Size() const { return mLeaves.size(); }
  /** Leaves that are missing in the store but kept for now. */
  std::size_t MissingCount() const { return mMissingRevisions.size(); }

private:
  struct known_leaf
  {
    leaf_registration mRegistration;
    /** Store revision at which this directory saw the last change. Above that
     * of the registration if it returned unchanged after an outage. */
    model::store_revision mSeenAt;
  };
  struct removed_leaf
  {
    model::store_revision mRevision; ///< At which the leaf was absent.
    std::uint64_t mIncarnation = 0;  ///< 0: the leaf was not known.
  };

  /**
   * Adds or updates a registration, unless the leaf is known at a later
   * revision: if it is not listed then, it has left, also where its removal is
   * no longer remembered.
   * @param aSeenAt Store revision at which the registration existed.
   */
  void Put(const leaf_registration& aLeaf, model::store_revision aSeenAt);
  /** Adds or updates a registration, unless a newer one or its removal is
   * remembered. */
  void Merge(const leaf_registration& aLeaf, model::store_revision aSeenAt);
  /** Records that the store was read, by this instance or by a peer.
   * @return Whether missing registrations are kept, as in
   * UpdateReregistrationPeriod. */
  bool OnStoreRead(model::instant aNow);
  /** Whether the store has not been read for long, and a call to it failed. */
  bool IsOutage(model::instant aNow) const;
  /** Starts the re-registration period if an outage of the store ends.
   * @return Whether the period is running, so that missing registrations are
   * kept. */
  bool UpdateReregistrationPeriod(model::instant aNow);
  /** Keeps or removes a leaf that the store does not list at a revision, unless
   * the leaf is known at a later one. */
  void OnMissing(const std::string& aId,
                 model::store_revision aRevision,
                 bool aKeep);
  /** Removes a registration and remembers the removal.
   * @return Whether no newer registration is known. */
  bool Remove(const std::string& aId, model::store_revision aRevision);
  /** Whether all changes up to a delta's revision are known. A leaf in it that
   * is not known has been removed since, unless it is in a range of ids that
   * the sender knows at a later revision. */
  bool IsOutdated(const directory_delta& aDelta) const
  {
    return aDelta.mRevision < mRevision;
  }
  /** Takes over revisions at which registrations are known. */
  void RaiseRevisions(const key_revisions& aRevisions);
  /** Takes over the re-registration period of the peer that sent a delta, if
   * this instance knows of no read in the outage. */
  void JoinReregistrationPeriod(const directory_delta& aDelta,
                                model::instant aNow);
  /** Applies the content of a delta.
   * @param aKeepMissing Whether leaves that it lists as removed are kept. */
  void ApplyDelta(const directory_delta& aDelta, bool aKeepMissing);
  /** Applies what an outdated delta contains beyond the known revisions. */
  void ApplyNewerRanges(const directory_delta& aDelta);
  /** Advances the revisions after a snapshot or a delta was applied, and
   * remembers which ones may have been skipped. */
  void SkipTo(const key_revisions& aRevisions);
  /** Removes leaves that were known from an incomplete delta before and are not
   * in a complete one that covers their revisions. */
  void RemoveUnlisted(const directory_delta& aDelta);
  /** Revisions before a read, for the changes that it brings. */
  key_revisions DeltaBase() const;
  /** As ChangesSince(), for a peer that knows these revisions. */
  directory_delta MakeDelta(const key_revisions& aBase) const;
  /** Whether all removals since revisions of this era are known.
   * @param aBase One revision for all ids, or those that this directory had. */
  bool KnowsRemovalsSince(const key_revisions& aBase) const;
  /** Advances the revision after a delta was applied.
   * @return Whether all changes up to the delta's revision are known. */
  bool AdvanceTo(const directory_delta& aDelta);
  /** Records that the registrations were complete at a time. If it is after the
   * time in which a restored store may list leaves that have left, adds the
   * leaves that it still lists. */
  void SetCompleteAt(model::instant aTime);
  /** Starts the re-registration period if a revision is of a later era. */
  void UpdateEra(model::store_revision aRevision, model::instant aNow);
  /** Replaces what is known by a delta that consists of all registrations.
   * @return Whether the delta does. */
  bool Replace(const directory_delta& aDelta, model::instant aReadAt);
  /** Whether a registration may be from before the removal of the leaf, as the
   * copy has it from which the store was restored. */
  bool MayPrecedeRemoval(const removed_leaf& aRemoval,
                         const leaf_registration& aLeaf,
                         model::store_revision aSeenAt) const;
  /** Whether the store has listed a leaf in this era. */
  bool IsOfThisEra(const known_leaf& aLeaf) const
  {
    return aLeaf.mRegistration.mRevision.Era() == mRevision.Era();
  }

  leaf_directory_settings mSettings;
  std::map<std::string, known_leaf> mLeaves;          ///< By id.
  std::map<std::string, removed_leaf> mRemovedLeaves; ///< By id.
  /** Leaves that a restored store lists although they had been removed, by id.
   */
  std::map<std::string, known_leaf> mRestoredLeaves;
  std::optional<model::instant> mStoreRestoredAt; ///< Start of the last era.
  /** Ids of leaves that are missing in the store but kept for now, with the
   * store revision at which each was absent. */
  std::map<std::string, model::store_revision> mMissingRevisions;
  model::store_revision mRevision; ///< The lowest of mKnownRevisions.
  /** Revisions at which it is known, by id, which leaves are registered. */
  key_revisions mKnownRevisions;
  /** Removals since this store revision are remembered. */
  model::store_revision mHistoryStart;
  /** Ranges that snapshots and changes of peers may have skipped, without their
   * ends: leaves that came and left between are not known. */
  std::deque<std::pair<model::store_revision, model::store_revision>>
    mSkippedRevisions;
  std::optional<model::instant> mLastCompleteTime;
  /** Last time at which this instance or, by its delta, a peer had read the
   * store; the directory may be incomplete then. */
  std::optional<model::instant> mLastReadTime;
  /** Begin of the first call since then that failed. */
  std::optional<model::instant> mFirstFailureTime;
  std::optional<read_gap> mReadGap;
  std::optional<model::instant> mStoreRecoveredAt; ///< End of the last outage.
  changes mPendingChanges;
};

} // namespace monsooncroft::serving

#endif
