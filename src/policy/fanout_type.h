/**
 * @file fanout_type.h
 * Plan, effects and report of one query's fan-out over shards.
 */
#ifndef MONSOONCROFT_POLICY_FANOUT_TYPE_H
#define MONSOONCROFT_POLICY_FANOUT_TYPE_H

#include "model/attempt_type.h"
#include "model/contract_type.h"
#include "model/time_type.h"

#include <string>
#include <variant>
#include <vector>

namespace monsooncroft::policy {

/** Target of an attempt: an owner instance if the root sends it, a leaf if the
 * owner sends it. A fan-out only compares targets. */
using target_id = model::identifier<struct target_tag>;

/** A shard and its candidate targets. */
struct shard_plan
{
  model::shard_id mShard;
  std::vector<target_id> mCandidates; ///< Best first, without repetition.
};

/** Input of a fan-out. */
struct fanout_plan
{
  model::request_id mRequest;
  bool mIdempotent = true; ///< False: each shard runs at most once.
  model::urgency mUrgency = model::urgency::Normal;
  model::instant mDeadline; ///< Latest end of the fan-out.
  /** Results of other snapshots are not used. */
  model::index_version mSnapshot = 0;
  /** Unique to this fan-out; a counter is appended. */
  std::string mAttemptPrefix;
  std::vector<shard_plan> mShards;
};

/** Back-off between rounds over candidates that all refused. */
struct fanout_settings
{
  model::duration mMinBackoff{ 5'000 };  ///< Before the second round, at most.
  model::duration mMaxBackoff{ 80'000 }; ///< Upper bound of the doubling.
};

/** Send an attempt to a target. */
struct send_effect
{
  model::attempt_id mAttempt;
  model::shard_id mShard;
  target_id mTarget;
  bool mExtra = false; ///< Hedge or retry charged to the budget.

  bool operator==(const send_effect&) const = default;
};

/** Tell a target that an attempt's answer is no longer wanted. */
struct cancel_effect
{
  model::attempt_id mAttempt;
  model::shard_id mShard;
  target_id mTarget;

  bool operator==(const cancel_effect&) const = default;
};

/** The fan-out has ended; its report is final. */
struct finish_effect
{
  bool operator==(const finish_effect&) const = default;
};

using fanout_effect = std::variant<send_effect, cancel_effect, finish_effect>;
using fanout_effects = std::vector<fanout_effect>;

/** Final state of a shard. */
enum class shard_outcome
{
  Answered,   ///< A result of the pinned snapshot was received.
  NotRun,     ///< No attempt was sent, or all provably did not run.
  MayHaveRun, ///< An attempt ran or may have run, without a usable result.
};

/** Final report of one shard. */
struct shard_report
{
  model::shard_id mShard;
  shard_outcome mOutcome = shard_outcome::NotRun;
  /** Unanswered, and a candidate did not hold the shard or the snapshot. */
  bool mNotHeld = false;
  /** The answer, else the last known result; its attempt id is empty if there
   * is no result. */
  model::attempt_result mLastResult;
};

/** Final report of a fan-out: one entry per shard, in the plan's order. */
struct fanout_report
{
  std::vector<shard_report> mShards;
};

/**
 * Summarizes the attempts of a shard as one outcome for the instance that
 * requested the shard: Ok, an outcome that did not run, or Lost.
 * @param aReport Final report of the shard.
 */
model::attempt_outcome
SummaryOutcome(const shard_report& aReport);

} // namespace monsooncroft::policy

#endif
