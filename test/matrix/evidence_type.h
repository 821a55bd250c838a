/**
 * @file evidence_type.h
 * What one run of the matrix left behind, and the checker of it.
 */
#ifndef MONSOONCROFT_TEST_MATRIX_EVIDENCE_TYPE_H
#define MONSOONCROFT_TEST_MATRIX_EVIDENCE_TYPE_H

#include "model/answer_type.h"
#include "model/manifest_base.h"
#include "store/apply_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::test {

/** An answer as an instance gave it. */
struct given_answer
{
  model::instant mAt;
  model::answer mAnswer;
};

/** One send of a request. */
struct sent_query
{
  model::request_id mRequest;
  bool mIdempotent = true;
  model::instant mAt;
  model::instant mDeadline;
  bool mDisturbed = false; ///< Its instance was killed or paused meanwhile.
  std::vector<given_answer> mAnswers;
};

/** One run of a shard of a request at a fake leaf. */
struct execution
{
  std::size_t mSend = 0; ///< Index of the send that it belongs to.
  model::request_id mRequest;
  model::shard_id mShard;
  std::string mText; ///< Entry of the result: request|shard|snapshot|leaf.
};

/** One apply of an operator. */
struct applied_change
{
  store::change_id mChange;
  std::optional<store::apply_verdict> mVerdict; ///< Nothing: was killed.
};

/** Everything that happened. */
struct evidence
{
  std::vector<model::manifest_ptr> mManifests; ///< Of the queries.
  std::vector<sent_query> mSends;
  std::vector<execution> mExecutions;
  int mWorkWhileLeaving = 0; ///< Attempts dispatched to a leaving leaf.
  int mKilled = 0;           ///< Leaves lost to the killing request.
  int mMostKilled = 2;       ///< Allowed.

  std::vector<applied_change> mChanges;
  std::vector<store::head> mHeads; ///< Every head that the store had.
  std::map<std::string, std::vector<model::manifest_version>>
    mAdopted;                     ///< By life of an instance, in order.
  bool mInForceEverywhere = true; ///< The newest head, at the end.
};

/** @return What does not hold; empty if all is well. */
std::vector<std::string>
CheckInvariants(const evidence& aEvidence);

} // namespace monsooncroft::test

#endif
