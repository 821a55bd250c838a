/**
 * @file request_head_func.h
 * What is passed on of requests and answers.
 */
#ifndef MONSOONCROFT_GATEWAY_REQUEST_HEAD_FUNC_H
#define MONSOONCROFT_GATEWAY_REQUEST_HEAD_FUNC_H

#include "gateway/http_response_type.h"
#include "gateway/leaf_attempt_type.h"

#include <chrono>
#include <memory>
#include <string>

namespace monsooncroft::gateway {

struct header_names;

/**
 * The text of a caller's request for leaves: method, target, body and fields
 * unchanged, but for those that concern one connection only, the framing, and
 * those that are set for each attempt.
 */
std::shared_ptr<const leaf_request>
MakeLeafRequest(const http_message& aRequest,
                const header_names& aNames,
                const std::string& aRequestId);

/** What a request asks, whoever asks it and however often. */
once::content_hash
HashRequestContent(const http_message& aRequest);

/** A leaf's answer as it goes to the caller. */
http_response
ForwardedAnswer(const http_message& aAnswer);

/** Seconds with a fraction, as in Retry-After. */
std::string
FormatSeconds(std::chrono::milliseconds aTime);

} // namespace monsooncroft::gateway

#endif
