/**
 * @file leaf_notice_table.cpp
 * What leaves say of themselves in their answers.
 */
#include "serving/leaf_notice_table_base.h"

#include "serving/leaf_registration_type.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Difference between the clocks of two machines, and the time an answer
 * travels. A leaf that starts again after its last answer does so later. */
constexpr std::chrono::milliseconds kMaxClockError{ 2'000 };
/** Time for which a leaf is remembered without a registration: an outage of the
 * store, or a cut, after which an old registration may be read. */
constexpr std::chrono::minutes kRetention{ 10 };

} // namespace

std::uint64_t
leaf_notice_table::StartedBy(const leaf_registration& aLeaf,
                             model::wall_instant aWallNow)
{
  const auto latest = (aWallNow - kMaxClockError).time_since_epoch().count();
  return std::max(aLeaf.mIncarnation,
                  static_cast<std::uint64_t>(std::max<long>(0, latest)));
}

bool
leaf_notice_table::SetLeaving(const std::string& aId, std::uint64_t aStartedBy)
{
  notice& known = mNotices[aId];
  const bool changed = aStartedBy > known.mLeavingStartedBy;
  known.mLeavingStartedBy = std::max(known.mLeavingStartedBy, aStartedBy);
  return changed;
}

bool
leaf_notice_table::OnLeaving(const leaf_registration& aLeaf,
                             model::wall_instant aWallNow)
{
  const bool known = IsLeaving(aLeaf);
  SetLeaving(aLeaf.mId, StartedBy(aLeaf, aWallNow));
  return !known;
}

bool
leaf_notice_table::OnReport(const leaf_departure& aReport)
{
  return SetLeaving(aReport.mLeafId, aReport.mStartedBy);
}

bool
leaf_notice_table::OnPause(const leaf_registration& aLeaf,
                           model::duration aPause,
                           model::instant aNow,
                           model::wall_instant aWallNow)
{
  const model::instant before = PausedUntil(aLeaf);
  notice& known = mNotices[aLeaf.mId];
  known.mPausedUntil = std::max(before, aNow + aPause);
  known.mPausedStartedBy = StartedBy(aLeaf, aWallNow);
  return before <= aNow;
}

bool
leaf_notice_table::IsLeaving(const leaf_registration& aLeaf) const
{
  const auto found = mNotices.find(aLeaf.mId);
  return found != mNotices.end() && found->second.mLeavingStartedBy != 0 &&
         aLeaf.mIncarnation <= found->second.mLeavingStartedBy;
}

model::instant
leaf_notice_table::PausedUntil(const leaf_registration& aLeaf) const
{
  const auto found = mNotices.find(aLeaf.mId);
  return found != mNotices.end() &&
             aLeaf.mIncarnation <= found->second.mPausedStartedBy
           ? found->second.mPausedUntil
           : model::instant();
}

std::vector<leaf_departure>
leaf_notice_table::NextReports(
  std::size_t aMaxCount,
  const std::function<bool(const std::string&)>& aIsRelevant)
{
  std::vector<leaf_departure> reports;
  auto next = mNotices.upper_bound(mLastReported);
  for (std::size_t seen = 0;
       seen < mNotices.size() && reports.size() < aMaxCount;
       ++seen) {
    if (next == mNotices.end()) {
      next = mNotices.begin();
    }
    if (next->second.mLeavingStartedBy != 0 && aIsRelevant(next->first)) {
      reports.push_back({ next->first, next->second.mLeavingStartedBy });
      mLastReported = next->first;
    }
    ++next;
  }
  return reports;
}

void
leaf_notice_table::OnTimer(
  const std::function<bool(const std::string&)>& aIsRegistered,
  model::instant aNow)
{
  for (auto position = mNotices.begin(); position != mNotices.end();) {
    notice& known = position->second;
    if (known.mLastRegistered == model::instant() ||
        aIsRegistered(position->first)) {
      known.mLastRegistered = aNow;
    }
    const bool expired = aNow - known.mLastRegistered > kRetention;
    position = expired ? mNotices.erase(position) : std::next(position);
  }
}

} // namespace monsooncroft::serving
