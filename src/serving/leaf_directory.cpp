/**
 * @file leaf_directory.cpp
 * Merges leaf registrations from the store and from peers.
 */
#include "serving/leaf_directory_base.h"

#include <algorithm>
#include <set>

namespace monsooncroft::serving {

namespace {

/** Removed ids that are remembered; those of the lowest revisions are dropped
 * first. */
constexpr std::size_t kMaxRemovedIds = 4'096;
/** Ranges of skipped revisions that are remembered; the history begins after
 * older ones. */
constexpr std::size_t kMaxSkippedRanges = 32;

} // namespace

void
leaf_directory::Put(const leaf_registration& aLeaf, std::uint64_t aSeenAt)
{
  // A peer may know a leaf from a change beyond its own revision.
  aSeenAt = std::max(aSeenAt, aLeaf.mRevision);
  const auto missing = mMissingRevisions.find(aLeaf.mId);
  const bool returned =
    missing != mMissingRevisions.end() && missing->second <= aSeenAt;
  if (returned) {
    mMissingRevisions.erase(missing);
  }
  const auto removed = mRemovedRevisions.find(aLeaf.mId);
  if (removed != mRemovedRevisions.end()) {
    // A registration that expired in an outage of the store may return with its
    // old revision, so the revision at which it was seen decides.
    if (removed->second > aSeenAt) {
      return;
    }
    mRemovedRevisions.erase(removed);
  }
  const auto [place, inserted] =
    mLeaves.try_emplace(aLeaf.mId, known_leaf{ aLeaf, aSeenAt });
  if (!inserted) {
    if (returned) {
      place->second.mSeenAt = aSeenAt; // Peers know the leaf as missing.
    }
    const leaf_registration& known = place->second.mRegistration;
    if (known.mRevision >= aLeaf.mRevision) {
      return;
    }
    const bool same = known.EqualsIgnoringHeartbeat(aLeaf);
    place->second = { aLeaf, aSeenAt };
    if (same) {
      return;
    }
  }
  mPendingChanges.mChangedLeaves.push_back(aLeaf);
}

bool
leaf_directory::UpdateReregistrationPeriod(model::instant aNow)
{
  // The first read or delta after an outage starts the period.
  if (mLastReadTime && aNow - *mLastReadTime > mSettings.mStoreOutageAfter) {
    mStoreRecoveredAt = aNow;
  }
  return mStoreRecoveredAt &&
         aNow - *mStoreRecoveredAt < mSettings.mReregistrationPeriod;
}

bool
leaf_directory::OnStoreRead(model::instant aNow)
{
  const bool keepMissing = UpdateReregistrationPeriod(aNow);
  mLastReadTime = std::max(mLastReadTime.value_or(aNow), aNow);
  return keepMissing;
}

bool
leaf_directory::Remove(const std::string& aId, std::uint64_t aRevision)
{
  const auto found = mLeaves.find(aId);
  if (found != mLeaves.end()) {
    if (found->second.mRegistration.mRevision > aRevision) {
      return false;
    }
    mLeaves.erase(found);
    // Receivers apply removals first.
    std::erase_if(
      mPendingChanges.mChangedLeaves,
      [&](const leaf_registration& aLeaf) { return aLeaf.mId == aId; });
    mPendingChanges.mRemovedIds.push_back(aId);
  }
  // Also for a leaf that was not known: peers may know it.
  std::uint64_t& removedAt = mRemovedRevisions[aId];
  removedAt = std::max(removedAt, aRevision);
  if (mRemovedRevisions.size() > kMaxRemovedIds) {
    const auto oldest =
      std::min_element(mRemovedRevisions.begin(),
                       mRemovedRevisions.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       });
    mHistoryStart = std::max(mHistoryStart, oldest->second);
    mRemovedRevisions.erase(oldest);
  }
  return true;
}

void
leaf_directory::OnMissing(const std::string& aId,
                          std::uint64_t aRevision,
                          bool aKeep)
{
  if (aKeep) {
    mMissingRevisions[aId] = aRevision;
  } else {
    Remove(aId, aRevision);
  }
}

std::optional<directory_delta>
leaf_directory::OnSnapshot(const directory_snapshot& aSnapshot,
                           model::instant aNow)
{
  if (aSnapshot.mRevision < mRevision) {
    return std::nullopt;
  }
  const bool keepMissing = OnStoreRead(aNow);
  if (mRevision == 0) {
    mHistoryStart = aSnapshot.mRevision;
  }
  const std::uint64_t base = std::max(mRevision, mHistoryStart);
  std::set<std::string> present;
  for (const leaf_registration& leaf : aSnapshot.mLeaves) {
    present.insert(leaf.mId);
    Put(leaf, aSnapshot.mRevision);
  }
  std::vector<std::string> missing;
  for (const auto& [id, leaf] : mLeaves) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    OnMissing(id, aSnapshot.mRevision, keepMissing);
  }
  SkipTo(aSnapshot.mRevision);
  mLastCompleteTime = std::max(mLastCompleteTime.value_or(aNow), aNow);
  return ChangesSince(base);
}

directory_delta
leaf_directory::OnWatch(const directory_delta& aChanges, model::instant aNow)
{
  const bool keepMissing = OnStoreRead(aNow);
  const std::uint64_t base = mRevision;
  for (const leaf_registration& leaf : aChanges.mChangedLeaves) {
    Put(leaf, aChanges.mRevision);
  }
  for (const std::string& id : aChanges.mRemovedIds) {
    OnMissing(id, aChanges.mRevision, keepMissing);
  }
  mRevision = std::max(mRevision, aChanges.mRevision);
  mLastCompleteTime = aNow;
  return ChangesSince(base);
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
leaf_directory::ApplyDelta(const directory_delta& aDelta)
{
  for (const leaf_registration& leaf : aDelta.mChangedLeaves) {
    Put(leaf, aDelta.mRevision);
  }
  for (const std::string& id : aDelta.mRemovedIds) {
    Remove(id, aDelta.mRevision);
  }
  for (const std::string& id : aDelta.mMissingIds) {
    mMissingRevisions[id] = aDelta.mRevision; // Also if unknown: peers ask.
  }
}

void
leaf_directory::SkipTo(std::uint64_t aRevision)
{
  if (aRevision > mRevision) {
    mSkippedRevisions.emplace_back(mRevision, aRevision);
  }
  if (mSkippedRevisions.size() > kMaxSkippedRanges) {
    mHistoryStart = std::max(mHistoryStart, mSkippedRevisions.front().second);
    mSkippedRevisions.pop_front();
  }
  mRevision = aRevision;
}

bool
leaf_directory::KnowsRemovalsSince(std::uint64_t aRevision) const
{
  return aRevision >= mHistoryStart &&
         std::none_of(mSkippedRevisions.begin(),
                      mSkippedRevisions.end(),
                      [&](const auto& aRange) {
                        return aRevision > aRange.first &&
                               aRevision < aRange.second;
                      });
}

bool
leaf_directory::AdvanceTo(const directory_delta& aDelta)
{
  if (aDelta.mRevision == mRevision) {
    return true;
  }
  // A leaf that came after the base and has left is not in the delta.
  if (aDelta.mBaseRevision != mRevision) {
    return false;
  }
  RemoveUnlisted(aDelta);
  mRevision = aDelta.mRevision;
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
  std::vector<std::string> unlisted;
  for (const auto& [id, leaf] : mLeaves) {
    const std::uint64_t revision = leaf.mRegistration.mRevision;
    if (revision > aDelta.mBaseRevision && revision <= aDelta.mRevision &&
        !listed.contains(id)) {
      unlisted.push_back(id);
    }
  }
  for (const std::string& id : unlisted) {
    Remove(id, aDelta.mRevision);
  }
}

bool
leaf_directory::Replace(const directory_delta& aDelta, model::instant aReadAt)
{
  if (aDelta.mBaseRevision != 0) {
    return false;
  }
  directory_snapshot snapshot{ aDelta.mRevision, aDelta.mChangedLeaves };
  std::erase_if(snapshot.mLeaves, [&](const leaf_registration& aLeaf) {
    return mRemovedRevisions.contains(aLeaf.mId) &&
           std::find(aDelta.mMissingIds.begin(),
                     aDelta.mMissingIds.end(),
                     aLeaf.mId) != aDelta.mMissingIds.end();
  });
  OnSnapshot(snapshot, aReadAt);
  for (const std::string& id : aDelta.mMissingIds) {
    mMissingRevisions[id] = aDelta.mRevision;
  }
  return true;
}

bool
leaf_directory::OnDelta(const directory_delta& aDelta, model::instant aNow)
{
  if (IsOutdated(aDelta)) {
    return true;
  }
  if (Replace(aDelta, aNow)) {
    return true;
  }
  ApplyDelta(aDelta);
  // A peer may be the first to reach the store after an outage.
  OnStoreRead(aNow);
  if (!AdvanceTo(aDelta)) {
    return false;
  }
  mLastCompleteTime = aNow;
  return true;
}

bool
leaf_directory::OnPulledChanges(const directory_delta& aDelta,
                                std::optional<model::instant> aCompleteAt)
{
  if (IsOutdated(aDelta)) {
    return true;
  }
  if (aCompleteAt && Replace(aDelta, *aCompleteAt)) {
    return true;
  }
  ApplyDelta(aDelta);
  if (aCompleteAt && (!mLastReadTime || *aCompleteAt > *mLastReadTime)) {
    OnStoreRead(*aCompleteAt);
  }
  if (!AdvanceTo(aDelta)) {
    return false;
  }
  if (aCompleteAt &&
      (!mLastCompleteTime || *aCompleteAt > *mLastCompleteTime)) {
    mLastCompleteTime = aCompleteAt;
  }
  return true;
}

directory_delta
leaf_directory::ChangesSince(std::uint64_t aRevision) const
{
  directory_delta delta;
  const bool knowsRemovals = KnowsRemovalsSince(aRevision);
  delta.mBaseRevision = knowsRemovals ? aRevision : 0;
  delta.mRevision = mRevision;
  for (const auto& [id, leaf] : mLeaves) {
    // A peer that has removed a missing leaf must not get it back.
    if (aRevision != 0 && mMissingRevisions.contains(id)) {
      continue;
    }
    if (!knowsRemovals || leaf.mSeenAt > aRevision) {
      delta.mChangedLeaves.push_back(leaf.mRegistration);
    }
  }
  for (const auto& [id, revision] : mRemovedRevisions) {
    if (revision > aRevision) {
      delta.mRemovedIds.push_back(id);
    }
  }
  for (const auto& [id, revision] : mMissingRevisions) {
    delta.mMissingIds.push_back(id);
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
