/**
 * @file endpoint_type.h
 * An IP address with a TCP port.
 */
#ifndef MONSOONCROFT_MODEL_ENDPOINT_TYPE_H
#define MONSOONCROFT_MODEL_ENDPOINT_TYPE_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace monsooncroft::model {

/** Listening address of a process: numeric IPv4 address and TCP port. */
struct endpoint
{
  std::string mAddress;    ///< Numeric address, such as 127.0.0.1.
  std::uint16_t mPort = 0; ///< TCP port.

  /**
   * Parses "address:port".
   * @param aText The text.
   * @return The endpoint, or std::nullopt if the text is not a numeric IPv4
   * endpoint.
   */
  static std::optional<endpoint> Parse(const std::string& aText);
  std::string ToString() const; ///< Formatted as "address:port".

  bool operator==(const endpoint&) const = default;
  std::strong_ordering operator<=>(const endpoint&) const = default;
};

} // namespace monsooncroft::model

#endif
