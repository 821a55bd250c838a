/**
 * @file request_dispatcher.cpp
 * Validates and routes callers' requests and starts their execution.
 */
#include "gateway/request_dispatcher_base.h"

#include "gateway/query_execution_base.h"
#include "gateway/request_head_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

#include <algorithm>
#include <charconv>

namespace monsooncroft::gateway {

namespace {

/** Whether the target is in origin form: a path with an optional query. */
bool
IsOriginForm(const std::string& aTarget)
{
  return !aTarget.empty() && aTarget.front() == '/';
}

} // namespace

request_dispatcher::request_dispatcher(const query_context& aContext,
                                       double aOffset)
  : mContext(aContext)
  , mTrafficSplit(aOffset)
{
}

void
request_dispatcher::SetConfig(serving::routing_config_ptr aConfig)
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
request_dispatcher::LatencyOf(const serving::route& aRoute)
{
  auto& latency = mLatencies[aRoute.mName];
  if (!latency) {
    latency = std::make_shared<serving::route_latency>(aRoute.mTargetLatency);
  }
  return latency;
}

void
request_dispatcher::Refuse(const exchange_ptr& aExchange,
                           int aStatus,
                           const char* aReason) const
{
  http_response response;
  response.mStatus = aStatus;
  if (aStatus == 503) {
    response.mFields.push_back(
      { "Retry-After", FormatSeconds(mContext.mSettings.mRetryAfter) });
  }
  const std::string* id =
    aExchange->Request().Find(mContext.mHeaderNames.mRequestId);
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

once::screening_permit
request_dispatcher::CheckQuarantine(const http_message& aRequest,
                                    const std::string& aHost) const
{
  if (mContext.mQuarantine.MarkCount() == 0) {
    return once::screening_permit::Unrestricted;
  }
  const auto wall = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  return mContext.mQuarantine.Admit(
    HashRequestContent(aRequest), model::service_id(aHost), wall);
}

void
request_dispatcher::OnRequest(const exchange_ptr& aExchange)
{
  const http_message& request = aExchange->Request();
  if (!mConfig) {
    return Refuse(aExchange, 503, "no configuration yet");
  }
  const std::string* host = request.Find("Host");
  if (host == nullptr || !IsOriginForm(request.mTarget)) {
    return Refuse(aExchange, 400, "no host, or no path");
  }
  const std::string* id = request.Find(mContext.mHeaderNames.mRequestId);
  const serving::route* route = mConfig->Match(*host, request.mTarget);
  if (route == nullptr) {
    return mConfigCurrent
             ? Refuse(aExchange, 404, "no route")
             : Refuse(aExchange, 503, "no route, configuration uncertain");
  }
  if (id == nullptr || id->empty()) {
    return Refuse(aExchange, 400, "no request id");
  }
  const once::screening_permit permit = CheckQuarantine(request, *host);
  if (permit == once::screening_permit::Refused) {
    return Refuse(aExchange, 503, once::kReasonQuarantined);
  }
  std::chrono::milliseconds timeout = route->mTimeout;
  if (const auto* remaining =
        request.Find(mContext.mHeaderNames.mRemainingMs)) {
    long ms = 0;
    const auto parsed = std::from_chars(
      remaining->data(), remaining->data() + remaining->size(), ms);
    if (parsed.ec != std::errc() || ms < 0) {
      return Refuse(aExchange, 400, "remaining time is no number");
    }
    timeout = std::min(timeout, std::chrono::milliseconds(ms));
  }
  mDemand.OnRequest(route->mName, aExchange->ReceivedAt());
  query_execution::plan plan;
  plan.mConfig = mConfig;
  plan.mRoute = route;
  plan.mServices =
    route->IsFanOut()
      ? route->mShards
      : std::vector<std::string>{ mTrafficSplit.NextService(*route) };
  plan.mLatency = LatencyOf(*route);
  plan.mRequestId = *id;
  plan.mSingleAttempt = permit != once::screening_permit::Unrestricted;
  plan.mDeadline = aExchange->ReceivedAt() + timeout;
  std::make_shared<query_execution>(mContext, aExchange, std::move(plan))
    ->Start();
}

} // namespace monsooncroft::gateway
