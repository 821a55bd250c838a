/**
 * @file service_record.cpp
 * How often workspaces are served at a queue, and which are owed service.
 */
#include "serving/service_record_base.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Fraction of the average service that each workspace gets at least. The page
 * requires a quarter; with exactly that, the last requests of a count that is
 * no multiple would fall below. */
constexpr double kMinFraction = 0.35;
/** Most requests that a workspace can be owed, so that a long time without
 * service is not followed by a long one in which others get none. */
constexpr double kMaxOwed = 2;
/** Outcomes that the average service is computed from, about: the last seconds
 * of a leaf under load. */
constexpr std::size_t kMaxOutcomes = 1'024;

} // namespace

void
service_record::OnOutcome(std::string_view aWorkspace, bool aServed)
{
  mServed += aServed ? 1 : 0;
  if (++mOutcomes >= kMaxOutcomes) {
    mOutcomes /= 2;
    mServed /= 2;
  }
  const double owed =
    std::min(OwedWithNext(aWorkspace) - (aServed ? 1 : 0), kMaxOwed);
  const auto found = mOwed.find(aWorkspace);
  if (owed <= 0) {
    if (found != mOwed.end()) {
      mOwed.erase(found);
    }
  } else if (found != mOwed.end()) {
    found->second = owed;
  } else {
    mOwed.emplace(aWorkspace, owed);
  }
}

double
service_record::EarnedByRequest() const
{
  const double average = mOutcomes == 0 ? 1
                                        : static_cast<double>(mServed) /
                                            static_cast<double>(mOutcomes);
  return kMinFraction * average;
}

double
service_record::Owed(std::string_view aWorkspace) const
{
  const auto found = mOwed.find(aWorkspace);
  return found == mOwed.end() ? 0 : found->second;
}

void
service_record::Clear()
{
  *this = service_record();
}

} // namespace monsooncroft::serving
