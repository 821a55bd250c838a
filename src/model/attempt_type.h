/**
 * @file attempt_type.h
 * One attempt to query one shard at one leaf, and its outcome.
 */
#ifndef MONSOONCROFT_MODEL_ATTEMPT_TYPE_H
#define MONSOONCROFT_MODEL_ATTEMPT_TYPE_H

#include "model/answer_type.h"

#include <string>

namespace monsooncroft::model {

/**
 * Outcome of an attempt. After the first three, the leaf did not run the
 * attempt.
 */
enum class attempt_outcome
{
  NotSent, ///< No byte was sent to the leaf.
  Refused, ///< The leaf replied that it did not run the attempt.
  NotHeld, ///< The leaf does not hold the shard at the pinned snapshot; not
           ///< run.
  Ok,      ///< Ran; mResult holds the result.
  Error,   ///< Ran and failed.
  Lost,    ///< Bytes may have been sent and no answer arrived; may have run.
};

/** Returns whether the outcome proves that the leaf did not run the attempt. */
constexpr bool
DidNotRun(attempt_outcome aOutcome)
{
  return aOutcome == attempt_outcome::NotSent ||
         aOutcome == attempt_outcome::Refused ||
         aOutcome == attempt_outcome::NotHeld;
}

/** Result of one attempt. */
struct attempt_result
{
  attempt_id mAttempt;
  shard_id mShard;
  leaf_id mLeaf;
  attempt_outcome mOutcome = attempt_outcome::Lost;
  index_version mSnapshot = 0; ///< Index version that the result came from.
  std::string mReason; ///< Machine-readable reason of a refusal or an error.
  std::string mResult; ///< JSON result if mOutcome is Ok.

  bool operator==(const attempt_result&) const = default;
};

} // namespace monsooncroft::model

#endif
