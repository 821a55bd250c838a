/**
 * @file http_message_type.h
 * A parsed HTTP/1.1 message.
 */
#ifndef MONSOONCROFT_GATEWAY_HTTP_MESSAGE_TYPE_H
#define MONSOONCROFT_GATEWAY_HTTP_MESSAGE_TYPE_H

#include <string>
#include <string_view>
#include <vector>

namespace monsooncroft::gateway {

/** One header line. */
struct http_field
{
  std::string mName;
  std::string mValue;

  bool operator==(const http_field&) const = default;
};

/** A whole request or response. */
struct http_message
{
  std::string mMethod; ///< Of a request.
  std::string mTarget; ///< Of a request: path and query.
  int mStatus = 0;     ///< Of a response.
  std::vector<http_field> mFields;
  std::string mBody;
  bool mKeepAlive = false;      ///< The connection may be used again.
  bool mCloseDelimited = false; ///< No length: the body ended with its stream.

  /** The first field of the name, in any case; null if there is none. */
  const std::string* Find(std::string_view aName) const;

  bool operator==(const http_message&) const = default;
};

/** Compares header names. */
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

} // namespace monsooncroft::gateway

#endif
