/**
 * @file replica_chooser_base.h
 * In which order a shard's candidates are tried.
 */
#ifndef MONSOONCROFT_POLICY_REPLICA_CHOOSER_BASE_H
#define MONSOONCROFT_POLICY_REPLICA_CHOOSER_BASE_H

#include "model/time_type.h"
#include "policy/fanout_type.h"

#include <cstdint>
#include <random>
#include <vector>

namespace monsooncroft::policy {

/** What is known of one candidate. */
struct replica_state
{
  target_id mTarget;
  bool mLocal = true;      ///< In this instance's data centre.
  bool mLeaving = false;   ///< Gets no new work.
  bool mSuspected = false; ///< Seems dead or cut off.
  double mLoadShare = 1;   ///< Of its normal work, less after a cold start.
  model::duration mEstimatedWait{ 0 }; ///< Until it would begin.
};

/**
 * Orders candidates: usable before suspected ones, the local data centre
 * before others, and among equals the shorter wait of two drawn at random,
 * which spreads load even where the waits are out of date. A starting leaf
 * goes behind its equals as often as its share is short of 1.
 */
class replica_chooser
{
public:
  explicit replica_chooser(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
  }

  /** The candidates, best first; leaving ones are left out. */
  std::vector<target_id> Order(const std::vector<replica_state>& aReplicas);

private:
  int Rank(const replica_state& aReplica);
  std::size_t RandomIndex(std::size_t aCount);

  std::minstd_rand mRandom;
};

} // namespace monsooncroft::policy

#endif
