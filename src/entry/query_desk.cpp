/**
 * @file query_desk.cpp
 * Where a query goes.
 */
#include "entry/query_desk_base.h"

#include "config/query_json_func.h"
#include "entry/caller_handler_base.h"
#include "entry/clock_func.h"
#include "entry/once_service_base.h"
#include "entry/root_service_base.h"
#include "entry/trial_service_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

namespace monsooncroft::entry {

query_desk::query_desk(const desk_parts& aParts)
  : mParts(aParts)
{
}

net::http_response
query_desk::Answer(const model::query& aQuery)
{
  const model::instant arrived = Now();
  if (const auto bad = mParts.mRoot.Check(aQuery)) {
    return Refuse({ { "/" + bad->mField, "", bad->mReason } });
  }
  model::answer answer;
  const std::optional<model::contract> contract =
    mParts.mRoot.ContractOf(aQuery);
  if (const auto limited = mParts.mRoot.Limit(aQuery)) {
    answer = *limited;
  } else if (contract && !contract->mIdempotent) {
    answer = mParts.mOnce.Answer(aQuery, *contract, arrived);
  } else {
    run_terms terms;
    terms.mArrived = arrived;
    answer = mParts.mTrials.Run(aQuery, terms);
  }
  Report(aQuery, answer);
  return ToResponse(answer);
}

net::http_response
query_desk::Refuse(const config::config_errors& aErrors)
{
  // Not logged: the faults quote what the caller sent.
  mParts.mMetrics.Count("bad_queries");
  net::http_response response;
  response.mStatus = net::kHttpBadRequest;
  response.mBody = config::EmitBadQuery(aErrors);
  return response;
}

void
query_desk::Report(const model::query& aQuery,
                   const model::answer& aAnswer) const
{
  mParts.mMetrics.Count(
    "answers",
    { { "service", aQuery.mService.Value() },
      { "kind", aQuery.mKind.Value() },
      { "tenant", aQuery.mWorkspace.Value() },
      { "status", std::string(model::ToString(aAnswer.mStatus)) },
      { "reason", aAnswer.mReason } });
  const bool fine = aAnswer.mStatus == model::status::Complete;
  mParts.mLog.Write(
    fine ? ops::log_level::Debug : ops::log_level::Info,
    "query_done",
    { { "request_id", aQuery.mRequest.Value() },
      { "tenant", aQuery.mWorkspace.Value() },
      { "service", aQuery.mService.Value() },
      { "kind", aQuery.mKind.Value() },
      { "status", std::string(model::ToString(aAnswer.mStatus)) },
      { "reason", aAnswer.mReason },
      { "manifest", static_cast<long>(aAnswer.mManifest) },
      { "snapshot", static_cast<long>(aAnswer.mSnapshot) },
      { "coverage", aAnswer.mCoverage.Fraction() } });
}

} // namespace monsooncroft::entry
