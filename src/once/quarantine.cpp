/**
 * @file quarantine.cpp
 * Decides on requests by the crashes during which they were in flight.
 */
#include "once/quarantine_base.h"

#include <xxhash.h>

#include <algorithm>

namespace monsooncroft::once {

namespace {

constexpr std::size_t kHashDigits = 32;
/** Number of crashes that makes a request a suspect but is not yet proof. */
constexpr std::size_t kMaxSuspectCrashes = 1;

} // namespace

crash_hash
HashCrash(const model::leaf_id& aLeaf, const std::string& aBootId)
{
  const std::string& leaf = aLeaf.Value();
  const std::string text = std::to_string(leaf.size()) + ':' + leaf + aBootId;
  const auto hash = XXH3_128bits(text.data(), text.size());
  return { hash.high64, hash.low64 };
}

std::string
CrashMarkName(const crash_mark& aMark)
{
  return ToHex(aMark.mSuspicion.mContent) + ToHex(aMark.mSuspicion.mCrash);
}

std::optional<suspicion>
ParseCrashMarkName(const std::string& aName, const model::service_id& aService)
{
  if (aName.size() != 2 * kHashDigits) {
    return std::nullopt;
  }
  const std::string_view name = aName;
  const auto content = ParseRequestHash(name.substr(0, kHashDigits));
  const auto crash = ParseRequestHash(name.substr(kHashDigits));
  if (!content || !crash) {
    return std::nullopt;
  }
  return suspicion{ { content->mHigh, content->mLow },
                    { crash->mHigh, crash->mLow },
                    aService };
}

std::string
ScreeningKey(screening_permit aPermit,
             const content_hash& aContent,
             const model::service_id& aService)
{
  if (aPermit == screening_permit::Isolated) {
    return "trial/" + aService.Value();
  }
  return "first/" + ToHex(aContent);
}

std::set<crash_hash>
quarantine::CrashesOf(const content_hash& aContent,
                      model::wall_instant aWall) const
{
  std::set<crash_hash> out;
  const mark_key from{ aContent, {} };
  for (auto it = mMarks.lower_bound(from); it != mMarks.end(); ++it) {
    if (it->first.first != aContent) {
      break;
    }
    if (!it->second.mCleared && it->second.mExpires > aWall) {
      out.insert(it->first.second);
    }
  }
  for (auto it = mOpenSuspicions.lower_bound(from); it != mOpenSuspicions.end();
       ++it) {
    if (it->first != aContent) {
      break;
    }
    out.insert(it->second);
  }
  return out;
}

std::set<content_hash>
quarantine::SuspectsOf(const crash_hash& aCrash,
                       model::wall_instant aWall) const
{
  std::set<content_hash> out;
  for (const auto& [key, mark] : mMarks) {
    if (key.second == aCrash && !mark.mCleared && mark.mExpires > aWall) {
      out.insert(key.first);
    }
  }
  return out;
}

bool
quarantine::CrashedLeafAlone(const content_hash& aContent,
                             model::wall_instant aWall) const
{
  const std::set<crash_hash> crashes = CrashesOf(aContent, aWall);
  return crashes.size() > kMaxSuspectCrashes &&
         std::any_of(crashes.begin(), crashes.end(), [&](const auto& aCrash) {
           return SuspectsOf(aCrash, aWall) == std::set{ aContent };
         });
}

std::size_t
quarantine::UnexplainedCrashes(const content_hash& aContent,
                               model::wall_instant aWall) const
{
  std::size_t count = 0;
  for (const crash_hash& crash : CrashesOf(aContent, aWall)) {
    const auto suspects = SuspectsOf(crash, aWall);
    const bool explained =
      std::any_of(suspects.begin(), suspects.end(), [&](const auto& aOther) {
        return aOther != aContent && CrashedLeafAlone(aOther, aWall);
      });
    count += explained ? 0 : 1;
  }
  return count;
}

bool
quarantine::NeedsScreening(const content_hash& aContent,
                           const model::service_id& aService,
                           model::wall_instant aWall) const
{
  if (mSettings.mScreening == screening_mode::Never ||
      mHarmless.count(aContent) != 0) {
    return false;
  }
  return mSettings.mScreening == screening_mode::Always ||
         std::any_of(mMarks.begin(), mMarks.end(), [&](const auto& aEntry) {
           const crash_mark& mark = aEntry.second;
           return mark.mSuspicion.mService == aService && mark.mExpires > aWall;
         });
}

screening_permit
quarantine::Admit(const content_hash& aContent,
                  const model::service_id& aService,
                  model::wall_instant aWall) const
{
  const std::size_t crashes = CrashesOf(aContent, aWall).size();
  if (crashes == 0) {
    return NeedsScreening(aContent, aService, aWall)
             ? screening_permit::FirstShardAlone
             : screening_permit::Unrestricted;
  }
  const bool proved =
    crashes > kMaxSuspectCrashes &&
    (CrashedLeafAlone(aContent, aWall) ||
     UnexplainedCrashes(aContent, aWall) > kMaxSuspectCrashes);
  return proved ? screening_permit::Refused : screening_permit::Isolated;
}

bool
quarantine::HasUnclearedMarks(const content_hash& aContent) const
{
  for (auto position = mMarks.lower_bound({ aContent, {} });
       position != mMarks.end() && position->first.first == aContent;
       ++position) {
    if (!position->second.mCleared) {
      return true;
    }
  }
  return false;
}

std::vector<crash_mark>
quarantine::UnexpiredMarks(model::wall_instant aWall) const
{
  std::vector<crash_mark> out;
  for (const auto& [key, mark] : mMarks) {
    if (mark.mExpires > aWall) {
      out.push_back(mark);
    }
  }
  return out;
}

} // namespace monsooncroft::once
