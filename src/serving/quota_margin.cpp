/**
 * @file quota_margin.cpp
 * What the rule on quotas tolerates above a workspace's token bucket.
 */
#include "serving/quota_margin_func.h"

namespace monsooncroft::serving {

namespace {

constexpr double kAllowancePart = 0.1;
constexpr double kStartPart = 0.1;
constexpr double kOverlapPart = 0.15;
constexpr double kOverlapBurstPart = 0.06;

} // namespace

quota_margin
MarginOf(const quota_limit& aLimit, const quota_settings& aSettings)
{
  const double window =
    std::chrono::duration<double>(aSettings.mWindow).count();
  const double margin =
    aSettings.mOverage * (aLimit.mRatePerSecond * window + aLimit.mBurst) +
    aSettings.mSlack;
  const double overlap = std::chrono::duration<double>(kQuotaOverlap).count();
  return { kAllowancePart * margin,
           kStartPart * margin,
           kOverlapPart * margin / overlap,
           kOverlapBurstPart * margin };
}

} // namespace monsooncroft::serving
