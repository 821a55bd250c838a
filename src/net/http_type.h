/**
 * @file http_type.h
 * HTTP requests, responses and the results of exchanges.
 */
#ifndef MONSOONCROFT_NET_HTTP_TYPE_H
#define MONSOONCROFT_NET_HTTP_TYPE_H

#include <string>

namespace monsooncroft::net {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpTooLarge = 413;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;
constexpr int kHttpBadGateway = 502;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

/** An HTTP request; its body, if any, is JSON. */
struct http_request
{
  std::string mMethod = "GET"; ///< HTTP method, such as GET or POST.
  std::string mTarget = "/";   ///< Path, without a query string.
  std::string mBody;           ///< Empty for GET.

  bool operator==(const http_request&) const = default;
};

/** An HTTP response. */
struct http_response
{
  int mStatus = kHttpOk;                         ///< HTTP status code.
  std::string mBody;                             ///< Usually JSON.
  std::string mContentType = "application/json"; ///< Media type of mBody.
  int mRetryAfterSeconds = 0; ///< Retry-After header; 0 leaves it out.
  bool mClose = false;        ///< The connection closes after this response.

  bool operator==(const http_response&) const = default;
};

/** Whether a request may have reached the peer. */
enum class send_state
{
  NotSent,   ///< No byte of the request was sent.
  MaybeSent, ///< Bytes of the request may have been sent; no complete response
             ///< arrived.
  Replied,   ///< A complete response arrived.
};

/** Why an exchange failed. */
enum class exchange_error
{
  None,
  ConnectRefused, ///< The peer refused the connection.
  ConnectFailed,  ///< The connection could not be set up for another reason.
  Timeout,        ///< The exchange did not complete within the timeout.
  Closed,         ///< The peer closed or reset the connection.
  Malformed,      ///< The received bytes are not a valid HTTP response.
  Cancelled,      ///< This side closed the connection.
};

/** The result of one exchange. */
struct exchange_result
{
  send_state mState = send_state::NotSent;
  exchange_error mError = exchange_error::None;
  http_response mResponse; ///< The response; set only if mState is Replied.

  bool operator==(const exchange_result&) const = default;
};

} // namespace monsooncroft::net

#endif
