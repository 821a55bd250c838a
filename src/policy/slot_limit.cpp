/**
 * @file slot_limit.cpp
 * Adaptive limit of a leaf's slots.
 */
#include "policy/slot_limit_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::attempt_outcome;
using model::duration;

namespace {

constexpr int kOverallMaxSamples = 32; ///< Samples in the overall estimate.
constexpr int kLevelMaxSamples = 128;  ///< Samples in a level's estimate.
constexpr int kMinSamples = 48;        ///< Fewer samples are not significant.
/** Samples that an old estimate still counts for. */
constexpr int kStaleSamples = 8;
/** Throughput ratio that justifies a change of the limit. */
constexpr double kMinThroughputGain = 1.3;
/** Attempts ended between two changes of the limit. */
constexpr int kMinPause = 64;
/** Upper bound of the attempts ended before a failed probe is repeated. */
constexpr int kMaxPause = 2048;

} // namespace

void
slot_limit::concurrency_level::Add(double aServiceTime, int aMaxSamples)
{
  mSamples = std::min(mSamples + 1, aMaxSamples);
  mServiceTime += (aServiceTime - mServiceTime) / mSamples;
}

slot_limit::slot_limit(int aDeclared,
                       duration aInitialServiceTime,
                       bool aAdaptive)
  : mDeclaredSlots(std::max(1, aDeclared))
  , mAdaptive(aAdaptive)
  , mLimit(mDeclaredSlots)
  , mOverall{ static_cast<double>(aInitialServiceTime.count()), 0 }
  , mLevels(static_cast<std::size_t>(mDeclaredSlots))
  , mProbePause(kMinPause)
{
}

void
slot_limit::SetDeclared(int aDeclared)
{
  const bool atDeclared = mLimit == mDeclaredSlots;
  mDeclaredSlots = std::max(1, aDeclared);
  mLevels.resize(static_cast<std::size_t>(mDeclaredSlots));
  mLimit = atDeclared ? mDeclaredSlots : std::min(mLimit, mDeclaredSlots);
}

duration
slot_limit::ServiceTime() const
{
  return duration(static_cast<duration::rep>(mOverall.mServiceTime));
}

double
slot_limit::Throughput(int aConcurrency) const
{
  const concurrency_level& estimate =
    mLevels[static_cast<std::size_t>(aConcurrency) - 1];
  const bool known = estimate.mSamples > 0 && estimate.mServiceTime > 0;
  return known ? aConcurrency / estimate.mServiceTime : 0;
}

void
slot_limit::OnDone(attempt_outcome aOutcome,
                   duration aServiceTime,
                   int aConcurrency)
{
  const auto serviceTime = static_cast<double>(aServiceTime.count());
  const int concurrency = std::clamp(aConcurrency, 1, mDeclaredSlots);
  ++mEndsSinceChange;
  switch (aOutcome) {
    case attempt_outcome::Ok:
      AddSample(serviceTime, concurrency);
      break;
    case attempt_outcome::Error:
      // The attempt was abandoned after this time; without these samples the
      // estimate would only cover fast runs.
      if (serviceTime > mOverall.mServiceTime) {
        AddSample(serviceTime, concurrency);
      }
      break;
    case attempt_outcome::Refused:
    case attempt_outcome::Lost:
      Decrease();
      break;
    case attempt_outcome::NotSent:
    case attempt_outcome::NotHeld:
      break; // These outcomes do not depend on the leaf's load.
  }
}

void
slot_limit::AddSample(double aServiceTime, int aConcurrency)
{
  mOverall.Add(aServiceTime, kOverallMaxSamples);
  mLevels[static_cast<std::size_t>(aConcurrency) - 1].Add(aServiceTime,
                                                          kLevelMaxSamples);
  Adapt();
}

void
slot_limit::Adapt()
{
  const concurrency_level& current =
    mLevels[static_cast<std::size_t>(mLimit) - 1];
  if (current.mSamples < kMinSamples || mEndsSinceChange < kMinPause) {
    return;
  }
  int best = mLimit;
  for (int each = 1; each <= mDeclaredSlots; ++each) {
    if (Throughput(each) > Throughput(best)) {
      best = each;
    }
  }
  if (Throughput(best) > kMinThroughputGain * Throughput(mLimit)) {
    // A failed probe is repeated after a longer pause.
    mProbePause =
      best < mLimit ? std::min(2 * mProbePause, kMaxPause) : kMinPause;
    SetLimit(best);
  } else if (mLimit < mDeclaredSlots && mEndsSinceChange >= mProbePause) {
    SetLimit(mLimit + 1);
  }
}

void
slot_limit::SetLimit(int aLimit)
{
  mLimit = aLimit;
  mEndsSinceChange = 0;
  concurrency_level& next = mLevels[static_cast<std::size_t>(aLimit) - 1];
  next.mSamples = std::min(next.mSamples, kStaleSamples);
}

void
slot_limit::Decrease()
{
  if (mLimit > 1 && mEndsSinceChange >= kMinPause) {
    SetLimit(mLimit - 1);
  }
}

} // namespace monsooncroft::policy
