/**
 * @file quota_settings_type.h
 * Tolerance of workspaces' quotas.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_SETTINGS_TYPE_H
#define MONSOONCROFT_SERVING_QUOTA_SETTINGS_TYPE_H

#include <chrono>

namespace monsooncroft::serving {

/** Tolerance of workspaces' quotas: over any sliding window, (rate x window +
 * burst) x (1 + overage) + slack requests. */
struct quota_settings
{
  std::chrono::milliseconds mWindow{ 5'000 };
  double mOverage = 0.1; ///< Fraction above the quota that is tolerated.
  double mSlack = 0;     ///< Requests per window that are tolerated besides.

  bool operator==(const quota_settings&) const = default;
};

} // namespace monsooncroft::serving

#endif
