/**
 * @file leaf_directory.cpp
 * Merging registrations.
 */
#include "serving/leaf_directory_base.h"

#include <algorithm>
#include <set>

namespace monsooncroft::serving {

namespace {

/** Ids that are remembered as gone; the oldest ones are forgotten first. */
constexpr std::size_t kMostGone = 4'096;

} // namespace

bool
leaf_directory::Put(const leaf_registration& aEntry, std::uint64_t aSeenAt)
{
  const auto gone = mRemovedRevisions.find(aEntry.mId);
  if (gone != mRemovedRevisions.end()) {
    // A registration that lapsed with the store and returned may have the
    // revision that it had.
    if (gone->second > aSeenAt) {
      return false;
    }
    mRemovedRevisions.erase(gone);
  }
  const auto [place, fresh] = mLeaves.try_emplace(aEntry.mId, aEntry);
  if (!fresh) {
    if (place->second.mRevision >= aEntry.mRevision) {
      return false;
    }
    const bool same = place->second.EqualsIgnoringHeartbeat(aEntry);
    place->second = aEntry;
    if (same) {
      // Peers need the revision still: it shows that the leaf is there.
      return true;
    }
  }
  mPendingChanges.mChangedLeaves.push_back(aEntry);
  return true;
}

bool
leaf_directory::UpdateReregistrationPeriod(model::instant aNow)
{
  // The first word after a long silence begins the time to return.
  if (mLastCompleteTime &&
      aNow - *mLastCompleteTime > mSettings.mStoreOutageAfter) {
    mStoreRecoveredAt = aNow;
  }
  return mStoreRecoveredAt &&
         aNow - *mStoreRecoveredAt < mSettings.mReregistrationPeriod;
}

bool
leaf_directory::Remove(const std::string& aId, std::uint64_t aRevision)
{
  const auto found = mLeaves.find(aId);
  if (found == mLeaves.end() || found->second.mRevision > aRevision) {
    return false;
  }
  mLeaves.erase(found);
  mPendingChanges.mRemovedIds.push_back(aId);
  mRemovedRevisions[aId] = aRevision;
  if (mRemovedRevisions.size() > kMostGone) {
    mRemovedRevisions.erase(
      std::min_element(mRemovedRevisions.begin(),
                       mRemovedRevisions.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       }));
  }
  return true;
}

std::optional<directory_delta>
leaf_directory::OnSnapshot(const directory_snapshot& aRead, model::instant aNow)
{
  if (aRead.mRevision < mRevision) {
    return std::nullopt;
  }
  const bool keeps = UpdateReregistrationPeriod(aNow);
  directory_delta delta{ mRevision, aRead.mRevision, {}, {} };
  std::set<std::string> present;
  for (const leaf_registration& entry : aRead.mLeaves) {
    present.insert(entry.mId);
    mMissingRevisions.erase(entry.mId);
    if (Put(entry, aRead.mRevision)) {
      delta.mChangedLeaves.push_back(entry);
    }
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : mLeaves) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    if (keeps) {
      mMissingRevisions[id] = aRead.mRevision;
    } else if (Remove(id, aRead.mRevision)) {
      delta.mRemovedIds.push_back(id);
    }
  }
  mRevision = aRead.mRevision;
  mLastCompleteTime = aNow;
  return delta;
}

directory_delta
leaf_directory::OnWatch(const directory_delta& aChanges, model::instant aNow)
{
  const bool keeps = UpdateReregistrationPeriod(aNow);
  directory_delta delta{ mRevision, aChanges.mRevision, {}, {} };
  for (const leaf_registration& entry : aChanges.mChangedLeaves) {
    mMissingRevisions.erase(entry.mId);
    if (Put(entry, aChanges.mRevision)) {
      delta.mChangedLeaves.push_back(entry);
    }
  }
  for (const std::string& id : aChanges.mRemovedIds) {
    if (keeps) {
      mMissingRevisions[id] = aChanges.mRevision;
    } else if (Remove(id, aChanges.mRevision)) {
      delta.mRemovedIds.push_back(id);
    }
  }
  mRevision = std::max(mRevision, aChanges.mRevision);
  mLastCompleteTime = aNow;
  return delta;
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

bool
leaf_directory::OnDelta(const directory_delta& aDelta, model::instant aNow)
{
  for (const leaf_registration& entry : aDelta.mChangedLeaves) {
    Put(entry, aDelta.mRevision);
  }
  for (const std::string& id : aDelta.mRemovedIds) {
    Remove(id, aDelta.mRevision);
  }
  if (mRevision == 0 || aDelta.mBaseRevision > mRevision) {
    return false;
  }
  if (aDelta.mRevision >= mRevision) {
    UpdateReregistrationPeriod(
      aNow); // A peer may be the first to hear of the store again.
    mRevision = aDelta.mRevision;
    mLastCompleteTime = aNow;
  }
  return true;
}

leaf_directory::changes
leaf_directory::TakeChanges()
{
  changes out = std::move(mPendingChanges);
  mPendingChanges = {};
  return out;
}

} // namespace monsooncroft::serving
