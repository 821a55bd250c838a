/**
 * @file quarantine_cmd.cpp
 * What changes the quarantine.
 */
#include "once/quarantine_base.h"

#include <algorithm>

namespace monsooncroft::once {

quarantine::quarantine(quarantine_settings aSettings)
  : mSettings(aSettings)
{
}

void
quarantine::Doubt(const suspicion& aSuspicion)
{
  mDoubts.insert({ aSuspicion.mContent, aSuspicion.mDeath });
}

void
quarantine::Dismiss(const suspicion& aSuspicion)
{
  mDoubts.erase({ aSuspicion.mContent, aSuspicion.mDeath });
}

death_mark
quarantine::Confirm(const suspicion& aSuspicion, model::wall_instant aWall)
{
  Dismiss(aSuspicion);
  death_mark mark{ aSuspicion, false, aWall + mSettings.mTimeToLive };
  Merge(mark, aWall);
  return mark;
}

std::vector<death_mark>
quarantine::OnAnswered(const content_hash& aContent,
                       bool aAlone,
                       model::wall_instant aWall)
{
  std::vector<death_mark> cleared;
  if (Deaths(aContent, aWall).empty()) {
    Prove(aContent);
    return cleared;
  }
  if (!aAlone) {
    // It may have been answered by one leaf and killed another.
    return cleared;
  }
  for (auto& [key, mark] : mMarks) {
    if (key.first == aContent && !mark.mCleared && mark.mExpires > aWall) {
      mark.mCleared = true;
      mark.mExpires = aWall + mSettings.mTimeToLive;
      cleared.push_back(mark);
    }
  }
  Prove(aContent);
  return cleared;
}

bool
quarantine::Merge(const death_mark& aMark, model::wall_instant aWall)
{
  if (aMark.mExpires <= aWall) {
    return false;
  }
  const mark_key key{ aMark.mSuspicion.mContent, aMark.mSuspicion.mDeath };
  const auto [place, added] = mMarks.try_emplace(key, aMark);
  if (!added) {
    if (!Supersedes(aMark, place->second)) {
      return false;
    }
    place->second = aMark;
  }
  if (!aMark.mCleared && mProven.erase(aMark.mSuspicion.mContent) != 0) {
    mProvenOrder.remove(aMark.mSuspicion.mContent);
  }
  Bound();
  return true;
}

void
quarantine::OnTimer(model::wall_instant aWall)
{
  std::erase_if(mMarks, [&](const auto& aEntry) {
    return aEntry.second.mExpires <= aWall;
  });
}

void
quarantine::Prove(const content_hash& aContent)
{
  if (!mProven.insert(aContent).second) {
    return;
  }
  mProvenOrder.push_back(aContent);
  if (mProvenOrder.size() > mSettings.mMaxProven) {
    mProven.erase(mProvenOrder.front());
    mProvenOrder.pop_front();
  }
}

void
quarantine::Bound()
{
  while (mMarks.size() > mSettings.mMaxMarks) {
    // Cleared marks go first, then those that would be forgotten soonest.
    const auto least = std::min_element(
      mMarks.begin(), mMarks.end(), [](const auto& aLeft, const auto& aRight) {
        return std::make_tuple(!aLeft.second.mCleared, aLeft.second.mExpires) <
               std::make_tuple(!aRight.second.mCleared, aRight.second.mExpires);
      });
    mMarks.erase(least);
  }
}

} // namespace monsooncroft::once
