/**
 * @file request_key.cpp
 * Hashes requests and converts hashes to and from text.
 */
#include "once/request_key_type.h"

#include <xxhash.h>

#include <charconv>

namespace monsooncroft::once {

namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kHexDigits = 16; ///< Digits of a 64-bit number.
constexpr unsigned kBitsPerDigit = 4;

/**
 * Appends a field with its length, so that different lists of fields never give
 * the same text.
 */
void
AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

XXH128_hash_t
Hash(const std::string& aText)
{
  return XXH3_128bits(aText.data(), aText.size());
}

void
AppendHex(std::string& aText, std::uint64_t aNumber)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (std::size_t digit = kHexDigits; digit-- > 0;) {
    aText += kDigits[(aNumber >> (digit * kBitsPerDigit)) % kHexBase];
  }
}

std::optional<std::uint64_t>
ParseHex(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

request_hash
HashRequest(const model::query& aQuery)
{
  std::string text;
  AppendField(text, aQuery.mService.Value());
  AppendField(text, aQuery.mWorkspace.Value());
  AppendField(text, aQuery.mRequest.Value());
  const auto hash = Hash(text);
  return { hash.high64, hash.low64 };
}

content_hash
HashContent(const model::query& aQuery)
{
  std::string text;
  AppendField(text, aQuery.mService.Value());
  AppendField(text, aQuery.mKind.Value());
  AppendField(text, aQuery.mBody);
  const auto hash = Hash(text);
  return { hash.high64, hash.low64 };
}

bucket_index
BucketOf(const request_hash& aRequest, bucket_index aBuckets)
{
  return static_cast<bucket_index>(aRequest.mHigh % aBuckets);
}

std::string
BucketKey(bucket_index aBucket)
{
  return "once/" + std::to_string(aBucket);
}

std::string
ToHex(std::uint64_t aHigh, std::uint64_t aLow)
{
  std::string out;
  out.reserve(2 * kHexDigits);
  AppendHex(out, aHigh);
  AppendHex(out, aLow);
  return out;
}

std::optional<request_hash>
ParseRequestHash(std::string_view aText)
{
  if (aText.size() != 2 * kHexDigits) {
    return std::nullopt;
  }
  const auto high = ParseHex(aText.substr(0, kHexDigits));
  const auto low = ParseHex(aText.substr(kHexDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return request_hash{ *high, *low };
}

} // namespace monsooncroft::once
