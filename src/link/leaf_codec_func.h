/**
 * @file leaf_codec_func.h
 * Encoding of the messages to backend servers and decoding of their replies.
 */
#ifndef MONSOONCROFT_LINK_LEAF_CODEC_FUNC_H
#define MONSOONCROFT_LINK_LEAF_CODEC_FUNC_H

#include "link/leaf_protocol_type.h"
#include "net/http_type.h"

namespace monsooncroft::link {

/**
 * Encodes POST /v1/execute.
 * @pre aRequest.mBody is empty or valid JSON.
 */
net::http_request
EncodeExecute(const execute_request& aRequest);

/** Encodes POST /v1/cancel. */
net::http_request
EncodeCancel(const model::attempt_id& aAttempt);

/**
 * Decodes the reply to an attempt.
 * @return std::nullopt if a required field is missing, of another type or out
 * of range, or if the outcome contradicts the HTTP status.
 */
std::optional<execute_reply>
DecodeExecute(const net::http_response& aResponse);

/**
 * Decodes the reply to GET /v1/state.
 * @return std::nullopt unless the status is 200 and each field is valid.
 */
std::optional<leaf_state>
DecodeState(const net::http_response& aResponse);

} // namespace monsooncroft::link

#endif
