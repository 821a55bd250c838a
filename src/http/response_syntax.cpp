/**
 * @file response_syntax.cpp
 * Strict syntax check of HTTP/1.1 responses.
 */
#include "http/response_syntax_base.h"

#include <array>

namespace monsooncroft::http {

namespace {

constexpr std::string_view kVersion = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

constexpr bool
IsDigit(unsigned char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

/** Bytes of values and reason phrases: all but control characters. */
constexpr bool
IsText(unsigned char aByte)
{
  return aByte == '\t' || (aByte >= 0x20 && aByte != 0x7f);
}

/** Bytes of names: tchar in RFC 9110. */
constexpr std::array<bool, 256> kTokenBytes = [] {
  std::array<bool, 256> out{};
  for (const char byte : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ")) {
    out[static_cast<unsigned char>(byte)] = true;
  }
  return out;
}();

constexpr bool
IsToken(unsigned char aByte)
{
  return kTokenBytes[aByte];
}

} // namespace

std::size_t
response_syntax::Check(std::string_view aBytes)
{
  std::size_t position = 0;
  while (position < aBytes.size() && mDefect == nullptr) {
    switch (mPlace) {
      case place::EndOfHead:
        return position;
      case place::Body:
        return aBytes.size();
      default:
        if (!CheckByte(static_cast<unsigned char>(aBytes[position]))) {
          return position;
        }
        ++position;
    }
  }
  return position;
}

void
response_syntax::BeginBody()
{
  mPlace = place::Body;
}

bool
response_syntax::Fail(const char* aDefect)
{
  mDefect = aDefect;
  return false;
}

bool
response_syntax::GoTo(place aNext)
{
  mPlace = aNext;
  return true;
}

bool
response_syntax::EndLine(place aNext)
{
  mAfterLine = aNext;
  return GoTo(place::LineFeed);
}

bool
response_syntax::CheckByte(unsigned char aByte)
{
  switch (mPlace) {
    case place::LineFeed:
      return aByte == '\n' ? GoTo(mAfterLine)
                           : Fail("carriage return without a line feed");
    case place::Version:
    case place::Status:
    case place::StatusEnd:
    case place::Reason:
      return CheckStatusLine(aByte);
    default:
      return CheckField(aByte);
  }
}

bool
response_syntax::CheckStatusLine(unsigned char aByte)
{
  switch (mPlace) {
    case place::Version:
      if (mOffset < kVersion.size()) {
        return aByte == static_cast<unsigned char>(kVersion[mOffset++]) ||
               Fail("not an HTTP/1 response");
      }
      if (mOffset++ == kVersion.size()) {
        return aByte == '0' || aByte == '1' ||
               Fail("version other than HTTP/1.0 and HTTP/1.1");
      }
      mOffset = 0;
      return aByte == ' ' ? GoTo(place::Status)
                          : Fail("version not followed by a space");
    case place::Status:
      if (!IsDigit(aByte) || (mOffset == 0 && (aByte < '1' || aByte > '5'))) {
        return Fail("status not from 100 to 599");
      }
      return ++mOffset < kStatusDigits || GoTo(place::StatusEnd);
    case place::StatusEnd:
      // Servers that have no reason phrase often omit the space, too.
      return aByte == '\r'  ? EndLine(place::FieldStart)
             : aByte == ' ' ? GoTo(place::Reason)
                            : Fail("status not from 100 to 599");
    default:
      if (aByte == '\r') {
        return EndLine(place::FieldStart);
      }
      return IsText(aByte) || Fail("control character in the reason phrase");
  }
}

bool
response_syntax::CheckField(unsigned char aByte)
{
  switch (mPlace) {
    case place::FieldStart:
      if (aByte == '\r') {
        return EndLine(place::EndOfHead);
      }
      return IsToken(aByte) ? GoTo(place::FieldName)
                            : Fail("invalid start of a field");
    case place::FieldName:
      if (aByte == ':') {
        return GoTo(place::FieldValue);
      }
      return IsToken(aByte) || Fail("invalid byte in the name of a field");
    default:
      if (aByte == '\r') {
        return EndLine(place::FieldStart);
      }
      return IsText(aByte) || Fail("control character in a field");
  }
}

} // namespace monsooncroft::http
