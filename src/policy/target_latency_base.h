/**
 * @file target_latency_base.h
 * Targets that are much slower than other targets of the same shard.
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
  static constexpr double kSampleWeight = 0.1; ///< Weight of a new sample.
  /** Slow above this multiple of the fastest. */
  static constexpr double kSlowFactor = 2.0;
  /** Latency differences below this are noise. */
  static constexpr model::duration kNoise{ 3000 };
  /** One query in this many keeps slow targets in place to detect recovery. */
  static constexpr std::uint64_t kProbeInterval = 16;

  /** Adds the latency of one answer. */
  void Add(const target_id& aTarget, model::duration aLatency);

  /**
   * Moves slow targets behind the others; the order within both groups stays.
   * @param aTargets Candidates of one shard, best first by other criteria.
   * @param aQueryNumber Sequence number of the query; the same for all its
   * shards.
   * @param aProbe Whether this query may try a slow target to detect recovery.
   */
  std::vector<target_id> Order(std::vector<target_id> aTargets,
                               std::uint64_t aQueryNumber,
                               bool aProbe) const;

private:
  std::unordered_map<target_id, double> mSmoothed; ///< Microseconds.
};

} // namespace monsooncroft::policy

#endif
