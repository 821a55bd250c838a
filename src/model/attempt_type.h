/**
 * @file attempt_type.h
 * One try of one shard at one leaf, and how it ended.
 */
#ifndef MONSOONCROFT_MODEL_ATTEMPT_TYPE_H
#define MONSOONCROFT_MODEL_ATTEMPT_TYPE_H

#include "model/answer_type.h"

#include <string>

namespace monsooncroft::model {

/** How an attempt ended; the first three did not run at the leaf. */
enum class attempt_outcome
{
  NotSent, ///< No byte left for the leaf.
  Refused, ///< The leaf said that it did not run it.
  NotHeld, ///< The leaf does not hold the shard at the pinned snapshot; not
           ///< run.
  Ok,      ///< Ran; mResult is its result.
  Error,   ///< Ran and failed.
  Lost,    ///< Bytes may have left and no answer came; may have run.
};

/** Whether the outcome proves that the leaf did not run the attempt. */
constexpr bool
DidNotRun(attempt_outcome aOutcome)
{
  return aOutcome == attempt_outcome::NotSent ||
         aOutcome == attempt_outcome::Refused ||
         aOutcome == attempt_outcome::NotHeld;
}

/** The end of one attempt. */
struct attempt_result
{
  attempt_id mAttempt;
  shard_id mShard;
  leaf_id mLeaf;
  attempt_outcome mOutcome = attempt_outcome::Lost;
  index_version mSnapshot = 0; ///< Index version the result came from.
  std::string mReason;         ///< Word for a refusal or an error.
  std::string mResult;         ///< JSON, when Ok.

  bool operator==(const attempt_result&) const = default;
};

} // namespace monsooncroft::model

#endif
