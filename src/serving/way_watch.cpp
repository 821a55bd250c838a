/**
 * @file way_watch.cpp
 * Whether another data centre can be reached.
 */
#include "serving/way_watch_base.h"

#include <algorithm>
#include <chrono>

namespace monsooncroft::serving {

namespace {

/** Leaves standing still at once that no trouble of single leaves explains. */
constexpr std::ptrdiff_t kWitnesses = 3;
/** Between tries: as often as instances exchange news. */
constexpr std::chrono::milliseconds kTryPeriod{ 250 };

} // namespace

void
way_watch::OnTick(model::instant aHeard,
                  const std::vector<model::instant>& aOverdue)
{
  if (mLost) {
    mLost = aHeard <= mHeard;
    return;
  }
  const auto witnesses =
    std::count_if(aOverdue.begin(), aOverdue.end(), [&](model::instant aSince) {
      return aSince > aHeard;
    });
  mLost = witnesses >= kWitnesses;
  mHeard = aHeard;
}

bool
way_watch::OnToldLost()
{
  if (mLost) {
    return false;
  }
  mLost = true;
  mNextTry = model::instant();
  return true;
}

bool
way_watch::TakeTry(model::instant aNow)
{
  if (!mLost || aNow < mNextTry) {
    return false;
  }
  mNextTry = aNow + kTryPeriod;
  return true;
}

} // namespace monsooncroft::serving
