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

constexpr int kServiceLength = 32; ///< Samples behind the overall estimate.
constexpr int kLevelLength = 128;  ///< Samples behind a level's estimate.
constexpr int kLeastSamples = 48;  ///< Fewer say nothing of a level.
constexpr int kStaleSamples = 8;   ///< What an estimate counts that was left.
constexpr double kClearGain = 1.3; ///< Throughput that is worth a move.
constexpr int kLeastPause = 64;    ///< Ends between two moves.
constexpr int kMostPause = 2048;   ///< Ends until a failed probe is repeated.

} // namespace

void
slot_limit::concurrency_level::Add(double aService, int aLength)
{
  mSamples = std::min(mSamples + 1, aLength);
  mServiceTime += (aService - mServiceTime) / mSamples;
}

slot_limit::slot_limit(int aDeclared, duration aGuess, bool aAdaptive)
  : mDeclaredSlots(std::max(1, aDeclared))
  , mAdaptive(aAdaptive)
  , mLimit(mDeclaredSlots)
  , mOverall{ static_cast<double>(aGuess.count()), 0 }
  , mLevels(static_cast<std::size_t>(mDeclaredSlots))
  , mProbePause(kLeastPause)
{
}

void
slot_limit::SetDeclared(int aDeclared)
{
  const bool untouched = mLimit == mDeclaredSlots;
  mDeclaredSlots = std::max(1, aDeclared);
  mLevels.resize(static_cast<std::size_t>(mDeclaredSlots));
  mLimit = untouched ? mDeclaredSlots : std::min(mLimit, mDeclaredSlots);
}

duration
slot_limit::ServiceTime() const
{
  return duration(static_cast<duration::rep>(mOverall.mServiceTime));
}

double
slot_limit::Throughput(int aTogether) const
{
  const concurrency_level& at =
    mLevels[static_cast<std::size_t>(aTogether) - 1];
  const bool known = at.mSamples > 0 && at.mServiceTime > 0;
  return known ? aTogether / at.mServiceTime : 0;
}

void
slot_limit::OnDone(attempt_outcome aOutcome, duration aService, int aTogether)
{
  const auto service = static_cast<double>(aService.count());
  const int together = std::clamp(aTogether, 1, mDeclaredSlots);
  ++mEndsSinceChange;
  switch (aOutcome) {
    case attempt_outcome::Ok:
      AddSample(service, together);
      break;
    case attempt_outcome::Error:
      // Given up after so long: left out, only fast runs would be seen.
      if (service > mOverall.mServiceTime) {
        AddSample(service, together);
      }
      break;
    case attempt_outcome::Refused:
    case attempt_outcome::Lost:
      Decrease();
      break;
    case attempt_outcome::NotSent:
    case attempt_outcome::NotHeld:
      break; // They say nothing of the leaf's load.
  }
}

void
slot_limit::AddSample(double aService, int aTogether)
{
  mOverall.Add(aService, kServiceLength);
  mLevels[static_cast<std::size_t>(aTogether) - 1].Add(aService, kLevelLength);
  Adapt();
}

void
slot_limit::Adapt()
{
  const concurrency_level& present =
    mLevels[static_cast<std::size_t>(mLimit) - 1];
  if (present.mSamples < kLeastSamples || mEndsSinceChange < kLeastPause) {
    return;
  }
  int best = mLimit;
  for (int each = 1; each <= mDeclaredSlots; ++each) {
    if (Throughput(each) > Throughput(best)) {
      best = each;
    }
  }
  if (Throughput(best) > kClearGain * Throughput(mLimit)) {
    // A probe that failed is not repeated soon.
    mProbePause =
      best < mLimit ? std::min(2 * mProbePause, kMostPause) : kLeastPause;
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
  if (mLimit > 1 && mEndsSinceChange >= kLeastPause) {
    SetLimit(mLimit - 1);
  }
}

} // namespace monsooncroft::policy
