/**
 * @file answer_func.h
 * Builds the caller's final answer from a finished fan-out.
 */
#ifndef MONSOONCROFT_POLICY_ANSWER_FUNC_H
#define MONSOONCROFT_POLICY_ANSWER_FUNC_H

#include "model/answer_type.h"
#include "model/contract_type.h"
#include "model/service_type.h"
#include "policy/fanout_type.h"

namespace monsooncroft::policy {

/** Inputs of DecideStatus(). */
struct status_inputs
{
  bool mIdempotent = true;
  double mLeastCoverage = 0;       ///< Minimum coverage by the contract.
  double mCoverage = 0;            ///< Fraction of coverage names answered.
  bool mAllShardsAnswered = false; ///< Every shard is in the answer.
  bool mAnyShardAnswered = false;  ///< At least one shard is in the answer.
  /** An unanswered shard ran or may have run. */
  bool mUnansweredMayHaveRun = false;
};

/** Returns the final status of a query. */
model::status
DecideStatus(const status_inputs& aInputs);

/**
 * Builds the answer of a finished fan-out. A shard whose result cannot be
 * merged counts as run and missing.
 * @param aPlan Plan of the fan-out; supplies the request and the snapshot.
 * @param aReport Final report of the fan-out.
 * @param aService Service as declared by the pinned manifest.
 * @param aContract Contract of the request's kind.
 * @param aManifest Version of the pinned manifest.
 * @param aRanBefore Whether an earlier fan-out of the same query, at another
 * snapshot, ran or may have run.
 */
model::answer
BuildAnswer(const fanout_plan& aPlan,
            const fanout_report& aReport,
            const model::service& aService,
            const model::contract& aContract,
            model::manifest_version aManifest,
            bool aRanBefore = false);

/**
 * Builds the answer to a request of which no attempt was sent.
 * @param aRequest Id of the request.
 * @param aService Service of the request; null if it is unknown.
 * @param aReason Machine-readable reason.
 */
model::answer
NotRunAnswer(const model::request_id& aRequest,
             const model::service* aService,
             const std::string& aReason);

} // namespace monsooncroft::policy

#endif
