/**
 * @file target_latency_base.h
 * Which targets answer much later than others that could serve the same shard.
 */
#ifndef MONSOONCROFT_POLICY_TARGET_LATENCY_BASE_H
#define MONSOONCROFT_POLICY_TARGET_LATENCY_BASE_H

#include "model/time_type.h"
#include "policy/fanout_type.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace monsooncroft::policy {

/** Smoothed latencies of the targets of one service. */
class target_latency
{
public:
  static constexpr double kSampleWeight = 0.1; ///< Of a new sample.
  static constexpr double kSlowFactor = 2.0;   ///< Times the fastest one.
  /** Differences below this are noise. */
  static constexpr model::duration kNoise{ 3000 };
  /** Each so many orders leave the slow ones in place, to see them recover. */
  static constexpr std::uint64_t kProbeInterval = 16;

  void Add(const target_id& aTarget, model::duration aLatency); ///< One answer.

  /**
   * Puts targets that are slow behind the others, each part in its order.
   * @param aTargets One shard's candidates, best first by other reasons.
   * @param aTurn Number of the query; the same for all its shards.
   * @param aProbe Whether this query may ask a slow target to see it recover.
   */
  std::vector<target_id> Order(std::vector<target_id> aTargets,
                               std::uint64_t aTurn,
                               bool aProbe) const;

private:
  std::unordered_map<target_id, double> mSmoothed; ///< Microseconds.
};

} // namespace monsooncroft::policy

#endif
