/**
 * @file http_response.cpp
 * Serialization of HTTP responses.
 */
#include "gateway/http_response_type.h"

#include <http_parser.h>

namespace monsooncroft::gateway {

const char*
ReasonPhrase(int aStatus)
{
  return http_status_str(static_cast<http_status>(aStatus));
}

std::string
Serialize(const http_response& aResponse, bool aNoBody, bool aClose)
{
  std::string out;
  out.reserve(256 + aResponse.mBody.size());
  out.append("HTTP/1.1 ").append(std::to_string(aResponse.mStatus));
  out.append(" ").append(ReasonPhrase(aResponse.mStatus)).append("\r\n");
  for (const http_field& field : aResponse.mFields) {
    out.append(field.mName).append(": ").append(field.mValue).append("\r\n");
  }
  out.append("Content-Length: ");
  out.append(std::to_string(aResponse.mBody.size())).append("\r\n");
  if (aClose) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  if (!aNoBody) {
    out.append(aResponse.mBody);
  }
  return out;
}

} // namespace monsooncroft::gateway
