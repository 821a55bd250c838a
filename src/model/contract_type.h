/**
 * @file contract_type.h
 * What a service guarantees for one request kind.
 */
#ifndef MONSOONCROFT_MODEL_CONTRACT_TYPE_H
#define MONSOONCROFT_MODEL_CONTRACT_TYPE_H

#include "model/identifier_type.h"

#include <chrono>

namespace monsooncroft::model {

/** Urgency of a request kind; a more urgent kind compares less. */
enum class urgency
{
  Urgent,   ///< Answered at the deadline with the results received until then.
  Normal,   ///< Between Urgent and Browsing.
  Browsing, ///< May take longer, but must be nearly complete.
};

/** Rule that merges the shard results into one result. */
enum class merge_rule
{
  Concat, ///< Concatenates the shards' arrays in the order of shards.
  Top,    ///< Keeps the mLimit entries with the highest number "score".
  Sum,    ///< Adds objects of numbers key by key.
};

/** Contract of one request kind. */
struct contract
{
  kind_id mKind;
  urgency mUrgency = urgency::Normal;
  std::chrono::milliseconds mDeadline{ 0 }; ///< From arrival to the answer.
  double mLeastCoverage = 0; ///< Fraction of coverage names below which a
                             ///< partial answer counts as failed.
  bool mIdempotent = true;   ///< False if a request may run at most once.
  merge_rule mMerge = merge_rule::Concat;
  int mLimit = 0; ///< Number of entries kept by merge_rule::Top.

  bool operator==(const contract&) const = default;
};

} // namespace monsooncroft::model

#endif
