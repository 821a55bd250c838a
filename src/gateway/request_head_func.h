/**
 * @file request_head_func.h
 * Conversion of requests and answers between callers and leaves.
 */
#ifndef MONSOONCROFT_GATEWAY_REQUEST_HEAD_FUNC_H
#define MONSOONCROFT_GATEWAY_REQUEST_HEAD_FUNC_H

#include "gateway/http_response_type.h"
#include "gateway/leaf_attempt_type.h"
#include "serving/route_type.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace monsooncroft::gateway {

struct header_names;

/** Receivers of forwarded requests. */
enum class request_receiver : std::uint8_t
{
  Leaf,
  Root, ///< Another instance, which executes the query.
};

/** How a request is forwarded. */
struct forwarding
{
  serving::repeatability mRepeatability = serving::repeatability::Idempotent;
  request_receiver mReceiver = request_receiver::Leaf;
  /** The configuration has workspaces: the key and a workspace that the caller
   * names are not forwarded. */
  bool mUsesWorkspaces = false;
  std::string mWorkspace; ///< Name that the receiver gets; empty: none.
};

/**
 * Builds the request to leaves or to a root from a caller's request. Method,
 * target, body and fields are unchanged, except hop-by-hop fields, framing, the
 * fields that are set for each attempt, and those that concern workspaces. A
 * root gets no field that callers could confuse with those of other instances.
 */
std::shared_ptr<const leaf_request>
MakeLeafRequest(const http_message& aRequest,
                const header_names& aHeaderNames,
                const std::string& aRequestId,
                const forwarding& aForwarding);

/** Hashes a request's content: the same for all callers and repetitions. */
once::content_hash
HashRequestContent(const http_message& aRequest);

/** Converts a leaf's answer to the response to the caller. */
http_response
ForwardedAnswer(const http_message& aAnswer);

/** Whether a status tells the caller that no leaf has run the request and none
 * will: 408, 421, 429 and 503. */
bool
MeansNotRun(int aStatus);

/** Formats a time in seconds with a fraction, as in Retry-After. */
std::string
FormatSeconds(std::chrono::milliseconds aTime);

} // namespace monsooncroft::gateway

#endif
