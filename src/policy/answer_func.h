/**
 * @file answer_func.h
 * From the end of a fan-out to the caller's one final answer.
 */
#ifndef MONSOONCROFT_POLICY_ANSWER_FUNC_H
#define MONSOONCROFT_POLICY_ANSWER_FUNC_H

#include "model/answer_type.h"
#include "model/contract_type.h"
#include "model/service_type.h"
#include "policy/fanout_type.h"

namespace monsooncroft::policy {

/** What the final status depends on. */
struct status_inputs
{
  bool mIdempotent = true;
  double mLeastCoverage = 0;       ///< Of the contract.
  double mCoverage = 0;            ///< Fraction of names answered.
  bool mAllShardsAnswered = false; ///< Every shard is in the answer.
  bool mAnyShardAnswered = false;  ///< At least one shard is.
  bool mUnansweredMayHaveRun =
    false; ///< Some unanswered shard ran or may have run.
};

/** The final status for these facts. */
model::status
DecideStatus(const status_inputs& aFacts);

/**
 * Builds the answer of a finished fan-out. A shard whose result cannot be
 * merged counts as one that ran and is missing.
 * @param aPlan The fan-out's plan: request, snapshot.
 * @param aReport Its end.
 * @param aService The service at the pinned manifest.
 * @param aContract The kind's terms.
 * @param aManifest The pinned manifest's version.
 * @param aRanBefore An earlier fan-out of the same query, at another snapshot,
 * ran or may have run.
 */
model::answer
BuildAnswer(const fanout_plan& aPlan,
            const fanout_report& aReport,
            const model::service& aService,
            const model::contract& aContract,
            model::manifest_version aManifest,
            bool aRanBefore = false);

/**
 * An answer to a request of which nothing was sent.
 * @param aRequest The request.
 * @param aService The service, null if it is not known.
 * @param aReason Machine-readable word.
 */
model::answer
NotRunAnswer(const model::request_id& aRequest,
             const model::service* aService,
             const std::string& aReason);

} // namespace monsooncroft::policy

#endif
