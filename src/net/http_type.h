/**
 * @file http_type.h
 * Requests, responses and the ends of an exchange.
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

/** A request with a JSON body. */
struct http_request
{
  std::string mMethod = "GET"; ///< Such as GET or POST.
  std::string mTarget = "/";   ///< Path, without a query string.
  std::string mBody;           ///< Empty for GET.

  bool operator==(const http_request&) const = default;
};

/** A response. */
struct http_response
{
  int mStatus = kHttpOk;                         ///< HTTP status code.
  std::string mBody;                             ///< Usually JSON.
  std::string mContentType = "application/json"; ///< Media type of mBody.
  int mRetryAfterSeconds = 0; ///< Retry-After header; 0 leaves it out.
  bool mClose = false;        ///< Asks the client to close the connection.

  bool operator==(const http_response&) const = default;
};

/** How far an exchange came. */
enum class send_state
{
  NotSent,   ///< No byte of the request left.
  MaybeSent, ///< Some bytes may have left; no whole response came.
  Replied,   ///< A whole response came.
};

/** How an exchange failed. */
enum class exchange_error
{
  None,
  ConnectRefused, ///< The other end refused the connection.
  ConnectFailed,  ///< No connection for another reason.
  Timeout,        ///< Nothing, or not everything, in time.
  Closed,         ///< The other end closed or reset.
  Malformed,      ///< What came is no HTTP response.
  Cancelled,      ///< Closed by this end.
};

/** The end of one exchange. */
struct exchange_result
{
  send_state mState = send_state::NotSent;
  exchange_error mError = exchange_error::None;
  http_response mResponse; ///< Only if mState is Replied.

  bool operator==(const exchange_result&) const = default;
};

} // namespace monsooncroft::net

#endif
