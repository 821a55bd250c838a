/**
 * @file query_desk.cpp
 * Takes callers' requests and starts their runs.
 */
#include "gateway/query_desk_base.h"

#include "gateway/query_run_base.h"
#include "gateway/request_head_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

#include <algorithm>
#include <charconv>

namespace monsooncroft::gateway {

namespace {

/** Path and query of an origin-form target. */
bool
ProperTarget(const std::string& aTarget)
{
  return !aTarget.empty() && aTarget.front() == '/';
}

} // namespace

query_desk::query_desk(const query_context& aContext, double aOffset)
  : mContext(aContext)
  , mSplit(aOffset)
{
}

void
query_desk::SetConfig(serving::routing_config_ptr aConfig)
{
  mConfig = std::move(aConfig);
  std::erase_if(mLatencies, [&](const auto& aEntry) {
    const auto& routes = mConfig->Routes();
    return std::none_of(
      routes.begin(), routes.end(), [&](const serving::route& aRoute) {
        return aRoute.mName == aEntry.first;
      });
  });
}

const std::shared_ptr<serving::route_latency>&
query_desk::LatencyOf(const serving::route& aRoute)
{
  auto& latency = mLatencies[aRoute.mName];
  if (!latency) {
    latency = std::make_shared<serving::route_latency>(aRoute.mTargetLatency);
  }
  return latency;
}

void
query_desk::Refuse(const exchange_ptr& aExchange,
                   int aStatus,
                   const char* aReason) const
{
  http_response response;
  response.mStatus = aStatus;
  if (aStatus == 503) {
    response.mFields.push_back(
      { "Retry-After", SecondsText(mContext.mSettings.mRetryAfter) });
  }
  const std::string* id = aExchange->Request().Find(mContext.mNames.mRequestId);
  mContext.mLog.Write(
    ops::log_level::Info,
    "refused",
    { { "request", id == nullptr ? std::string() : *id },
      { "status", static_cast<long>(aStatus) },
      { "reason", std::string(aReason) },
      { "target", aExchange->Request().mTarget },
      { "config", static_cast<long>(mConfig ? mConfig->Version() : 0) } });
  mContext.mMetrics.Count("refusals", { { "reason", aReason } });
  aExchange->Respond(response);
}

once::passage
query_desk::Passage(const http_message& aRequest,
                    const std::string& aHost) const
{
  if (mContext.mQuarantine.Marks() == 0) {
    return once::passage::Free;
  }
  const auto wall = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  return mContext.mQuarantine.Admit(
    ContentOf(aRequest), model::service_id(aHost), wall);
}

void
query_desk::OnRequest(const exchange_ptr& aExchange)
{
  const http_message& request = aExchange->Request();
  if (!mConfig) {
    return Refuse(aExchange, 503, "no configuration yet");
  }
  const std::string* host = request.Find("Host");
  if (host == nullptr || !ProperTarget(request.mTarget)) {
    return Refuse(aExchange, 400, "no host, or no path");
  }
  const std::string* id = request.Find(mContext.mNames.mRequestId);
  const serving::route* route = mConfig->Match(*host, request.mTarget);
  if (route == nullptr) {
    return mConfigCertain
             ? Refuse(aExchange, 404, "no route")
             : Refuse(aExchange, 503, "no route, configuration uncertain");
  }
  if (id == nullptr || id->empty()) {
    return Refuse(aExchange, 400, "no request id");
  }
  const once::passage passage = Passage(request, *host);
  if (passage == once::passage::Refused) {
    return Refuse(aExchange, 503, once::kReasonQuarantined);
  }
  std::chrono::milliseconds wait = route->mTimeout;
  if (const auto* left = request.Find(mContext.mNames.mRemainingMs)) {
    long ms = 0;
    const auto read =
      std::from_chars(left->data(), left->data() + left->size(), ms);
    if (read.ec != std::errc() || ms < 0) {
      return Refuse(aExchange, 400, "remaining time is no number");
    }
    wait = std::min(wait, std::chrono::milliseconds(ms));
  }
  mDemand.OnRequest(route->mName, aExchange->Received());
  query_run::plan plan;
  plan.mConfig = mConfig;
  plan.mRoute = route;
  plan.mServices = route->IsFanOut()
                     ? route->mShards
                     : std::vector<std::string>{ mSplit.Next(*route) };
  plan.mLatency = LatencyOf(*route);
  plan.mRequestId = *id;
  plan.mOnceOnly = passage != once::passage::Free;
  plan.mDeadline = aExchange->Received() + wait;
  std::make_shared<query_run>(mContext, aExchange, std::move(plan))->Start();
}

} // namespace monsooncroft::gateway
