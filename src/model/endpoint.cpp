/**
 * @file endpoint.cpp
 * Parses and formats endpoints.
 */
#include "model/endpoint_type.h"

#include <charconv>
#include <limits>

namespace monsooncroft::model {

namespace {

constexpr unsigned kLargestPort = std::numeric_limits<std::uint16_t>::max();
constexpr unsigned kLargestOctet = 255;
constexpr int kOctets = 4;

bool
IsNumericAddress(const char* aBegin, const char* aEnd)
{
  for (int octet = 0; octet < kOctets; ++octet) {
    unsigned value = 0;
    const auto [end, error] = std::from_chars(aBegin, aEnd, value);
    if (error != std::errc() || value > kLargestOctet) {
      return false;
    }
    aBegin = end;
    const bool last = octet == kOctets - 1;
    if (last) {
      break;
    }
    if (aBegin == aEnd || *aBegin != '.') {
      return false;
    }
    ++aBegin;
  }
  return aBegin == aEnd;
}

} // namespace

std::optional<endpoint>
endpoint::Parse(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const char* begin = aText.data();
  const char* end = begin + aText.size();
  if (!IsNumericAddress(begin, begin + colon)) {
    return std::nullopt;
  }
  unsigned port = 0;
  const auto parsed = std::from_chars(begin + colon + 1, end, port);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole || port == 0 || port > kLargestPort) {
    return std::nullopt;
  }
  return endpoint{ aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

std::string
endpoint::ToString() const
{
  return mAddress + ":" + std::to_string(mPort);
}

} // namespace monsooncroft::model
