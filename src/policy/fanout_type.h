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

/** Where an attempt is sent: an owner instance at the root, a leaf at the
 * owner. The fan-out only compares it. */
using target_id = model::identifier<struct target_tag>;

/** One shard and who may answer it. */
struct shard_plan
{
  model::shard_id mShard;
  std::vector<target_id> mCandidates; ///< Best first, without repetition.
};

/** What one fan-out has to do. */
struct fanout_plan
{
  model::request_id mRequest;
  bool mIdempotent = true; ///< False: each shard runs at most once.
  model::urgency mUrgency = model::urgency::Normal;
  model::instant mDeadline;           ///< The fan-out ends here at the latest.
  model::index_version mSnapshot = 0; ///< The only one whose results count.
  std::string mAttemptPrefix; ///< Unique to this fan-out; a counter follows.
  std::vector<shard_plan> mShards;
};

/** Pauses between rounds over candidates that all refused. */
struct fanout_settings
{
  model::duration mMinBackoff{ 5'000 };  ///< Before the second round.
  model::duration mMaxBackoff{ 80'000 }; ///< Doubling stops here.
};

/** Send one attempt. */
struct send_effect
{
  model::attempt_id mAttempt;
  model::shard_id mShard;
  target_id mTarget;
  bool mExtra = false; ///< A hedge or a retry paid from the budget.

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

/** How a shard stands at the end. */
enum class shard_outcome
{
  Answered,   ///< A result of the pinned snapshot came.
  NotRun,     ///< Nothing was sent, or every attempt provably did not run.
  MayHaveRun, ///< Some attempt ran, or may have, without a usable result.
};

/** One shard's end. */
struct shard_report
{
  model::shard_id mShard;
  shard_outcome mOutcome = shard_outcome::NotRun;
  bool mNotHeld = false; ///< Unanswered, and some candidate lacked the shard
                         ///< or the snapshot.
  model::attempt_result
    mLastResult; ///< The answer, else the last outcome known;
                 ///< its attempt is empty if there is none.
};

/** A fan-out's end: one entry a shard, in the plan's order. */
struct fanout_report
{
  std::vector<shard_report> mShards;
};

/**
 * The single outcome that stands for a shard's whole fan-out towards the
 * instance that asked for it: Ok, one that did not run, or Lost.
 * @param aReport The shard's end.
 */
model::attempt_outcome
SummaryOutcome(const shard_report& aReport);

} // namespace monsooncroft::policy

#endif
