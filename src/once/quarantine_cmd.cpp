/**
 * @file quarantine_cmd.cpp
 * Operations that change the quarantine.
 */
#include "once/quarantine_base.h"

#include <algorithm>

namespace monsooncroft::once {

quarantine::quarantine(quarantine_settings aSettings)
  : mSettings(aSettings)
{
}

void
quarantine::AddSuspicion(const suspicion& aSuspicion)
{
  mOpenSuspicions.insert({ aSuspicion.mContent, aSuspicion.mCrash });
}

void
quarantine::DismissSuspicion(const suspicion& aSuspicion)
{
  mOpenSuspicions.erase({ aSuspicion.mContent, aSuspicion.mCrash });
}

crash_mark
quarantine::ConfirmSuspicion(const suspicion& aSuspicion,
                             model::wall_instant aWall)
{
  DismissSuspicion(aSuspicion);
  crash_mark mark{ aSuspicion, false, aWall + mSettings.mTimeToLive };
  Merge(mark, aWall);
  return mark;
}

std::vector<crash_mark>
quarantine::OnAnswered(const content_hash& aContent,
                       bool aAlone,
                       model::wall_instant aWall)
{
  std::vector<crash_mark> cleared;
  if (CrashesOf(aContent, aWall).empty()) {
    RecordHarmless(aContent);
    return cleared;
  }
  if (!aAlone) {
    // One leaf may have answered the request while another leaf crashed.
    return cleared;
  }
  for (auto& [key, mark] : mMarks) {
    if (key.first == aContent && !mark.mCleared && mark.mExpires > aWall) {
      mark.mCleared = true;
      mark.mExpires = aWall + mSettings.mTimeToLive;
      cleared.push_back(mark);
    }
  }
  RecordHarmless(aContent);
  return cleared;
}

std::vector<crash_mark>
quarantine::OnServiceAnswered(const content_hash& aContent,
                              const model::service_id& aService,
                              model::wall_instant aWall)
{
  std::vector<crash_mark> cleared;
  for (auto position = mMarks.lower_bound({ aContent, {} });
       position != mMarks.end() && position->first.first == aContent;
       ++position) {
    crash_mark& mark = position->second;
    if (mark.mSuspicion.mService == aService && !mark.mCleared &&
        mark.mExpires > aWall) {
      mark.mCleared = true;
      mark.mExpires = aWall + mSettings.mTimeToLive;
      cleared.push_back(mark);
    }
  }
  return cleared;
}

bool
quarantine::Merge(const crash_mark& aMark, model::wall_instant aWall)
{
  if (aMark.mExpires <= aWall) {
    return false;
  }
  const mark_key key{ aMark.mSuspicion.mContent, aMark.mSuspicion.mCrash };
  const auto [position, added] = mMarks.try_emplace(key, aMark);
  if (!added) {
    if (!Supersedes(aMark, position->second)) {
      return false;
    }
    position->second = aMark;
  }
  if (!aMark.mCleared && mHarmless.erase(aMark.mSuspicion.mContent) != 0) {
    mHarmlessOrder.remove(aMark.mSuspicion.mContent);
  }
  EvictExcessMarks();
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
quarantine::RecordHarmless(const content_hash& aContent)
{
  if (!mHarmless.insert(aContent).second) {
    return;
  }
  mHarmlessOrder.push_back(aContent);
  if (mHarmlessOrder.size() > mSettings.mMaxHarmless) {
    mHarmless.erase(mHarmlessOrder.front());
    mHarmlessOrder.pop_front();
  }
}

void
quarantine::EvictExcessMarks()
{
  while (mMarks.size() > mSettings.mMaxMarks) {
    // Cleared marks are evicted first, then the marks that expire soonest.
    const auto least = std::min_element(
      mMarks.begin(), mMarks.end(), [](const auto& aLeft, const auto& aRight) {
        return std::make_tuple(!aLeft.second.mCleared, aLeft.second.mExpires) <
               std::make_tuple(!aRight.second.mCleared, aRight.second.mExpires);
      });
    mMarks.erase(least);
  }
}

} // namespace monsooncroft::once
