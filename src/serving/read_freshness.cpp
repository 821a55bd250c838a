/**
 * @file read_freshness.cpp
 * Growth of the store's revision.
 */
#include "serving/read_freshness_base.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Old reads are taken to go on for so long after the last one was seen. */
constexpr std::chrono::milliseconds kFreshFor{ 2'500 };
/** Without any sign, one read in such a time is fresh all the same. */
constexpr std::chrono::milliseconds kVerifyPeriod{ 8'000 };
/** Part of the usual growth below which a read counts as old. */
constexpr double kLeastGrowth = 0.25;
/** Growth over a shorter time says too little. */
constexpr double kLeastSeconds = 0.3;
constexpr double kGrowthWeight = 0.3; ///< Of the newest measurement.

} // namespace

bool
read_freshness::MayBeOld(model::instant aNow) const
{
  return aNow >= mFreshUntil && mLastFresh &&
         aNow - *mLastFresh < kVerifyPeriod;
}

void
read_freshness::Grow(std::uint64_t aRevision, model::instant aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - mRevisionAt).count();
  if (mRevision != 0 && seconds < kLeastSeconds) {
    return;
  }
  if (mRevision != 0 && aRevision > mRevision) {
    const double rate = static_cast<double>(aRevision - mRevision) / seconds;
    mPerSecond = mPerSecond == 0
                   ? rate
                   : mPerSecond + kGrowthWeight * (rate - mPerSecond);
  }
  if (aRevision > mRevision) {
    mRevision = aRevision;
    mRevisionAt = aNow;
  }
}

bool
read_freshness::OnRead(std::uint64_t aRevision,
                       bool aMayBeOld,
                       model::instant aNow)
{
  if (!aMayBeOld) {
    mLastFresh = aNow;
    Grow(aRevision, aNow);
    return false;
  }
  const double seconds =
    std::chrono::duration<double>(aNow - mRevisionAt).count();
  const double expected = mPerSecond * seconds;
  const bool stands = seconds >= kLeastSeconds && mPerSecond > 0 &&
                      static_cast<double>(aRevision) <
                        static_cast<double>(mRevision) + kLeastGrowth * expected;
  if (mRevision != 0 && (aRevision < mRevision || stands)) {
    mFreshUntil = aNow + kFreshFor;
    return true;
  }
  Grow(aRevision, aNow);
  return false;
}

void
read_freshness::OnHeard(std::uint64_t aRevision, model::instant aNow)
{
  Grow(aRevision, aNow);
}

} // namespace monsooncroft::serving
