/**
 * @file query_run_answer.cpp
 * How a request ends.
 */
#include "gateway/query_run_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/request_head_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/record_merge_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

void
query_run::Evaluate(model::instant aNow)
{
  const serving::answer_progress progress{
    mAnswered, mParts.size() - mAnswered - mLostParts
  };
  switch (serving::DecideAnswer(mTerms, progress, aNow)) {
    case serving::answer_decision::Wait:
      SetWake(aNow);
      return;
    case serving::answer_decision::Answer:
      Answer(aNow);
      return;
    case serving::answer_decision::GiveUp:
      GiveUp(aNow);
      return;
  }
}

void
query_run::SetWake(model::instant aNow)
{
  model::instant wake = mTerms.mDeadline;
  if (aNow < mTerms.mAnswerBy) {
    wake = std::min(wake, mTerms.mAnswerBy);
  }
  for (const part& shard : mParts) {
    if (!shard.mAnswered && !shard.mLost) {
      wake = std::min(wake, shard.mHedgeAt);
    }
  }
  if (wake == mWake) {
    return;
  }
  mWake = wake;
  mTimer.Start(wake - aNow);
}

void
query_run::Answer(model::instant aNow)
{
  http_response response;
  if (!mPlan.mRoute->IsFanOut()) {
    response = ForwardedAnswer(mParts.front().mAnswer);
    Finish(&response, "answered", aNow);
    return;
  }
  std::string signatures;
  std::vector<std::string_view> bodies;
  for (const part& shard : mParts) {
    if (!shard.mAnswered) {
      continue;
    }
    signatures.append(signatures.empty() ? "" : ", ");
    signatures.append(*shard.mAnswer.Find(mContext.mNames.mSignature));
    bodies.push_back(shard.mAnswer.mBody);
  }
  response.mFields = {
    { mContext.mNames.mRequestId, mPlan.mRequestId },
    { mContext.mNames.mPartSignatures, std::move(signatures) },
    { mContext.mNames.mMissingParts, std::to_string(mParts.size() - mAnswered) }
  };
  response.mBody = serving::MergeRecords(bodies, mPlan.mRoute->mTopRecords);
  Finish(&response, mAnswered == mParts.size() ? "complete" : "partial", aNow);
}

void
query_run::GiveUp(model::instant aNow)
{
  bool sent = mMayHaveRun;
  for (const part& shard : mParts) {
    sent = sent || shard.mAnswered;
    for (const leaf_attempt_ptr& attempt : shard.mAttempts) {
      sent = sent || attempt->mSent.has_value();
    }
  }
  http_response response;
  const char* outcome = "failed";
  if (!sent) {
    outcome = "not_run";
    response.mStatus = 503;
    response.mFields.push_back(
      { "Retry-After", SecondsText(mContext.mSettings.mRetryAfter) });
  } else if (!mPlan.mRoute->IsFanOut() && mFailure.mStatus != 0) {
    response = ForwardedAnswer(mFailure);
  } else {
    response.mStatus = aNow >= mTerms.mDeadline ? 504 : 502;
  }
  Finish(&response, outcome, aNow);
}

void
query_run::Finish(const http_response* aResponse,
                  const char* aOutcome,
                  model::instant aNow)
{
  if (mDone) {
    return;
  }
  mDone = true;
  mTimer.Stop();
  for (part& shard : mParts) {
    for (const leaf_attempt_ptr& attempt : shard.mAttempts) {
      attempt->Abandon(aNow);
    }
    shard.mAttempts.clear();
  }
  const auto took = aNow - mExchange->Received();
  mContext.mLog.Write(
    ops::log_level::Info,
    "request",
    { { "request", mPlan.mRequestId },
      { "route", mPlan.mRoute->mName },
      { "config", static_cast<long>(mPlan.mConfig->Version()) },
      { "outcome", std::string(aOutcome) },
      { "status",
        static_cast<long>(aResponse == nullptr ? 0 : aResponse->mStatus) },
      { "ms", static_cast<double>(took.count()) / 1000.0 },
      { "answered", static_cast<long>(mAnswered) },
      { "total", static_cast<long>(mParts.size()) },
      { "sends", static_cast<long>(mSends) },
      { "hedges", static_cast<long>(mHedges) },
      { "omitted", static_cast<long>(mOmitted) },
      { "missing", MissingText() },
      { "reason", std::string(mLastReason) } });
  mContext.mMetrics.Count("requests",
                          { { "route", mPlan.mRoute->mName },
                            { "outcome", aOutcome },
                            { "reason", mLastReason } });
  ops::query_figures figures;
  figures.mLatency = took;
  figures.mCoverage =
    static_cast<double>(mAnswered) / static_cast<double>(mParts.size());
  figures.mAttempts = mSends;
  figures.mLeastAttempts = static_cast<int>(mParts.size());
  figures.mStatus = aOutcome;
  mContext.mMetrics.RecordQuery({ model::service_id(mPlan.mServices.front()),
                                  model::kind_id(mPlan.mRoute->mName),
                                  model::tenant_id(mPlan.mRoute->mHost) },
                                figures);
  if (aResponse != nullptr) {
    mExchange->Respond(*aResponse);
  } else {
    mExchange->OnLeft(nullptr);
  }
  // The run may be on the stack, held by nothing else.
  mContext.mLoop.Defer([self = std::move(mSelf)] {});
}

std::string
query_run::MissingText() const
{
  std::string text;
  if (mAnswered == mParts.size()) {
    return text;
  }
  for (std::size_t place = 0; place < mParts.size(); ++place) {
    if (mParts[place].mAnswered) {
      continue;
    }
    text.append(text.empty() ? "" : " ").append(mPlan.mServices[place]);
    if (mParts[place].mOmitted) {
      text.append("~").append(
        std::to_string(
          std::min<long>(mParts[place].mExpected.count() / 1'000, 99'999)) +
        "ms");
    }
    for (const std::string& leaf : mParts[place].mTried) {
      text.append(":").append(leaf);
    }
  }
  return text;
}

} // namespace monsooncroft::gateway
