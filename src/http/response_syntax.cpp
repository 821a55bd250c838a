/**
 * @file response_syntax.cpp
 * Strict syntax check of HTTP/1.1 responses.
 */
#include "http/response_syntax_base.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace monsooncroft::http {

namespace {

constexpr std::string_view kVersion = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

constexpr bool
IsDigit(unsigned char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

constexpr bool
IsBlank(unsigned char aByte)
{
  return aByte == ' ' || aByte == '\t';
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

std::optional<unsigned>
HexDigit(unsigned char aByte)
{
  if (IsDigit(aByte)) {
    return aByte - '0';
  }
  const auto lower = static_cast<unsigned char>(aByte | 0x20U);
  if (lower >= 'a' && lower <= 'f') {
    return lower - 'a' + 10;
  }
  return std::nullopt;
}

} // namespace

std::size_t
response_syntax::Check(std::string_view aBytes)
{
  std::size_t position = 0;
  while (position < aBytes.size() && mDefect == nullptr) {
    switch (mPlace) {
      case place::EndOfHead:
      case place::EndOfBody:
        return position;
      case place::Body:
        return aBytes.size();
      case place::ChunkData: {
        const auto data =
          std::min<std::uint64_t>(mChunkRemaining, aBytes.size() - position);
        position += static_cast<std::size_t>(data);
        mChunkRemaining -= data;
        if (mChunkRemaining == 0) {
          mPlace = place::ChunkDataEnd;
        }
        break;
      }
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
response_syntax::BeginBody(bool aChunked)
{
  mPlace = aChunked ? place::ChunkSizeStart : place::Body;
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
    case place::FieldStart:
    case place::FieldName:
    case place::FieldValue:
      return CheckField(aByte);
    case place::ChunkSizeStart:
    case place::ChunkSize:
      return CheckChunkSize(aByte);
    case place::ChunkDataEnd:
      return aByte == '\r' ? EndLine(place::ChunkSizeStart)
                           : Fail("chunk not followed by the end of a line");
    default:
      return CheckExtension(aByte);
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
        return EndLine(mInTrailer ? place::EndOfBody : place::EndOfHead);
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

bool
response_syntax::CheckChunkSize(unsigned char aByte)
{
  const auto digit = HexDigit(aByte);
  if (!digit) {
    return mPlace == place::ChunkSize ? EndChunkItem(aByte)
                                      : Fail("invalid size of a chunk");
  }
  if (mPlace == place::ChunkSizeStart) {
    mChunkRemaining = 0;
  }
  if (mChunkRemaining > std::numeric_limits<std::uint64_t>::max() >> 4U) {
    return Fail("chunk too large");
  }
  mChunkRemaining = mChunkRemaining << 4U | *digit;
  return GoTo(place::ChunkSize);
}

bool
response_syntax::EndChunkItem(unsigned char aByte)
{
  if (aByte == ';') {
    return GoTo(place::ExtensionStart);
  }
  // Blanks are allowed only before a semicolon.
  if (IsBlank(aByte)) {
    return GoTo(place::SemicolonOnly);
  }
  if (aByte != '\r' || mPlace == place::SemicolonOnly) {
    return Fail("invalid size or extension of a chunk");
  }
  mInTrailer = mChunkRemaining == 0;
  return EndLine(mInTrailer ? place::FieldStart : place::ChunkData);
}

bool
response_syntax::CheckExtension(unsigned char aByte)
{
  constexpr const char* kDefect = "invalid extension of a chunk";
  switch (mPlace) {
    case place::ExtensionStart:
      return IsBlank(aByte) ||
             (IsToken(aByte) ? GoTo(place::ExtensionName) : Fail(kDefect));
    case place::ExtensionName:
    case place::ExtensionNameEnd:
      if (aByte == '=') {
        return GoTo(place::ExtensionValueStart);
      }
      if (IsBlank(aByte)) {
        return GoTo(place::ExtensionNameEnd);
      }
      if (mPlace == place::ExtensionNameEnd) {
        return aByte == ';' ? GoTo(place::ExtensionStart) : Fail(kDefect);
      }
      return IsToken(aByte) || EndChunkItem(aByte);
    case place::ExtensionValueStart:
      if (aByte == '"') {
        return GoTo(place::ExtensionQuoted);
      }
      return IsBlank(aByte) ||
             (IsToken(aByte) ? GoTo(place::ExtensionToken) : Fail(kDefect));
    case place::ExtensionToken:
      return IsToken(aByte) || EndChunkItem(aByte);
    case place::ExtensionQuoted:
      if (aByte == '"') {
        return GoTo(place::ExtensionEnd);
      }
      if (aByte == '\\') {
        return GoTo(place::ExtensionEscaped);
      }
      return IsText(aByte) || Fail(kDefect);
    case place::ExtensionEscaped:
      return IsText(aByte) ? GoTo(place::ExtensionQuoted) : Fail(kDefect);
    default:
      return EndChunkItem(aByte);
  }
}

} // namespace monsooncroft::http
