/**
 * @file replica_chooser_base.h
 * Order in which a shard's candidates are tried.
 */
#ifndef MONSOONCROFT_POLICY_REPLICA_CHOOSER_BASE_H
#define MONSOONCROFT_POLICY_REPLICA_CHOOSER_BASE_H

#include "model/time_type.h"
#include "policy/fanout_type.h"

#include <cstdint>
#include <random>
#include <vector>

namespace monsooncroft::policy {

/** Known state of one candidate. */
struct replica_state
{
  target_id mTarget;
  bool mLocal = true;      ///< In this instance's data centre.
  bool mLeaving = false;   ///< Gets no new work.
  bool mSuspected = false; ///< Suspected to be down or unreachable.
  /** Fraction of its normal load; below 1 after a cold start. */
  double mLoadShare = 1;
  model::duration mEstimatedWait{ 0 }; ///< Time until an attempt would start.
};

/**
 * Orders candidates: usable before suspected, the local data centre before
 * others. Among equals, the one with the shorter wait of two random choices
 * goes first, which spreads load even if the waits are out of date. A starting
 * leaf goes behind its equals with a probability of 1 minus its load share.
 */
class replica_chooser
{
public:
  explicit replica_chooser(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
  }

  /** Returns the candidates, best first, without leaving ones. */
  std::vector<target_id> Order(const std::vector<replica_state>& aReplicas);

private:
  int Rank(const replica_state& aReplica);
  std::size_t RandomIndex(std::size_t aCount);

  std::minstd_rand mRandom;
};

} // namespace monsooncroft::policy

#endif
