/**
 * @file request_dispatcher.cpp
 * Validates and routes callers' requests and starts their execution.
 */
#include "gateway/request_dispatcher_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/query_execution_base.h"
#include "gateway/relay_client_base.h"
#include "gateway/relay_fields_type.h"
#include "gateway/request_head_func.h"
#include "gateway/workspace_metrics_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

#include <algorithm>
#include <charconv>

namespace monsooncroft::gateway {

namespace {

/** More than come into force in the time in which all instances learn of one.
 */
constexpr std::size_t kMaxEarlierConfigs = 3;

/** Parses a whole number; nothing if the text is not one. */
std::optional<long>
ParseNumber(const std::string& aText)
{
  long number = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number)
                                                       : std::nullopt;
}

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
  , mKeyWaits(aContext.mLoop,
              [this](const exchange_ptr& aExchange, model::instant aWaitEnd) {
                Dispatch(aExchange, { aWaitEnd, std::nullopt });
              })
{
}

void
request_dispatcher::SetConfig(serving::routing_config_ptr aConfig)
{
  if (mConfig && mConfig->Version() < aConfig->Version()) {
    mEarlierConfigs.push_front(mConfig);
    mEarlierConfigs.resize(
      std::min(mEarlierConfigs.size(), kMaxEarlierConfigs));
  }
  mConfig = std::move(aConfig);
  mUnknownKeys.OnConfig();
  mKeyWaits.ResumeAll();
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
                           const refusal& aRefusal) const
{
  const auto& [status, reason, workspace, retryAfter] = aRefusal;
  http_response response;
  response.mStatus = status;
  if (status == 503 || status == 429) {
    response.mFields.push_back(
      { "Retry-After",
        FormatSeconds(retryAfter.value_or(mContext.mSettings.mRetryAfter)) });
  } else if (status == 401) {
    response.mFields.push_back({ "WWW-Authenticate", "Bearer" });
  }
  const std::string* id =
    aExchange->Request().Find(mContext.mHeaderNames.mRequestId);
  mContext.mLog.Write(
    ops::log_level::Info,
    "refused",
    { { "request", id == nullptr ? std::string() : *id },
      { "status", static_cast<long>(status) },
      { "reason", std::string(reason) },
      { "target", LoggedTarget(aExchange->Request().mTarget) },
      { "workspace", workspace == nullptr ? std::string() : workspace->mName },
      { "config", static_cast<long>(mConfig ? mConfig->Version() : 0) } });
  mContext.mMetrics.Count("refusals", { { "reason", reason } });
  if (workspace != nullptr) {
    CountRefusal(mContext.mMetrics, workspace->mName, status, reason);
  }
  aExchange->Respond(response);
}

std::string
request_dispatcher::LoggedTarget(const std::string& aTarget) const
{
  return mConfig && mConfig->UsesWorkspaces()
           ? aTarget.substr(0, aTarget.find('?'))
           : aTarget;
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
  Dispatch(aExchange, {});
}

void
request_dispatcher::RefuseAtStop(const exchange_ptr& aExchange)
{
  Refuse(aExchange, { 503, kReasonStopping });
}

void
request_dispatcher::Dispatch(const exchange_ptr& aExchange,
                             const progress& aProgress)
{
  const http_message& request = aExchange->Request();
  if (!mConfig) {
    return Refuse(aExchange, { 503, "no configuration yet" });
  }
  const std::string* host = request.Find("Host");
  if (host == nullptr || !IsOriginForm(request.mTarget)) {
    return Refuse(aExchange, { 400, "no host, or no path" });
  }
  const std::string* id = request.Find(mContext.mHeaderNames.mRequestId);
  const serving::route* route = mConfig->Match(*host, request.mTarget);
  if (route == nullptr) {
    return mConfigCurrent
             ? Refuse(aExchange, { 404, "no route" })
             : Refuse(aExchange, { 503, "no route, configuration uncertain" });
  }
  if (id == nullptr || id->empty()) {
    return Refuse(aExchange, { 400, "no request id" });
  }
  const auto timeout = Timeout(request, *route);
  const model::instant deadline =
    aExchange->ReceivedAt() + timeout.value_or(route->mTimeout);
  const serving::workspace* workspace = nullptr;
  if (NeedsKey(*route)) {
    workspace = Authenticate(aExchange, deadline, aProgress);
    if (workspace == nullptr) {
      return;
    }
  }
  const once::screening_permit permit = CheckQuarantine(request, *host);
  if (permit == once::screening_permit::Refused) {
    return Refuse(aExchange, { 503, once::kReasonQuarantined, workspace });
  }
  if (!timeout) {
    return Refuse(aExchange, { 400, "remaining time is no number", workspace });
  }
  if (workspace != nullptr &&
      !Charge(aExchange, *workspace, deadline, aProgress)) {
    return;
  }
  mDemand.OnRequest(route->mName, aExchange->ReceivedAt());
  query_plan plan;
  plan.mConfig = mConfig;
  plan.mRoute = route;
  plan.mWorkspace = workspace;
  plan.mRank = serving::RankOf(*mConfig, *route, workspace);
  plan.mServices =
    route->IsFanOut()
      ? route->mShards
      : std::vector<std::string>{ mTrafficSplit.NextService(*route) };
  plan.mLatency = LatencyOf(*route);
  plan.mRequestId = *id;
  plan.mSingleAttempt = permit != once::screening_permit::Unrestricted;
  plan.mDeadline = deadline;
  Start(aExchange, std::move(plan));
}

void
request_dispatcher::Start(const exchange_ptr& aExchange, query_plan aPlan)
{
  if (aPlan.mWorkspace != nullptr) {
    CountRequest(mContext.mMetrics, aPlan.mWorkspace->mName);
  }
  // Not the time of receipt: the request may have waited.
  const model::instant now = event_loop::Now();
  if (aPlan.mRoute->IsFanOut() && mUsesRelay && mContext.mRelay.HasRoot(now)) {
    Relay(aExchange, aPlan, now);
  } else {
    Execute(aExchange, std::move(aPlan));
  }
}

std::optional<std::chrono::milliseconds>
request_dispatcher::Timeout(const http_message& aRequest,
                            const serving::route& aRoute) const
{
  const auto* remaining = aRequest.Find(mContext.mHeaderNames.mRemainingMs);
  if (remaining == nullptr) {
    return aRoute.mTimeout;
  }
  long ms = 0;
  const auto parsed = std::from_chars(
    remaining->data(), remaining->data() + remaining->size(), ms);
  if (parsed.ec != std::errc() || ms < 0) {
    return std::nullopt;
  }
  return std::min(aRoute.mTimeout, std::chrono::milliseconds(ms));
}

void
request_dispatcher::Execute(const exchange_ptr& aExchange, query_plan aPlan)
{
  std::make_shared<query_execution>(mContext, aExchange, std::move(aPlan))
    ->Start();
}

void
request_dispatcher::Relay(const exchange_ptr& aExchange,
                          const query_plan& aPlan,
                          model::instant aNow)
{
  relayed_query query;
  query.mExchange = aExchange;
  query.mRequestId = aPlan.mRequestId;
  query.mRouteName = aPlan.mRoute->mName;
  query.mConfigVersion = aPlan.mConfig->Version();
  query.mUsesWorkspaces = aPlan.mConfig->UsesWorkspaces();
  query.mWorkspace = aPlan.WorkspaceName();
  query.mAnswerBy =
    query_execution::PartialAnswerAt(mContext.mSettings, *aExchange, aPlan);
  query.mDeadline = aPlan.mDeadline;
  query.mMaxAttempts = aPlan.mSingleAttempt ? 1 : aPlan.mRoute->mMaxAttempts;
  mContext.mRelay.Send(
    std::move(query),
    [this, aExchange, aPlan](const serving::attempt_grant& aGrant) {
      query_plan plan = aPlan;
      plan.mGrant = aGrant;
      Execute(aExchange, std::move(plan));
    },
    aNow);
}

serving::routing_config_ptr
request_dispatcher::ConfigOfVersion(std::uint64_t aVersion) const
{
  for (const serving::routing_config_ptr& config : mEarlierConfigs) {
    if (config->Version() == aVersion) {
      return config;
    }
  }
  return mConfig;
}

void
request_dispatcher::RefuseRelayed(const exchange_ptr& aExchange,
                                  const char* aReason) const
{
  mContext.mMetrics.Count("relayed_queries_refused", { { "reason", aReason } });
  http_response response;
  response.mStatus = 503;
  response.mFields.push_back({ relay_fields::kRefused, aReason });
  aExchange->Respond(response);
}

void
request_dispatcher::OnRelayedRequest(const exchange_ptr& aExchange)
{
  http_message& request = aExchange->Request();
  const auto take = [&request](const char* aName) {
    const std::string* value = request.Find(aName);
    auto text = value == nullptr ? std::nullopt : std::optional(*value);
    std::erase_if(request.mFields, [&](const http_field& aField) {
      return EqualsIgnoreCase(aField.mName, aName);
    });
    return text;
  };
  const auto takeNumber = [&take](const char* aName) {
    const auto text = take(aName);
    return text ? ParseNumber(*text) : std::nullopt;
  };
  const auto version = takeNumber(relay_fields::kConfigVersion);
  const auto within = takeNumber(relay_fields::kAnswerWithinUs);
  const bool isResent = takeNumber(relay_fields::kResent).has_value();
  const auto attempts = takeNumber(relay_fields::kAttempts);
  const auto reserved = takeNumber(relay_fields::kReserved);
  const auto workspaceName = take(relay_fields::kWorkspace);
  const std::string* host = request.Find("Host");
  const std::string* id = request.Find(mContext.mHeaderNames.mRequestId);
  if (!version || *version < 0 || !within || *within < 0 || host == nullptr ||
      id == nullptr || id->empty() || !IsOriginForm(request.mTarget)) {
    mContext.mLog.Write(ops::log_level::Warning,
                        "relayed_query_malformed",
                        { { "target", LoggedTarget(request.mTarget) } });
    return RefuseRelayed(aExchange, "malformed");
  }
  const auto wanted = static_cast<std::uint64_t>(*version);
  if (!mConfig || mConfig->Version() < wanted) {
    return RefuseRelayed(aExchange, "older configuration");
  }
  query_plan plan;
  plan.mConfig = ConfigOfVersion(wanted);
  plan.mRoute = plan.mConfig->Match(*host, request.mTarget);
  if (plan.mRoute == nullptr || !plan.mRoute->IsFanOut()) {
    return RefuseRelayed(aExchange, "no fan-out");
  }
  if (plan.mConfig->UsesWorkspaces() && !plan.mRoute->mPublic) {
    plan.mWorkspace =
      plan.mConfig->WorkspaceNamed(workspaceName.value_or(std::string()));
    if (plan.mWorkspace == nullptr) {
      return RefuseRelayed(aExchange, "no workspace");
    }
  }
  plan.mRank = serving::RankOf(*plan.mConfig, *plan.mRoute, plan.mWorkspace);
  const auto timeout = Timeout(request, *plan.mRoute);
  const once::screening_permit permit = CheckQuarantine(request, *host);
  if (!timeout || permit == once::screening_permit::Refused) {
    return RefuseRelayed(aExchange, "not allowed");
  }
  aExchange->SendProcessing();
  plan.mServices = plan.mRoute->mShards;
  plan.mLatency = LatencyOf(*plan.mRoute);
  plan.mRequestId = *id;
  plan.mSingleAttempt = permit != once::screening_permit::Unrestricted;
  plan.mDeadline = aExchange->ReceivedAt() + *timeout;
  plan.mAnswerWithin = model::duration(*within);
  // An instance of an earlier version does not say how many.
  const long usual = isResent ? 1 : plan.mRoute->mMaxAttempts;
  plan.mGrant = { static_cast<int>(attempts.value_or(usual)),
                  static_cast<int>(reserved.value_or(0)),
                  isResent };
  Execute(aExchange, std::move(plan));
}

} // namespace monsooncroft::gateway
