/**
 * @file tenant_limiter.cpp
 * Token buckets of tenants.
 */
#include "policy/tenant_limiter_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::duration;
using model::instant;

namespace {

using seconds = std::chrono::duration<double>;

constexpr double kWhole = 1 - 1e-9; ///< A token, but for rounding.

} // namespace

void
tenant_limiter::SetTenants(const std::vector<model::tenant>& aTenants)
{
  std::map<model::tenant_id, bucket> next;
  for (const model::tenant& tenant : aTenants) {
    if (tenant.mRatePerSecond <= 0) {
      continue;
    }
    const auto known = mBuckets.find(tenant.mId);
    bucket& entry = next[tenant.mId];
    if (known != mBuckets.end()) {
      entry = known->second;
    }
    entry.mTenant = tenant;
  }
  mBuckets = std::move(next);
}

void
tenant_limiter::SetInstances(int aLive)
{
  mInstances = std::max(1, aLive);
}

double
tenant_limiter::Rate(const bucket& aBucket) const
{
  return aBucket.mTenant.mRatePerSecond / mInstances;
}

double
tenant_limiter::Burst(const bucket& aBucket) const
{
  return std::max(1.0, aBucket.mTenant.mBurst / mInstances);
}

double
tenant_limiter::Tokens(const bucket& aBucket, instant aNow) const
{
  if (!aBucket.mStarted) {
    return Burst(aBucket);
  }
  const double past = std::max(0.0, seconds(aNow - aBucket.mFilled).count());
  return std::min(Burst(aBucket), aBucket.mTokens + past * Rate(aBucket));
}

bool
tenant_limiter::TryTake(const model::tenant_id& aTenant, instant aNow)
{
  const auto found = mBuckets.find(aTenant);
  if (found == mBuckets.end()) {
    return true;
  }
  bucket& entry = found->second;
  const double tokens = Tokens(entry, aNow);
  if (tokens < kWhole) {
    return false; // Filling in many small steps would add up their rounding.
  }
  entry.mStarted = true;
  entry.mFilled = aNow;
  entry.mTokens = std::max(0.0, tokens - 1);
  return true;
}

duration
tenant_limiter::RetryAfter(const model::tenant_id& aTenant, instant aNow) const
{
  const auto found = mBuckets.find(aTenant);
  if (found == mBuckets.end()) {
    return duration(0);
  }
  const double missing = std::max(0.0, 1 - Tokens(found->second, aNow));
  const seconds wait(missing / Rate(found->second));
  return std::chrono::ceil<duration>(wait);
}

} // namespace monsooncroft::policy
