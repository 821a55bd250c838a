/**
 * @file slot_limit.cpp
 * Adaptive limit of a leaf's slots.
 */
#include "policy/slot_limit_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::attempt_outcome;
using model::duration;
using model::instant;

namespace {

constexpr double kSmoothing = 1.0 / 16; ///< Weight of a new sample.
constexpr double kSlowRatio = 2.0;      ///< Of the floor: the leaf is slow.
constexpr double kDecrease = 0.75;      ///< Factor of one decrease.
constexpr double kIncrease = 0.1;       ///< Slots won by one normal request.
constexpr int kDecreasePause = 8; ///< Service times between two decreases.
constexpr duration kFloorWindow = std::chrono::seconds(10);

} // namespace

slot_limit::slot_limit(int aDeclared, duration aGuess, bool aAdaptive)
  : mDeclared(std::max(1, aDeclared))
  , mAdaptive(aAdaptive)
  , mLimit(mDeclared)
  , mService(static_cast<double>(aGuess.count()))
{
}

void
slot_limit::SetDeclared(int aDeclared)
{
  const bool untouched = mLimit >= mDeclared;
  mDeclared = std::max(1, aDeclared);
  mLimit = untouched ? mDeclared : std::min<double>(mLimit, mDeclared);
}

int
slot_limit::Slots() const
{
  return mAdaptive ? std::max(1, static_cast<int>(mLimit)) : mDeclared;
}

duration
slot_limit::Service() const
{
  return duration(static_cast<duration::rep>(mService));
}

void
slot_limit::OnDone(attempt_outcome aOutcome, duration aService, instant aNow)
{
  switch (aOutcome) {
    case attempt_outcome::Ok:
      Sample(static_cast<double>(aService.count()), aNow);
      if (mService > kSlowRatio * Floor()) {
        Decrease(aNow);
      } else {
        mLimit = std::min<double>(mDeclared, mLimit + kIncrease);
      }
      break;
    case attempt_outcome::Refused:
    case attempt_outcome::Lost:
      Decrease(aNow);
      break;
    case attempt_outcome::NotSent:
    case attempt_outcome::NotHeld:
    case attempt_outcome::Error:
      break; // They say nothing of the leaf's load.
  }
}

void
slot_limit::Sample(double aService, instant aNow)
{
  if (!mSampled) {
    mSampled = true;
    mService = aService;
    mFloor = aService;
    mWindow = aNow;
    return;
  }
  mService += kSmoothing * (aService - mService);
  if (aNow - mWindow >= kFloorWindow) {
    mLastFloor = mFloor;
    mFloor = mService;
    mWindow = aNow;
  }
  mFloor = std::min(mFloor, mService);
}

double
slot_limit::Floor() const
{
  return mLastFloor > 0 ? std::min(mFloor, mLastFloor) : mFloor;
}

void
slot_limit::Decrease(instant aNow)
{
  const duration pause = Service() * kDecreasePause;
  if (mDecreased && aNow - *mDecreased < pause) {
    return;
  }
  mDecreased = aNow;
  mLimit = std::max(1.0, mLimit * kDecrease);
}

} // namespace monsooncroft::policy
