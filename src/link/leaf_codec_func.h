/**
 * @file leaf_codec_func.h
 * JSON form of the messages to and from backend servers.
 */
#ifndef MONSOONCROFT_LINK_LEAF_CODEC_FUNC_H
#define MONSOONCROFT_LINK_LEAF_CODEC_FUNC_H

#include "link/leaf_protocol_type.h"
#include "net/http_type.h"

namespace monsooncroft::link {

/** @pre aRequest.mBody is valid JSON. */
net::http_request
EncodeExecute(const execute_request& aRequest);

net::http_request
EncodeCancel(const model::attempt_id& aAttempt);

/**
 * Reads a reply to an attempt.
 * @return Nothing if any required part is missing, of another type, out of
 * range, or at odds with the HTTP status.
 */
std::optional<execute_reply>
DecodeExecute(const net::http_response& aResponse);

/** As DecodeExecute, for the reply to GET /v1/state. */
std::optional<leaf_state>
DecodeState(const net::http_response& aResponse);

} // namespace monsooncroft::link

#endif
