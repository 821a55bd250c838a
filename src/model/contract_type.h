/**
 * @file contract_type.h
 * What a service promises for one request kind.
 */
#ifndef MONSOONCROFT_MODEL_CONTRACT_TYPE_H
#define MONSOONCROFT_MODEL_CONTRACT_TYPE_H

#include "model/identifier_type.h"

#include <chrono>

namespace monsooncroft::model {

/** How urgent a kind of request is; more urgent compares less. */
enum class urgency
{
  Urgent,   ///< Answered at the deadline with what has come.
  Normal,   ///< Between the two.
  Browsing, ///< May wait, must be near-complete.
};

/** How the results of the shards become one. */
enum class merge_rule
{
  Concat, ///< The shards' arrays joined in the order of shards.
  Top,    ///< The mLimit entries with the highest number "score".
  Sum,    ///< Objects of numbers, added key by key.
};

/** A request kind's terms. */
struct contract
{
  kind_id mKind;
  urgency mUrgency = urgency::Normal;
  std::chrono::milliseconds mDeadline{ 0 }; ///< Longest time to the answer.
  double mLeastCoverage =
    0; ///< Fraction of names below which a partial answer is a failure.
  bool mIdempotent = true; ///< False: runs at most once.
  merge_rule mMerge = merge_rule::Concat;
  int mLimit = 0; ///< Entries kept by merge_rule::Top.

  bool operator==(const contract&) const = default;
};

} // namespace monsooncroft::model

#endif
