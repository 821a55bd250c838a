/**
 * @file query_execution_answer.cpp
 * Decision, answer and log entry at the end of a request.
 */
#include "gateway/query_execution_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/header_names_type.h"
#include "gateway/query_settings_type.h"
#include "gateway/request_head_func.h"
#include "gateway/workspace_metrics_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/record_merge_func.h"
#include "serving/retry_after_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Shards with several attempts that a log line lists. */
constexpr std::size_t kMaxListedShards = 24;

} // namespace

void
query_execution::Evaluate(model::instant aNow)
{
  const serving::answer_progress progress{
    mAnsweredShards, mShards.size() - mAnsweredShards - mFailedShards
  };
  switch (serving::DecideAnswer(mRequirements, progress, aNow)) {
    case serving::answer_decision::Wait:
      ScheduleWake(aNow);
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
query_execution::ScheduleWake(model::instant aNow)
{
  model::instant wakeAt = mRequirements.mDeadline;
  if (aNow < mRequirements.mPartialAnswerAt) {
    wakeAt = std::min(wakeAt, mRequirements.mPartialAnswerAt);
  }
  for (const shard_state& shard : mShards) {
    if (!shard.mAnswered && !shard.mFailed) {
      wakeAt = std::min(wakeAt, WakeTime(shard));
    }
  }
  if (wakeAt == mWakeAt) {
    return;
  }
  mWakeAt = wakeAt;
  mTimer.Start(wakeAt - aNow);
}

void
query_execution::Answer(model::instant aNow)
{
  http_response response;
  if (!mPlan.mRoute->IsFanOut()) {
    response = ForwardedAnswer(mShards.front().mAnswer);
    Finish(&response, "answered", aNow);
    return;
  }
  std::string signatures;
  std::vector<std::string_view> bodies;
  for (const shard_state& shard : mShards) {
    if (!shard.mAnswered) {
      continue;
    }
    signatures.append(signatures.empty() ? "" : ", ");
    signatures.append(*shard.mAnswer.Find(mContext.mHeaderNames.mSignature));
    bodies.push_back(shard.mAnswer.mBody);
  }
  response.mFields = { { mContext.mHeaderNames.mRequestId, mPlan.mRequestId },
                       { mContext.mHeaderNames.mShardSignatures,
                         std::move(signatures) },
                       { mContext.mHeaderNames.mMissingShards,
                         std::to_string(mShards.size() - mAnsweredShards) } };
  response.mBody = serving::MergeRecords(bodies, mPlan.mRoute->mTopRecords);
  Finish(&response,
         mAnsweredShards == mShards.size() ? "complete" : "partial",
         aNow);
}

bool
query_execution::MayHaveBeenSent() const
{
  const auto wasSent = [](const leaf_attempt_ptr& aAttempt) {
    return aAttempt->mSentAt.has_value();
  };
  return mMayHaveRun ||
         std::any_of(mShards.begin(), mShards.end(), [&](const auto& aShard) {
           return aShard.mAnswered || std::any_of(aShard.mOutstanding.begin(),
                                                  aShard.mOutstanding.end(),
                                                  wasSent);
         });
}

void
query_execution::OnStop(stop_answers aWhich, model::instant aNow)
{
  if (mDone || (aWhich == stop_answers::Unsent && MayHaveBeenSent())) {
    return;
  }
  if (mAnsweredShards >= mRequirements.mRequiredShards) {
    Answer(aNow);
    return;
  }
  mLastReason = kReasonStopping;
  GiveUp(aNow);
}

void
query_execution::GiveUp(model::instant aNow)
{
  http_response response;
  const char* outcome = "failed";
  if (!MayHaveBeenSent()) {
    outcome = "not_run";
    response.mStatus = 503;
    std::vector<model::duration> delays;
    delays.reserve(mShards.size());
    for (std::size_t index = 0; index < mShards.size(); ++index) {
      delays.push_back(ShardReturnDelay(index, aNow));
    }
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(
      serving::ReturnDelay(std::move(delays), mRequirements.mRequiredShards));
    response.mFields.push_back(
      { "Retry-After",
        FormatSeconds(std::max(mContext.mSettings.mRetryAfter, delay)) });
  } else if (!mPlan.mRoute->IsFanOut() && mLeafFailure.mStatus != 0 &&
             !MeansNotRun(mLeafFailure.mStatus)) {
    response = ForwardedAnswer(mLeafFailure);
  } else {
    response.mStatus = aNow >= mRequirements.mDeadline ? 504 : 502;
  }
  Finish(&response, outcome, aNow);
}

void
query_execution::Finish(const http_response* aResponse,
                        const char* aOutcome,
                        model::instant aNow)
{
  if (mDone) {
    return;
  }
  mDone = true;
  mTimer.Stop();
  for (shard_state& shard : mShards) {
    for (const leaf_attempt_ptr& attempt : shard.mOutstanding) {
      attempt->Abandon(aNow);
    }
    shard.mOutstanding.clear();
  }
  const auto latency = aNow - mExchange->ReceivedAt();
  if (aResponse != nullptr) {
    mExchange->Respond(*aResponse);
  } else {
    mExchange->OnCallerLeft(nullptr);
  }
  // Merging and sending a large answer takes a small machine milliseconds.
  const auto answerTime = event_loop::Now() - aNow;
  if (aResponse != nullptr && mAnsweredShards > 0) {
    mPlan.mLatency->AddAnswerTime(answerTime);
  }
  LogEnd(aResponse == nullptr ? 0 : aResponse->mStatus,
         aOutcome,
         latency,
         answerTime);
  mContext.mMetrics.Count("requests",
                          { { "route", mPlan.mRoute->mName },
                            { "outcome", aOutcome },
                            { "reason", mLastReason } });
  // The instance that received the request counts a root's refusal.
  if (aResponse != nullptr && mPlan.mWorkspace != nullptr &&
      !mPlan.mAnswerWithin) {
    CountRefusal(mContext.mMetrics,
                 mPlan.mWorkspace->mName,
                 aResponse->mStatus,
                 mLastReason);
  }
  ops::query_measurements figures;
  figures.mLatency = latency;
  figures.mCoverage =
    static_cast<double>(mAnsweredShards) / static_cast<double>(mShards.size());
  figures.mAttempts = mAttemptCount;
  figures.mMinAttempts = static_cast<int>(mShards.size());
  figures.mStatus = aOutcome;
  mContext.mMetrics.RecordQuery({ model::service_id(mPlan.mServices.front()),
                                  model::kind_id(mPlan.mRoute->mName),
                                  model::workspace_id(mPlan.mRoute->mHost) },
                                figures);
  // Deferred: this may be the last reference, with member functions on the
  // stack.
  mContext.mLoop.Defer([self = std::move(mSelf)] {});
}

void
query_execution::LogEnd(int aStatus,
                        const char* aOutcome,
                        model::duration aLatency,
                        model::duration aAnswerTime) const
{
  mContext.mLog.Write(
    ops::log_level::Info,
    "request",
    { { "request", mPlan.mRequestId },
      { "route", mPlan.mRoute->mName },
      { "workspace", mPlan.WorkspaceName() },
      { "config", static_cast<long>(mPlan.mConfig->Version()) },
      { "outcome", std::string(aOutcome) },
      { "status", static_cast<long>(aStatus) },
      { "ms", static_cast<double>(aLatency.count()) / 1000.0 },
      { "answer_ms", static_cast<double>(aAnswerTime.count()) / 1000.0 },
      { "answered", static_cast<long>(mAnsweredShards) },
      { "total", static_cast<long>(mShards.size()) },
      { "sends", static_cast<long>(mAttemptCount) },
      { "hedges", static_cast<long>(mHedgeCount) },
      { "omitted", static_cast<long>(mOmittedShards) },
      { "max_attempts", static_cast<long>(mMaxAttempts) },
      { "asked", static_cast<long>(mAskedForAttempts) },
      { "resent", static_cast<long>(mPlan.IsResent()) },
      { "budget_denied", static_cast<long>(mDeniedAttempts) },
      { "budget_instances",
        static_cast<long>(mContext.mRetryBudget.InstanceCount()) },
      { "extra", FormatExtraAttempts() },
      { "missing", FormatMissingShards() },
      { "reason", std::string(mLastReason) } });
}

std::string
query_execution::FormatExtraAttempts() const
{
  std::string text;
  std::size_t listed = 0;
  for (std::size_t index = 0; index < mShards.size(); ++index) {
    const auto& leaves = mShards[index].mTriedLeaves;
    if (leaves.size() < 2) {
      continue;
    }
    if (++listed > kMaxListedShards) {
      return text.append(" ...");
    }
    text.append(text.empty() ? "" : " ").append(mPlan.mServices[index]);
    for (const std::string& leaf : leaves) {
      text.append(":").append(leaf);
    }
  }
  return text;
}

std::string
query_execution::FormatMissingShards() const
{
  std::string text;
  if (mAnsweredShards == mShards.size()) {
    return text;
  }
  for (std::size_t index = 0; index < mShards.size(); ++index) {
    if (mShards[index].mAnswered) {
      continue;
    }
    text.append(text.empty() ? "" : " ").append(mPlan.mServices[index]);
    if (mShards[index].mOmitted) {
      text.append("~").append(
        std::to_string(std::min<long>(
          mShards[index].mExpectedLatency.count() / 1'000, 99'999)) +
        "ms");
    }
    for (const std::string& leaf : mShards[index].mTriedLeaves) {
      text.append(":").append(leaf);
    }
  }
  return text;
}

} // namespace monsooncroft::gateway
