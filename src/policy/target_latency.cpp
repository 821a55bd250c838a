/**
 * @file target_latency.cpp
 * Smoothing latencies and ordering by them.
 */
#include "policy/target_latency_base.h"

#include <algorithm>
#include <limits>

namespace monsooncroft::policy {

void
target_latency::Add(const target_id& aTarget, model::duration aLatency)
{
  const auto sample = static_cast<double>(aLatency.count());
  const auto [entry, added] = mSmoothed.try_emplace(aTarget, sample);
  if (!added) {
    entry->second += kSampleWeight * (sample - entry->second);
  }
}

std::vector<target_id>
target_latency::Order(std::vector<target_id> aTargets,
                      std::uint64_t aTurn,
                      bool aProbe) const
{
  if (aProbe && aTurn % kProbeInterval == 0) {
    return aTargets;
  }
  double fastest = std::numeric_limits<double>::infinity();
  for (const target_id& target : aTargets) {
    const auto known = mSmoothed.find(target);
    if (known != mSmoothed.end()) {
      fastest = std::min(fastest, known->second);
    }
  }
  const double bound =
    fastest * kSlowFactor + static_cast<double>(kNoise.count());
  // A target without samples is tried in its place.
  std::stable_partition(
    aTargets.begin(), aTargets.end(), [&](const target_id& aTarget) {
      const auto known = mSmoothed.find(aTarget);
      return known == mSmoothed.end() || known->second <= bound;
    });
  return aTargets;
}

} // namespace monsooncroft::policy
