/**
 * @file data_centre_reachability.cpp
 * Whether another data centre can be reached.
 */
#include "serving/data_centre_reachability_base.h"

#include <algorithm>
#include <chrono>

namespace monsooncroft::serving {

namespace {

/** Unresponsive leaves that make the data centre unreachable: more than faults
 * of single leaves explain. */
constexpr std::ptrdiff_t kMinUnresponsiveLeaves = 3;
/** Time between two probes; equal to the gossip period. */
constexpr std::chrono::milliseconds kProbePeriod{ 250 };

} // namespace

void
data_centre_reachability::OnTick(model::instant aLastContact,
                                 const std::vector<model::instant>& aOverdue)
{
  if (mUnreachable) {
    mUnreachable = aLastContact <= mLastContact;
    return;
  }
  const auto unresponsive =
    std::count_if(aOverdue.begin(), aOverdue.end(), [&](model::instant aSince) {
      return aSince > aLastContact;
    });
  mUnreachable = unresponsive >= kMinUnresponsiveLeaves;
  mLastContact = aLastContact;
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
  mNextProbeAt = aNow + kProbePeriod;
  return true;
}

} // namespace monsooncroft::serving
