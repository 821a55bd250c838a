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
leaf_directory::Put(const leaf_entry& aEntry, std::uint64_t aSeenAt)
{
  const auto gone = mGone.find(aEntry.mId);
  if (gone != mGone.end()) {
    // A registration that lapsed with the store and returned may have the
    // revision that it had.
    if (gone->second > aSeenAt) {
      return false;
    }
    mGone.erase(gone);
  }
  const auto [place, fresh] = mEntries.try_emplace(aEntry.mId, aEntry);
  if (!fresh) {
    if (place->second.mRevision >= aEntry.mRevision) {
      return false;
    }
    const bool same = place->second.SameLeaf(aEntry);
    place->second = aEntry;
    if (same) {
      // Peers need the revision still: it shows that the leaf is there.
      return true;
    }
  }
  mPending.mChanged.push_back(aEntry);
  return true;
}

bool
leaf_directory::KeepsMissing(model::instant aNow)
{
  // The first word after a long silence begins the time to return.
  if (mLastComplete && aNow - *mLastComplete > mTerms.mAwayAfter) {
    mStoreBack = aNow;
  }
  return mStoreBack && aNow - *mStoreBack < mTerms.mReturnTime;
}

bool
leaf_directory::Remove(const std::string& aId, std::uint64_t aRevision)
{
  const auto found = mEntries.find(aId);
  if (found == mEntries.end() || found->second.mRevision > aRevision) {
    return false;
  }
  mEntries.erase(found);
  mPending.mRemoved.push_back(aId);
  mGone[aId] = aRevision;
  if (mGone.size() > kMostGone) {
    mGone.erase(std::min_element(
      mGone.begin(), mGone.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
  return true;
}

std::optional<directory_delta>
leaf_directory::OnRead(const directory_read& aRead, model::instant aNow)
{
  if (aRead.mRevision < mRevision) {
    return std::nullopt;
  }
  const bool keeps = KeepsMissing(aNow);
  directory_delta delta{ mRevision, aRead.mRevision, {}, {} };
  std::set<std::string> present;
  for (const leaf_entry& entry : aRead.mEntries) {
    present.insert(entry.mId);
    mMissing.erase(entry.mId);
    if (Put(entry, aRead.mRevision)) {
      delta.mChanged.push_back(entry);
    }
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : mEntries) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    if (keeps) {
      mMissing[id] = aRead.mRevision;
    } else if (Remove(id, aRead.mRevision)) {
      delta.mRemoved.push_back(id);
    }
  }
  mRevision = aRead.mRevision;
  mLastComplete = aNow;
  return delta;
}

directory_delta
leaf_directory::OnWatch(const directory_delta& aChanges, model::instant aNow)
{
  const bool keeps = KeepsMissing(aNow);
  directory_delta delta{ mRevision, aChanges.mRevision, {}, {} };
  for (const leaf_entry& entry : aChanges.mChanged) {
    mMissing.erase(entry.mId);
    if (Put(entry, aChanges.mRevision)) {
      delta.mChanged.push_back(entry);
    }
  }
  for (const std::string& id : aChanges.mRemoved) {
    if (keeps) {
      mMissing[id] = aChanges.mRevision;
    } else if (Remove(id, aChanges.mRevision)) {
      delta.mRemoved.push_back(id);
    }
  }
  mRevision = std::max(mRevision, aChanges.mRevision);
  mLastComplete = aNow;
  return delta;
}

std::optional<directory_delta>
leaf_directory::Settle(model::instant aNow)
{
  if (mMissing.empty() || KeepsMissing(aNow)) {
    return std::nullopt;
  }
  directory_delta delta{ mRevision, mRevision, {}, {} };
  for (const auto& [id, revision] : mMissing) {
    if (Remove(id, revision)) {
      delta.mRemoved.push_back(id);
    }
  }
  mMissing.clear();
  return delta;
}

bool
leaf_directory::OnDelta(const directory_delta& aDelta, model::instant aNow)
{
  for (const leaf_entry& entry : aDelta.mChanged) {
    Put(entry, aDelta.mRevision);
  }
  for (const std::string& id : aDelta.mRemoved) {
    Remove(id, aDelta.mRevision);
  }
  if (mRevision == 0 || aDelta.mSince > mRevision) {
    return false;
  }
  if (aDelta.mRevision >= mRevision) {
    KeepsMissing(aNow); // A peer may be the first to hear of the store again.
    mRevision = aDelta.mRevision;
    mLastComplete = aNow;
  }
  return true;
}

leaf_directory::changes
leaf_directory::TakeChanges()
{
  changes out = std::move(mPending);
  mPending = {};
  return out;
}

} // namespace monsooncroft::serving
