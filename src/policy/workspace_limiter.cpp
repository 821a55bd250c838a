/**
 * @file workspace_limiter.cpp
 * Token buckets of workspaces.
 */
#include "policy/workspace_limiter_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::duration;
using model::instant;

namespace {

using seconds = std::chrono::duration<double>;

/** One token, less a tolerance for rounding. */
constexpr double kOneToken = 1 - 1e-9;

} // namespace

void
workspace_limiter::SetWorkspaces(
  const std::vector<model::workspace>& aWorkspaces)
{
  std::map<model::workspace_id, bucket> next;
  for (const model::workspace& declared : aWorkspaces) {
    if (declared.mRatePerSecond <= 0) {
      continue;
    }
    const auto known = mBuckets.find(declared.mId);
    bucket& entry = next[declared.mId];
    if (known != mBuckets.end()) {
      entry = known->second;
    }
    entry.mWorkspace = declared;
  }
  mBuckets = std::move(next);
}

void
workspace_limiter::SetInstanceCount(int aCount)
{
  mInstanceCount = std::max(1, aCount);
}

double
workspace_limiter::Rate(const bucket& aBucket) const
{
  return aBucket.mWorkspace.mRatePerSecond / mInstanceCount;
}

double
workspace_limiter::Burst(const bucket& aBucket) const
{
  return std::max(1.0, aBucket.mWorkspace.mBurst / mInstanceCount);
}

double
workspace_limiter::Tokens(const bucket& aBucket, instant aNow) const
{
  if (!aBucket.mStarted) {
    return Burst(aBucket);
  }
  const double elapsed =
    std::max(0.0, seconds(aNow - aBucket.mLastRefill).count());
  return std::min(Burst(aBucket), aBucket.mTokens + elapsed * Rate(aBucket));
}

bool
workspace_limiter::TryTake(const model::workspace_id& aWorkspace, instant aNow)
{
  const auto found = mBuckets.find(aWorkspace);
  if (found == mBuckets.end()) {
    return true;
  }
  bucket& entry = found->second;
  const double tokens = Tokens(entry, aNow);
  if (tokens < kOneToken) {
    // No refill here: many small steps would accumulate rounding errors.
    return false;
  }
  entry.mStarted = true;
  entry.mLastRefill = aNow;
  entry.mTokens = std::max(0.0, tokens - 1);
  return true;
}

duration
workspace_limiter::RetryAfter(const model::workspace_id& aWorkspace,
                              instant aNow) const
{
  const auto found = mBuckets.find(aWorkspace);
  if (found == mBuckets.end()) {
    return duration(0);
  }
  const double missing = std::max(0.0, 1 - Tokens(found->second, aNow));
  const seconds wait(missing / Rate(found->second));
  return std::chrono::ceil<duration>(wait);
}

} // namespace monsooncroft::policy
