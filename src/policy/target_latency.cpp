/**
 * @file target_latency.cpp
 * Smoothing of latencies and order of targets.
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
                      std::uint64_t aQueryNumber,
                      bool aProbe) const
{
  if (aProbe && aQueryNumber % kProbeInterval == 0) {
    return aTargets;
  }
  double fastest = std::numeric_limits<double>::infinity();
  for (const target_id& target : aTargets) {
    const auto known = mSmoothed.find(target);
    if (known != mSmoothed.end()) {
      fastest = std::min(fastest, known->second);
    }
  }
  const double slowBound =
    fastest * kSlowFactor + static_cast<double>(kNoise.count());
  // A target without samples keeps its position.
  std::stable_partition(
    aTargets.begin(), aTargets.end(), [&](const target_id& aTarget) {
      const auto known = mSmoothed.find(aTarget);
      return known == mSmoothed.end() || known->second <= slowBound;
    });
  return aTargets;
}

} // namespace monsooncroft::policy
