/**
 * @file leaf_limit_table.cpp
 * Rate limits that leaves name.
 */
#include "serving/leaf_limit_table_base.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Time for which the end of a limit is reported; by then all peers know. */
constexpr std::chrono::seconds kEndRetention{ 10 };

} // namespace

bool
leaf_limit_table::OnAnswer(const std::string& aLeafId,
                           std::uint64_t aIncarnation,
                           std::optional<double> aPerSecond,
                           model::instant aNow)
{
  const auto found = mLimits.find(aLeafId);
  if (found == mLimits.end()) {
    if (!aPerSecond) {
      return false;
    }
    mLimits.emplace(aLeafId, observation{ aIncarnation, aPerSecond, aNow });
    return true;
  }
  const bool changed = found->second.mPerSecond != aPerSecond;
  if (changed || aPerSecond) {
    found->second = { aIncarnation, aPerSecond, aNow };
  }
  return changed;
}

bool
leaf_limit_table::OnReport(const leaf_limit_report& aReport,
                           model::instant aNow)
{
  const auto perSecond =
    aReport.mPerSecond > 0 ? std::optional(aReport.mPerSecond) : std::nullopt;
  const model::instant observedAt =
    aNow - std::chrono::milliseconds(aReport.mAgeMs);
  const auto found = mLimits.find(aReport.mLeafId);
  if (found == mLimits.end()) {
    // The end of an unknown limit is kept, too: a report of the limit itself
    // may still be on its way.
    mLimits.emplace(aReport.mLeafId,
                    observation{ aReport.mIncarnation, perSecond, observedAt });
    return perSecond.has_value();
  }
  if (aReport.mIncarnation < found->second.mIncarnation ||
      (aReport.mIncarnation == found->second.mIncarnation &&
       observedAt <= found->second.mObservedAt)) {
    return false;
  }
  const bool changed = found->second.mPerSecond != perSecond;
  found->second = { aReport.mIncarnation, perSecond, observedAt };
  return changed;
}

std::optional<double>
leaf_limit_table::Limit(const std::string& aLeafId) const
{
  const auto found = mLimits.find(aLeafId);
  return found == mLimits.end() ? std::nullopt : found->second.mPerSecond;
}

leaf_limit_report
leaf_limit_table::MakeReport(const std::string& aLeafId,
                             const observation& aObservation,
                             model::instant aNow)
{
  return { aLeafId,
           aObservation.mIncarnation,
           aObservation.mPerSecond.value_or(0),
           static_cast<std::uint32_t>(
             std::chrono::duration_cast<std::chrono::milliseconds>(
               aNow - aObservation.mObservedAt)
               .count()) };
}

std::optional<leaf_limit_report>
leaf_limit_table::Report(const std::string& aLeafId, model::instant aNow) const
{
  const auto found = mLimits.find(aLeafId);
  return found == mLimits.end()
           ? std::nullopt
           : std::optional(MakeReport(aLeafId, found->second, aNow));
}

std::vector<leaf_limit_report>
leaf_limit_table::NextReports(std::size_t aMaxCount, model::instant aNow)
{
  std::erase_if(mLimits, [&](const auto& aEntry) {
    return !aEntry.second.mPerSecond &&
           aNow - aEntry.second.mObservedAt > kEndRetention;
  });
  std::vector<leaf_limit_report> reports;
  const std::size_t count = std::min(aMaxCount, mLimits.size());
  auto next = mLimits.upper_bound(mLastReported);
  while (reports.size() < count) {
    if (next == mLimits.end()) {
      next = mLimits.begin();
    }
    reports.push_back(MakeReport(next->first, next->second, aNow));
    mLastReported = next->first;
    ++next;
  }
  return reports;
}

} // namespace monsooncroft::serving
