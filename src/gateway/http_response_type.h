/**
 * @file http_response_type.h
 * An HTTP response to a caller.
 */
#ifndef MONSOONCROFT_GATEWAY_HTTP_RESPONSE_TYPE_H
#define MONSOONCROFT_GATEWAY_HTTP_RESPONSE_TYPE_H

#include "gateway/http_message_type.h"

namespace monsooncroft::gateway {

/** Status, header fields except framing fields, and body. */
struct http_response
{
  int mStatus = 200;
  std::vector<http_field> mFields;
  std::string mBody;

  bool operator==(const http_response&) const = default;
};

/** The standard reason phrase of a status. */
const char*
ReasonPhrase(int aStatus);

/**
 * Serializes a response.
 * @param aNoBody Omits the body: the request was HEAD.
 * @param aClose Adds "Connection: close".
 */
std::string
Serialize(const http_response& aResponse, bool aNoBody, bool aClose);

} // namespace monsooncroft::gateway

#endif
