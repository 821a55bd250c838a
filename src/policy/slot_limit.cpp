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
slot_limit::level::Add(double aService, int aLength)
{
  mSamples = std::min(mSamples + 1, aLength);
  mService += (aService - mService) / mSamples;
}

slot_limit::slot_limit(int aDeclared, duration aGuess, bool aAdaptive)
  : mDeclared(std::max(1, aDeclared))
  , mAdaptive(aAdaptive)
  , mLimit(mDeclared)
  , mAll{ static_cast<double>(aGuess.count()), 0 }
  , mLevels(static_cast<std::size_t>(mDeclared))
  , mProbePause(kLeastPause)
{
}

void
slot_limit::SetDeclared(int aDeclared)
{
  const bool untouched = mLimit == mDeclared;
  mDeclared = std::max(1, aDeclared);
  mLevels.resize(static_cast<std::size_t>(mDeclared));
  mLimit = untouched ? mDeclared : std::min(mLimit, mDeclared);
}

duration
slot_limit::Service() const
{
  return duration(static_cast<duration::rep>(mAll.mService));
}

double
slot_limit::Throughput(int aTogether) const
{
  const level& at = mLevels[static_cast<std::size_t>(aTogether) - 1];
  const bool known = at.mSamples > 0 && at.mService > 0;
  return known ? aTogether / at.mService : 0;
}

void
slot_limit::OnDone(attempt_outcome aOutcome, duration aService, int aTogether)
{
  const auto service = static_cast<double>(aService.count());
  const int together = std::clamp(aTogether, 1, mDeclared);
  ++mSinceMove;
  switch (aOutcome) {
    case attempt_outcome::Ok:
      Sample(service, together);
      break;
    case attempt_outcome::Error:
      // Given up after so long: left out, only fast runs would be seen.
      if (service > mAll.mService) {
        Sample(service, together);
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
slot_limit::Sample(double aService, int aTogether)
{
  mAll.Add(aService, kServiceLength);
  mLevels[static_cast<std::size_t>(aTogether) - 1].Add(aService, kLevelLength);
  Adapt();
}

void
slot_limit::Adapt()
{
  const level& present = mLevels[static_cast<std::size_t>(mLimit) - 1];
  if (present.mSamples < kLeastSamples || mSinceMove < kLeastPause) {
    return;
  }
  int best = mLimit;
  for (int each = 1; each <= mDeclared; ++each) {
    if (Throughput(each) > Throughput(best)) {
      best = each;
    }
  }
  if (Throughput(best) > kClearGain * Throughput(mLimit)) {
    // A probe that failed is not repeated soon.
    mProbePause =
      best < mLimit ? std::min(2 * mProbePause, kMostPause) : kLeastPause;
    MoveTo(best);
  } else if (mLimit < mDeclared && mSinceMove >= mProbePause) {
    MoveTo(mLimit + 1);
  }
}

void
slot_limit::MoveTo(int aLimit)
{
  mLimit = aLimit;
  mSinceMove = 0;
  level& next = mLevels[static_cast<std::size_t>(aLimit) - 1];
  next.mSamples = std::min(next.mSamples, kStaleSamples);
}

void
slot_limit::Decrease()
{
  if (mLimit > 1 && mSinceMove >= kLeastPause) {
    MoveTo(mLimit - 1);
  }
}

} // namespace monsooncroft::policy
