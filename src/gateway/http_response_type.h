/**
 * @file http_response_type.h
 * An answer to a caller.
 */
#ifndef MONSOONCROFT_GATEWAY_HTTP_RESPONSE_TYPE_H
#define MONSOONCROFT_GATEWAY_HTTP_RESPONSE_TYPE_H

#include "gateway/http_message_type.h"

namespace monsooncroft::gateway {

/** Status, fields besides those of the framing, and body. */
struct http_response
{
  int mStatus = 200;
  std::vector<http_field> mFields;
  std::string mBody;

  bool operator==(const http_response&) const = default;
};

/** The usual words for a status. */
const char*
ReasonPhrase(int aStatus);

/**
 * The bytes of an answer.
 * @param aNoBody The request was HEAD.
 * @param aClose The connection ends after it.
 */
std::string
Serialize(const http_response& aResponse, bool aNoBody, bool aClose);

} // namespace monsooncroft::gateway

#endif
