/**
 * @file peer_handler.cpp
 * Routes of the peer address.
 */
#include "entry/peer_handler_base.h"

#include "entry/in_flight_base.h"
#include "entry/owner_service_base.h"
#include "entry/relay_codec_func.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace monsooncroft::entry {

namespace {

/** Deepest nesting of a message between instances. */
constexpr int kMessageDepth = 32;

/**
 * Whether a text nests no deeper than messages do. Looked at before it is
 * parsed: each level costs far more memory than its byte, and the library
 * behind /rpc throws.
 */
bool
IsShallow(const std::string& aText)
{
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char byte = aText[i];
    if (quoted && byte == '\\') {
      ++i;
    } else if (byte == '"') {
      quoted = !quoted;
    } else if (!quoted && (byte == '[' || byte == '{')) {
      if (++depth > kMessageDepth) {
        return false;
      }
    } else if (!quoted && (byte == ']' || byte == '}')) {
      --depth;
    }
  }
  return true;
}

net::http_response
Bad(const char* aReason)
{
  net::http_response response;
  response.mStatus = net::kHttpBadRequest;
  response.mBody = std::string(R"({"reason":")") + aReason + R"("})";
  return response;
}

net::http_response
Ok(std::string aBody)
{
  net::http_response response;
  response.mBody = std::move(aBody);
  return response;
}

} // namespace

peer_handler::peer_handler(peer_routes aRoutes)
  : mRoutes(std::move(aRoutes))
{
}

net::http_response
peer_handler::Handle(const net::http_request& aRequest)
{
  const in_flight counted(mInFlight);
  if (aRequest.mMethod != "POST") {
    net::http_response response = Bad("method");
    response.mStatus = net::kHttpNotFound;
    return response;
  }
  return IsShallow(aRequest.mBody) ? Route(aRequest) : Bad("nesting");
}

net::http_response
peer_handler::Route(const net::http_request& aRequest)
{
  if (aRequest.mTarget == kRelayTarget) {
    return Relay(aRequest.mBody);
  }
  if (aRequest.mTarget == kCancelTarget) {
    return Cancel(aRequest.mBody);
  }
  if (aRequest.mTarget == kHeldTarget) {
    return Held(aRequest.mBody);
  }
  if (aRequest.mTarget == kRpcTarget) {
    return Ok(mRoutes.mRpc(aRequest.mBody));
  }
  if (aRequest.mTarget == kRunTarget) {
    return Hand(mRoutes.mRun, aRequest.mBody);
  }
  if (aRequest.mTarget == kTrialTarget) {
    return Hand(mRoutes.mTrial, aRequest.mBody);
  }
  if (aRequest.mTarget == kMarksTarget) {
    return Hand(mRoutes.mMarks, aRequest.mBody);
  }
  net::http_response response = Bad("target");
  response.mStatus = net::kHttpNotFound;
  return response;
}

net::http_response
peer_handler::Hand(const std::function<std::string(const std::string&)>& aTaker,
                   const std::string& aBody)
{
  std::string answer = aTaker(aBody);
  return answer.empty() ? Bad("body") : Ok(std::move(answer));
}

net::http_response
peer_handler::Relay(const std::string& aBody)
{
  const std::optional<relay_request> request = ParseRelayRequest(aBody);
  if (!request) {
    return Bad("relay");
  }
  return Ok(Emit(mRoutes.mOwner.RunAndWait(*request)));
}

net::http_response
peer_handler::Held(const std::string& aBody)
{
  const auto question = nlohmann::json::parse(aBody, nullptr, false);
  const bool valid = question.is_object() && question.contains("service") &&
                     question["service"].is_string();
  if (!valid) {
    return Bad("service");
  }
  const model::service_id service(question["service"].get<std::string>());
  return Ok(EmitHeld(mRoutes.mOwner.Held(service)));
}

net::http_response
peer_handler::Cancel(const std::string& aBody)
{
  const auto attempts = ParseCancel(aBody);
  if (!attempts) {
    return Bad("attempts");
  }
  mRoutes.mOwner.Cancel(*attempts);
  return Ok("{}");
}

} // namespace monsooncroft::entry
