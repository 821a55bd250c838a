/**
 * @file leaf_directory.cpp
 * Merging registrations.
 */
#include "serving/leaf_directory_base.h"

#include <set>

namespace monsooncroft::serving {

bool
leaf_directory::Put(const leaf_entry& aEntry)
{
  const auto gone = mGone.find(aEntry.mId);
  if (gone != mGone.end()) {
    if (gone->second >= aEntry.mRevision) {
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
      return false;
    }
  }
  mPending.mChanged.push_back(aEntry);
  return true;
}

bool
leaf_directory::KeepsMissing(model::instant aNow)
{
  if (mLastComplete && aNow - *mLastComplete > mTerms.mAwayAfter) {
    mStoreBack = aNow;
  }
  return mStoreBack && aNow - *mStoreBack < mTerms.mReturnTime;
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
    if (Put(entry)) {
      delta.mChanged.push_back(entry);
    }
  }
  for (auto place = mEntries.begin(); place != mEntries.end();) {
    if (present.contains(place->first) || keeps ||
        place->second.mRevision > aRead.mRevision) {
      ++place;
      continue;
    }
    delta.mRemoved.push_back(place->first);
    mPending.mRemoved.push_back(place->first);
    mGone[place->first] = aRead.mRevision;
    place = mEntries.erase(place);
  }
  mRevision = aRead.mRevision;
  mLastComplete = aNow;
  return delta;
}

bool
leaf_directory::OnDelta(const directory_delta& aDelta, model::instant aNow)
{
  for (const leaf_entry& entry : aDelta.mChanged) {
    Put(entry);
  }
  for (const std::string& id : aDelta.mRemoved) {
    const auto found = mEntries.find(id);
    if (found != mEntries.end() &&
        found->second.mRevision <= aDelta.mRevision) {
      mEntries.erase(found);
      mPending.mRemoved.push_back(id);
      mGone[id] = aDelta.mRevision;
    }
  }
  if (mRevision == 0 || aDelta.mSince > mRevision) {
    return false;
  }
  if (aDelta.mRevision >= mRevision) {
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
