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

} // namespace

void
leaf_directory::Put(const leaf_registration& aLeaf, std::uint64_t aSeenAt)
{
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
  mLastReadTime = aNow;
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
    mMissingRevisions.erase(leaf.mId);
    Put(leaf, aSnapshot.mRevision);
  }
  std::vector<std::string> missing;
  for (const auto& [id, leaf] : mLeaves) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    if (keepMissing) {
      mMissingRevisions[id] = aSnapshot.mRevision;
    } else {
      Remove(id, aSnapshot.mRevision);
    }
  }
  mRevision = aSnapshot.mRevision;
  mLastCompleteTime = aNow;
  if (!mMissingRevisions.empty()) {
    mHistoryStart = mRevision;
  }
  return ChangesSince(base);
}

directory_delta
leaf_directory::OnWatch(const directory_delta& aChanges, model::instant aNow)
{
  const bool keepMissing = OnStoreRead(aNow);
  const std::uint64_t base = mRevision;
  for (const leaf_registration& leaf : aChanges.mChangedLeaves) {
    mMissingRevisions.erase(leaf.mId);
    Put(leaf, aChanges.mRevision);
  }
  for (const std::string& id : aChanges.mRemovedIds) {
    if (keepMissing) {
      mMissingRevisions[id] = aChanges.mRevision;
    } else {
      Remove(id, aChanges.mRevision);
    }
  }
  mRevision = std::max(mRevision, aChanges.mRevision);
  mLastCompleteTime = aNow;
  if (!mMissingRevisions.empty()) {
    mHistoryStart = mRevision;
  }
  return ChangesSince(base);
}

std::optional<directory_delta>
leaf_directory::RemoveMissing(model::instant aNow)
{
  if (mMissingRevisions.empty() || UpdateReregistrationPeriod(aNow)) {
    return std::nullopt;
  }
  directory_delta delta{ mRevision, mRevision, {}, {} };
  for (const auto& [id, revision] : mMissingRevisions) {
    if (Remove(id, revision)) {
      delta.mRemovedIds.push_back(id);
    }
  }
  mMissingRevisions.clear();
  return delta;
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
}

bool
leaf_directory::AdvanceTo(const directory_delta& aDelta)
{
  if (aDelta.mBaseRevision > mRevision) {
    return false;
  }
  if (mRevision == 0) {
    mHistoryStart = aDelta.mRevision;
  }
  mRevision = std::max(mRevision, aDelta.mRevision);
  return true;
}

bool
leaf_directory::OnDelta(const directory_delta& aDelta, model::instant aNow)
{
  if (IsOutdated(aDelta)) {
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
  // A peer that knows no leaf needs no removals, but must not learn of leaves
  // whose removal is yet to come as if they were complete.
  const bool knowsAll = aRevision == 0 && mMissingRevisions.empty();
  delta.mBaseRevision = knowsAll ? 0 : std::max(aRevision, mHistoryStart);
  delta.mRevision = mRevision;
  for (const auto& [id, leaf] : mLeaves) {
    if (leaf.mSeenAt > aRevision) {
      delta.mChangedLeaves.push_back(leaf.mRegistration);
    }
  }
  for (const auto& [id, revision] : mRemovedRevisions) {
    if (revision > aRevision) {
      delta.mRemovedIds.push_back(id);
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
