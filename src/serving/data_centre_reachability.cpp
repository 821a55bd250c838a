/**
 * @file data_centre_reachability.cpp
 * Whether another data centre can be reached.
 */
#include "serving/data_centre_reachability_base.h"

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
data_centre_reachability::OnTick(model::instant aHeard,
                                 const std::vector<model::instant>& aOverdue)
{
  if (mUnreachable) {
    mUnreachable = aHeard <= mLastContact;
    return;
  }
  const auto witnesses =
    std::count_if(aOverdue.begin(), aOverdue.end(), [&](model::instant aSince) {
      return aSince > aHeard;
    });
  mUnreachable = witnesses >= kWitnesses;
  mLastContact = aHeard;
}

bool
data_centre_reachability::OnPeerReportedUnreachable()
{
  if (mUnreachable) {
    return false;
  }
  mUnreachable = true;
  mNextProbeAt = model::instant();
  return true;
}

bool
data_centre_reachability::TakeProbe(model::instant aNow)
{
  if (!mUnreachable || aNow < mNextProbeAt) {
    return false;
  }
  mNextProbeAt = aNow + kTryPeriod;
  return true;
}

} // namespace monsooncroft::serving
