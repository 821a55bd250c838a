/**
 * @file leaf_directory.cpp
 * Merges leaf registrations from the store and from peers.
 */
#include "serving/leaf_directory_base.h"

#include <algorithm>
#include <set>
#include <utility>

namespace monsooncroft::serving {

namespace {

/** Removed ids that are remembered; those of the lowest revisions are dropped
 * first. */
constexpr std::size_t kMaxRemovedIds = 4'096;
/** Ranges of skipped revisions that are remembered; the history begins after
 * older ones. */
constexpr std::size_t kMaxSkippedRanges = 128;

/** A later registration of a known leaf. If it is the first one of a later era,
 * it may be from a copy that is older than the known one: then a drain of the
 * same incarnation, or a later incarnation, stays known. */
leaf_registration
MergeLaterEra(const leaf_registration& aKnown, leaf_registration aLater)
{
  if (aKnown.mRevision.Era() == aLater.mRevision.Era()) {
    return aLater;
  }
  if (aKnown.mIncarnation > aLater.mIncarnation) {
    const model::store_revision revision = aLater.mRevision;
    aLater = aKnown;
    aLater.mRevision = revision;
  } else if (aKnown.mIncarnation == aLater.mIncarnation) {
    aLater.mDraining = aLater.mDraining || aKnown.mDraining;
  }
  return aLater;
}

} // namespace

void
leaf_directory::Put(const leaf_registration& aLeaf,
                    model::store_revision aSeenAt)
{
  // A peer may know a leaf from a change beyond its own revision.
  aSeenAt = std::max(aSeenAt, aLeaf.mRevision);
  if (aSeenAt >= mKnownRevisions.At(aLeaf.mId)) {
    Merge(aLeaf, aSeenAt);
  }
}

void
leaf_directory::Merge(const leaf_registration& aLeaf,
                      model::store_revision aSeenAt)
{
  const auto missing = mMissingRevisions.find(aLeaf.mId);
  const bool returned =
    missing != mMissingRevisions.end() && missing->second <= aSeenAt;
  if (returned) {
    mMissingRevisions.erase(missing);
  }
  const auto removed = mRemovedLeaves.find(aLeaf.mId);
  if (removed != mRemovedLeaves.end()) {
    // A registration that expired in an outage of the store may return with its
    // old revision, so the revision at which it was seen decides.
    if (removed->second.mRevision > aSeenAt) {
      return;
    }
    if (MayPrecedeRemoval(removed->second, aLeaf, aSeenAt)) {
      mRestoredLeaves.try_emplace(aLeaf.mId, known_leaf{ aLeaf, aSeenAt });
      return;
    }
    mRemovedLeaves.erase(removed);
    mRestoredLeaves.erase(aLeaf.mId);
  }
  const auto [place, inserted] =
    mLeaves.try_emplace(aLeaf.mId, known_leaf{ aLeaf, aSeenAt });
  if (!inserted) {
    if (returned) {
      place->second.mSeenAt = aSeenAt; // Peers know the leaf as missing.
    }
    const leaf_registration known = place->second.mRegistration;
    if (known.mRevision >= aLeaf.mRevision) {
      return;
    }
    place->second = { MergeLaterEra(known, aLeaf), aSeenAt };
    if (known.EqualsIgnoringHeartbeat(place->second.mRegistration)) {
      return;
    }
  }
  mPendingChanges.mChangedLeaves.push_back(place->second.mRegistration);
}

bool
leaf_directory::MayPrecedeRemoval(const removed_leaf& aRemoval,
                                  const leaf_registration& aLeaf,
                                  model::store_revision aSeenAt) const
{
  if (aRemoval.mRevision.Era() == aSeenAt.Era() ||
      aLeaf.mIncarnation > aRemoval.mIncarnation || aLeaf.mIncarnation == 0) {
    return false;
  }
  const auto before = mRestoredLeaves.find(aLeaf.mId);
  return before == mRestoredLeaves.end() ||
         before->second.mRegistration.mRevision == aLeaf.mRevision;
}

void
leaf_directory::SetCompleteAt(model::instant aTime)
{
  mLastCompleteTime = std::max(mLastCompleteTime.value_or(aTime), aTime);
  if (mRestoredLeaves.empty() || !mStoreRestoredAt ||
      *mLastCompleteTime - *mStoreRestoredAt < mSettings.mRestoredCopyPeriod) {
    return;
  }
  const auto restored = std::exchange(mRestoredLeaves, {});
  for (const auto& [id, leaf] : restored) {
    mRemovedLeaves.erase(id);
    Merge(leaf.mRegistration, leaf.mSeenAt);
  }
}

void
leaf_directory::UpdateEra(model::store_revision aRevision, model::instant aNow)
{
  if (aRevision.Era() <= mRevision.Era()) {
    return;
  }
  mStoreRestoredAt = aNow;
  mHistoryStart = aRevision;
  mRestoredLeaves.clear();
  if (mRevision != model::store_revision()) {
    mStoreRecoveredAt = aNow;
  }
}

void
leaf_directory::OnStoreFailure(model::instant aBegunAt)
{
  // The store has answered another instance since an earlier call began.
  if (!mFirstFailureTime && (!mLastReadTime || aBegunAt > *mLastReadTime)) {
    mFirstFailureTime = aBegunAt;
  }
}

bool
leaf_directory::IsOutage(model::instant aNow) const
{
  return mLastReadTime && mFirstFailureTime && *mFirstFailureTime <= aNow &&
         aNow - *mLastReadTime > mSettings.mStoreOutageAfter;
}

std::chrono::milliseconds
leaf_directory::ReregistrationTime(model::instant aNow) const
{
  if (!mStoreRecoveredAt) {
    return std::chrono::milliseconds(0);
  }
  return std::max(
    std::chrono::milliseconds(0),
    std::chrono::ceil<std::chrono::milliseconds>(
      *mStoreRecoveredAt + mSettings.mReregistrationPeriod - aNow));
}

bool
leaf_directory::UpdateReregistrationPeriod(model::instant aNow)
{
  // The first read or delta after an outage starts the period.
  if (IsOutage(aNow)) {
    mStoreRecoveredAt = aNow;
  }
  return ReregistrationTime(aNow) > std::chrono::milliseconds(0);
}

void
leaf_directory::JoinReregistrationPeriod(const directory_delta& aDelta,
                                         model::instant aNow)
{
  const bool readInOutage =
    mLastReadTime && aNow - *mLastReadTime <= mSettings.mStoreOutageAfter;
  if (!readInOutage && aDelta.mReregistrationTime > ReregistrationTime(aNow)) {
    mStoreRecoveredAt =
      aNow +
      std::min(aDelta.mReregistrationTime, mSettings.mReregistrationPeriod) -
      mSettings.mReregistrationPeriod;
  }
}

bool
leaf_directory::OnStoreRead(model::instant aNow)
{
  const bool keepMissing = UpdateReregistrationPeriod(aNow);
  if (mLastReadTime && aNow - *mLastReadTime > mSettings.mStoreOutageAfter) {
    mReadGap = { aNow - *mLastReadTime, IsOutage(aNow) };
  }
  mLastReadTime = std::max(mLastReadTime.value_or(aNow), aNow);
  if (mFirstFailureTime && *mFirstFailureTime <= aNow) {
    mFirstFailureTime.reset();
  }
  return keepMissing;
}

bool
leaf_directory::Remove(const std::string& aId, model::store_revision aRevision)
{
  removed_leaf removed{ aRevision, 0 };
  const auto found = mLeaves.find(aId);
  if (found != mLeaves.end()) {
    if (found->second.mRegistration.mRevision > aRevision) {
      return false;
    }
    removed.mIncarnation = found->second.mRegistration.mIncarnation;
    mLeaves.erase(found);
    // Receivers apply removals first.
    std::erase_if(
      mPendingChanges.mChangedLeaves,
      [&](const leaf_registration& aLeaf) { return aLeaf.mId == aId; });
    mPendingChanges.mRemovedIds.push_back(aId);
  }
  if (const auto restored = mRestoredLeaves.find(aId);
      restored != mRestoredLeaves.end()) {
    if (restored->second.mSeenAt > aRevision) {
      return false;
    }
    mRestoredLeaves.erase(restored);
  }
  // Also for a leaf that was not known: peers may know it.
  const auto [place, inserted] = mRemovedLeaves.try_emplace(aId, removed);
  if (!inserted) {
    place->second.mRevision = std::max(place->second.mRevision, aRevision);
    if (removed.mIncarnation != 0) {
      place->second.mIncarnation = removed.mIncarnation;
    }
  }
  if (mRemovedLeaves.size() > kMaxRemovedIds) {
    const auto oldest = std::min_element(
      mRemovedLeaves.begin(),
      mRemovedLeaves.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mRevision < aRight.second.mRevision;
      });
    mHistoryStart = std::max(mHistoryStart, oldest->second.mRevision);
    mRemovedLeaves.erase(oldest);
  }
  return true;
}

void
leaf_directory::OnMissing(const std::string& aId,
                          model::store_revision aRevision,
                          bool aKeep)
{
  const model::store_revision known = mKnownRevisions.At(aId);
  if (aRevision < known) {
    // Peers may know a leaf that came and left between the revisions.
    if (!mLeaves.contains(aId) && !mRestoredLeaves.contains(aId)) {
      Remove(aId, known);
    }
  } else if (aKeep) {
    mRestoredLeaves.erase(aId);
    mMissingRevisions[aId] = aRevision;
  } else {
    Remove(aId, aRevision);
  }
}

std::optional<directory_delta>
leaf_directory::OnSnapshot(const directory_snapshot& aSnapshot,
                           model::instant aNow)
{
  const key_revisions revisions = aSnapshot.Revisions();
  if (revisions.AllBelow(mKnownRevisions)) {
    return std::nullopt;
  }
  const bool complete = !revisions.AnyBelow(mKnownRevisions);
  UpdateEra(revisions.Greatest(), aNow);
  const bool keepMissing = OnStoreRead(aNow);
  if (mRevision == model::store_revision()) {
    mHistoryStart = revisions.Greatest();
  }
  const key_revisions base = DeltaBase();
  std::set<std::string> present;
  for (const leaf_registration& leaf : aSnapshot.mLeaves) {
    present.insert(leaf.mId);
    Put(leaf, revisions.At(leaf.mId));
  }
  std::vector<std::string> missing;
  for (const auto* leaves : { &mLeaves, &mRestoredLeaves }) {
    for (const auto& [id, leaf] : *leaves) {
      if (!present.contains(id)) {
        missing.push_back(id);
      }
    }
  }
  for (const std::string& id : missing) {
    OnMissing(id, revisions.At(id), keepMissing);
  }
  SkipTo(revisions);
  if (complete) {
    SetCompleteAt(aNow);
  }
  directory_delta delta = MakeDelta(base);
  delta.mReregistrationTime = ReregistrationTime(aNow);
  return delta;
}

directory_delta
leaf_directory::OnWatch(const directory_delta& aChanges, model::instant aNow)
{
  const bool keepMissing = OnStoreRead(aNow);
  const key_revisions base = DeltaBase();
  for (const leaf_registration& leaf : aChanges.mChangedLeaves) {
    Put(leaf, aChanges.mRevision);
  }
  for (const std::string& id : aChanges.mRemovedIds) {
    OnMissing(id, aChanges.mRevision, keepMissing);
  }
  RaiseRevisions(aChanges.mRevision);
  SetCompleteAt(aNow);
  directory_delta delta = MakeDelta(base);
  delta.mReregistrationTime = ReregistrationTime(aNow);
  return delta;
}

void
leaf_directory::RemoveMissing(model::instant aNow)
{
  if (mMissingRevisions.empty() || UpdateReregistrationPeriod(aNow)) {
    return;
  }
  for (const auto& [id, revision] : mMissingRevisions) {
    Remove(id, revision);
  }
  mMissingRevisions.clear();
}

void
leaf_directory::ApplyDelta(const directory_delta& aDelta, bool aKeepMissing)
{
  const auto revisionOf =
    [&, revisions = aDelta.Revisions()](const std::string& aId) {
      const auto later = aDelta.mLaterRevisions.find(aId);
      return later == aDelta.mLaterRevisions.end()
               ? revisions.At(aId)
               : std::max(revisions.At(aId), later->second);
    };
  for (const leaf_registration& leaf : aDelta.mChangedLeaves) {
    Put(leaf, revisionOf(leaf.mId));
  }
  for (const std::string& id : aDelta.mRemovedIds) {
    OnMissing(id, revisionOf(id), aKeepMissing);
  }
  for (const std::string& id : aDelta.mMissingIds) {
    if (revisionOf(id) >= mKnownRevisions.At(id)) {
      OnMissing(id, revisionOf(id), true); // Also if unknown: peers ask.
    }
  }
}

void
leaf_directory::ApplyNewerRanges(const directory_delta& aDelta)
{
  if (!aDelta.Revisions().AllBelow(mKnownRevisions)) {
    ApplyDelta(aDelta, false);
  }
}

void
leaf_directory::RaiseRevisions(const key_revisions& aRevisions)
{
  mKnownRevisions.Raise(aRevisions);
  mRevision = mKnownRevisions.Least();
}

void
leaf_directory::SkipTo(const key_revisions& aRevisions)
{
  const model::store_revision before = mRevision;
  const model::store_revision greatest = aRevisions.Greatest();
  RaiseRevisions(aRevisions);
  if (mRevision.Era() != before.Era()) {
    mSkippedRevisions.clear();
  } else if (greatest > before) {
    mSkippedRevisions.emplace_back(before, greatest);
  }
  if (mSkippedRevisions.size() > kMaxSkippedRanges) {
    mHistoryStart = std::max(mHistoryStart, mSkippedRevisions.front().second);
    mSkippedRevisions.pop_front();
  }
}

bool
leaf_directory::KnowsRemovalsSince(const key_revisions& aBase) const
{
  const model::store_revision base = aBase.Least();
  // Revisions of ranges are those that this directory had itself.
  return base >= mHistoryStart && base.Era() == mRevision.Era() &&
         (!aBase.IsUniform() || std::none_of(mSkippedRevisions.begin(),
                                             mSkippedRevisions.end(),
                                             [&](const auto& aRange) {
                                               return base > aRange.first &&
                                                      base < aRange.second;
                                             }));
}

bool
leaf_directory::AdvanceTo(const directory_delta& aDelta)
{
  if (aDelta.mRevision == mRevision) {
    return true;
  }
  // A leaf that came after the base and has left is not in the delta.
  if (aDelta.mBaseRevision != mRevision ||
      mKnownRevisions.AnyBelow(aDelta.BaseRevisions())) {
    return false;
  }
  RemoveUnlisted(aDelta);
  // The sender may have skipped revisions in between.
  SkipTo(aDelta.Revisions());
  return true;
}

void
leaf_directory::RemoveUnlisted(const directory_delta& aDelta)
{
  std::set<std::string> listed(aDelta.mMissingIds.begin(),
                               aDelta.mMissingIds.end());
  for (const leaf_registration& leaf : aDelta.mChangedLeaves) {
    listed.insert(leaf.mId);
  }
  const key_revisions revisions = aDelta.Revisions();
  const key_revisions base = aDelta.BaseRevisions();
  std::vector<std::string> unlisted;
  for (const auto& [id, leaf] : mLeaves) {
    const model::store_revision revision = leaf.mRegistration.mRevision;
    if (revision > base.At(id) && revision <= revisions.At(id) &&
        revisions.At(id) >= mKnownRevisions.At(id) && !listed.contains(id)) {
      unlisted.push_back(id);
    }
  }
  for (const std::string& id : unlisted) {
    Remove(id, revisions.At(id));
  }
}

bool
leaf_directory::Replace(const directory_delta& aDelta, model::instant aReadAt)
{
  if (aDelta.mBaseRevision != model::store_revision()) {
    return false;
  }
  directory_snapshot snapshot{ aDelta.mRevision,
                               aDelta.mChangedLeaves,
                               aDelta.mRanges };
  std::erase_if(snapshot.mLeaves, [&](const leaf_registration& aLeaf) {
    return mRemovedLeaves.contains(aLeaf.mId) &&
           std::find(aDelta.mMissingIds.begin(),
                     aDelta.mMissingIds.end(),
                     aLeaf.mId) != aDelta.mMissingIds.end();
  });
  OnSnapshot(snapshot, aReadAt);
  for (const std::string& id : aDelta.mRemovedIds) {
    const auto later = aDelta.mLaterRevisions.find(id);
    if (later != aDelta.mLaterRevisions.end()) {
      OnMissing(id, later->second, false);
    }
  }
  for (const std::string& id : aDelta.mMissingIds) {
    mMissingRevisions[id] = aDelta.mRevision;
  }
  return true;
}

bool
leaf_directory::OnDelta(const directory_delta& aDelta, model::instant aNow)
{
  if (IsOutdated(aDelta)) {
    ApplyNewerRanges(aDelta);
    return true;
  }
  JoinReregistrationPeriod(aDelta, aNow);
  if (Replace(aDelta, aNow)) {
    return true;
  }
  ApplyDelta(aDelta, UpdateReregistrationPeriod(aNow));
  // A peer may be the first to reach the store after an outage.
  OnStoreRead(aNow);
  if (!AdvanceTo(aDelta)) {
    return false;
  }
  SetCompleteAt(aNow);
  return true;
}

bool
leaf_directory::OnPulledChanges(const directory_delta& aDelta,
                                std::optional<model::instant> aCompleteAt)
{
  if (IsOutdated(aDelta)) {
    ApplyNewerRanges(aDelta);
    return true;
  }
  if (aCompleteAt) {
    JoinReregistrationPeriod(aDelta, *aCompleteAt);
    if (Replace(aDelta, *aCompleteAt)) {
      return true;
    }
  }
  const bool showsRead =
    aCompleteAt && (!mLastReadTime || *aCompleteAt > *mLastReadTime);
  ApplyDelta(aDelta, showsRead && UpdateReregistrationPeriod(*aCompleteAt));
  if (showsRead) {
    OnStoreRead(*aCompleteAt);
  }
  if (!AdvanceTo(aDelta)) {
    return false;
  }
  if (aCompleteAt) {
    SetCompleteAt(*aCompleteAt);
  }
  return true;
}

key_revisions
leaf_directory::DeltaBase() const
{
  return mRevision < mHistoryStart ? mHistoryStart : mKnownRevisions;
}

directory_delta
leaf_directory::ChangesSince(model::store_revision aRevision) const
{
  return MakeDelta(aRevision);
}

directory_delta
leaf_directory::MakeDelta(const key_revisions& aBase) const
{
  const model::store_revision base = aBase.Least();
  directory_delta delta;
  const bool knowsRemovals = KnowsRemovalsSince(aBase);
  if (knowsRemovals) {
    delta.mBaseRevision = base;
    delta.mBaseRanges = aBase.IsUniform() ? key_revisions() : aBase;
  }
  delta.mRevision = mRevision;
  if (!mKnownRevisions.IsUniform()) {
    delta.mRanges = mKnownRevisions;
  }
  const auto addRevision = [&](const std::string& aId,
                               model::store_revision aKnownAt) {
    if (aKnownAt > mKnownRevisions.At(aId)) {
      delta.mLaterRevisions[aId] = aKnownAt;
    }
  };
  for (const auto* leaves : { &mLeaves, &mRestoredLeaves }) {
    for (const auto& [id, leaf] : *leaves) {
      // A peer that has removed a missing leaf must not get it back.
      if (base != model::store_revision() && mMissingRevisions.contains(id)) {
        continue;
      }
      if (knowsRemovals ? leaf.mSeenAt > aBase.At(id) : IsOfThisEra(leaf)) {
        delta.mChangedLeaves.push_back(leaf.mRegistration);
        if (leaf.mSeenAt > leaf.mRegistration.mRevision) {
          addRevision(id, leaf.mSeenAt);
        }
      }
    }
  }
  for (const auto& [id, removed] : mRemovedLeaves) {
    if (removed.mRevision > aBase.At(id)) {
      delta.mRemovedIds.push_back(id);
      addRevision(id, removed.mRevision);
    }
  }
  for (const auto& [id, revision] : mMissingRevisions) {
    const auto leaf = mLeaves.find(id);
    // Those of an earlier era are missing for all peers of this one.
    if (leaf == mLeaves.end() || IsOfThisEra(leaf->second)) {
      delta.mMissingIds.push_back(id);
      addRevision(id, revision);
    }
  }
  return delta;
}

leaf_directory::changes
leaf_directory::TakeChanges()
{
  changes out = std::move(mPendingChanges);
  mPendingChanges = {};
  return out;
}

} // namespace monsooncroft::serving
