/**
 * @file http_message_type.h
 * A parsed HTTP/1.1 message.
 */
#ifndef MONSOONCROFT_HTTP_HTTP_MESSAGE_TYPE_H
#define MONSOONCROFT_HTTP_HTTP_MESSAGE_TYPE_H

#include <string>
#include <string_view>
#include <vector>

namespace monsooncroft::http {

/** One header field. */
struct http_field
{
  std::string mName;
  std::string mValue;

  bool operator==(const http_field&) const = default;
};

/** A complete request or response. */
struct http_message
{
  std::string mMethod; ///< Requests only.
  std::string mTarget; ///< Requests only: path and query.
  int mStatus = 0;     ///< Responses only.
  std::vector<http_field> mFields;
  std::string mBody;
  bool mKeepAlive = false; ///< The connection can be reused.
  /** The body has no length and ends when the connection closes. */
  bool mCloseDelimited = false;

  /** Value of the first field with the name, ignoring case; null if there is
   * none. */
  const std::string* Find(std::string_view aName) const;

  bool operator==(const http_message&) const = default;
};

/** Compares ASCII text, such as header names, ignoring case. */
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

} // namespace monsooncroft::http

#endif
