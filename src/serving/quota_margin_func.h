/**
 * @file quota_margin_func.h
 * What the rule on quotas tolerates above a workspace's token bucket, and the
 * parts into which it is divided.
 */
#ifndef MONSOONCROFT_SERVING_QUOTA_MARGIN_FUNC_H
#define MONSOONCROFT_SERVING_QUOTA_MARGIN_FUNC_H

#include "serving/quota_settings_type.h"
#include "serving/quota_type.h"

namespace monsooncroft::serving {

/** Requests per window; together at most the margin. The rest, half of it,
 * is for admissions of instances that have not noticed a failure yet. */
struct quota_margin
{
  /** Added to the burst, since reports arrive late and out of order. */
  double mAllowance = 0;
  double mStart = 0; ///< Starting level of a new issuer.
  /** Token bucket of those who act without the issuer until membership notices
   * a partition. */
  double mOverlapPerSecond = 0;
  double mOverlapBurst = 0;
};

/** Time from the loss of an issuer until membership has named another. */
constexpr std::chrono::milliseconds kQuotaOverlap{ 2'500 };

quota_margin
MarginOf(const quota_limit& aLimit, const quota_settings& aSettings);

} // namespace monsooncroft::serving

#endif
