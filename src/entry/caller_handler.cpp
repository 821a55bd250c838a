/**
 * @file caller_handler.cpp
 * Routes of the caller address.
 */
#include "entry/caller_handler_base.h"

#include "config/query_json_func.h"
#include "entry/in_flight_base.h"
#include "entry/query_desk_base.h"

#include <utility>

namespace monsooncroft::entry {

namespace {

constexpr int kRetryAfterSeconds = 1;

int
HttpStatusOf(const model::answer& aAnswer)
{
  switch (aAnswer.mStatus) {
    case model::status::Complete:
    case model::status::Partial:
      return net::kHttpOk;
    case model::status::Failed:
      return net::kHttpGatewayTimeout;
    case model::status::NotRun:
      return aAnswer.mOverLimit ? net::kHttpTooManyRequests
                                : net::kHttpUnavailable;
    case model::status::Unknown:
      return net::kHttpBadGateway;
  }
  return net::kHttpServerError;
}

net::http_response
Json(std::string aBody)
{
  net::http_response response;
  response.mBody = std::move(aBody);
  return response;
}

net::http_response
NotFound()
{
  net::http_response response = Json(R"({"reason":"target"})");
  response.mStatus = net::kHttpNotFound;
  return response;
}

} // namespace

net::http_response
ToResponse(const model::answer& aAnswer)
{
  net::http_response response = Json(config::EmitAnswer(aAnswer));
  response.mStatus = HttpStatusOf(aAnswer);
  if (aAnswer.mStatus == model::status::NotRun) {
    response.mRetryAfterSeconds = kRetryAfterSeconds;
  }
  return response;
}

caller_handler::caller_handler(caller_routes aRoutes)
  : mRoutes(std::move(aRoutes))
{
}

net::http_response
caller_handler::Handle(const net::http_request& aRequest)
{
  const in_flight counted(mInFlight);
  net::http_response response;
  if (aRequest.mMethod == "POST" && aRequest.mTarget == "/v1/query") {
    response = Query(aRequest.mBody);
  } else if (aRequest.mMethod == "POST" && aRequest.mTarget == "/v1/explain") {
    response = Explain(aRequest.mBody);
  } else if (aRequest.mMethod == "GET") {
    response = Plain(aRequest.mTarget);
  } else {
    response = NotFound();
  }
  response.mClose = response.mClose || mClosing;
  return response;
}

net::http_response
caller_handler::Query(const std::string& aBody)
{
  const auto query = config::ParseQuery(aBody, mRoutes.mMaxQueryBytes);
  if (!query) {
    return mRoutes.mDesk.Refuse(query.error());
  }
  return mRoutes.mDesk.Answer(query.value());
}

net::http_response
caller_handler::Explain(const std::string& aBody)
{
  std::string answer = mRoutes.mExplain(aBody);
  if (answer.empty()) {
    net::http_response response =
      Json(R"({"reason":"service and kind are required"})");
    response.mStatus = net::kHttpBadRequest;
    return response;
  }
  return Json(std::move(answer));
}

net::http_response
caller_handler::Plain(const std::string& aTarget)
{
  if (aTarget == "/healthz") {
    return Json(R"({"live":true})");
  }
  if (aTarget == "/readyz") {
    const bool ready = mRoutes.mReady();
    net::http_response response =
      Json(ready ? R"({"ready":true})" : R"({"ready":false})");
    response.mStatus = ready ? net::kHttpOk : net::kHttpUnavailable;
    return response;
  }
  if (aTarget == "/v1/status") {
    return Json(mRoutes.mStatus());
  }
  if (aTarget == "/metrics") {
    net::http_response response = Json(mRoutes.mMetrics());
    response.mContentType = "text/plain; version=0.0.4";
    return response;
  }
  return NotFound();
}

} // namespace monsooncroft::entry
