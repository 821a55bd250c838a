/**
 * @file bearer_key.cpp
 * The API key in a caller's request.
 */
#include "gateway/bearer_key_func.h"

#include "gateway/http_message_type.h"

#include <algorithm>
#include <cctype>

namespace monsooncroft::gateway {

namespace {

constexpr std::string_view kScheme = "Bearer";
constexpr std::string_view kSpaces = " \t";

std::string_view
Trimmed(std::string_view aText)
{
  const auto begin = aText.find_first_not_of(kSpaces);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpaces) + 1 - begin);
}

char
Normalized(char aByte)
{
  return aByte == '_'
           ? '-'
           : static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
}

} // namespace

std::optional<std::string_view>
BearerKey(const http_message& aRequest)
{
  std::optional<std::string_view> credentials;
  for (const auto& field : aRequest.mFields) {
    // The parser leaves spaces before the colon in the name.
    if (!EqualsIgnoreCase(Trimmed(field.mName), kAuthorizationField)) {
      continue;
    }
    if (credentials) {
      return std::nullopt;
    }
    credentials = Trimmed(field.mValue);
  }
  if (!credentials || credentials->size() <= kScheme.size() ||
      !EqualsIgnoreCase(credentials->substr(0, kScheme.size()), kScheme) ||
      (*credentials)[kScheme.size()] != ' ') {
    return std::nullopt;
  }
  return Trimmed(credentials->substr(kScheme.size()));
}

bool
MayBeTakenFor(std::string_view aField, std::string_view aName)
{
  const std::string_view field = Trimmed(aField);
  return std::equal(field.begin(),
                    field.end(),
                    aName.begin(),
                    aName.end(),
                    [](char aLeft, char aRight) {
                      return Normalized(aLeft) == Normalized(aRight);
                    });
}

bool
MayBeTakenForPrefix(std::string_view aField, std::string_view aPrefix)
{
  const auto begin = std::min(aField.find_first_not_of(kSpaces), aField.size());
  return MayBeTakenFor(aField.substr(begin, aPrefix.size()), aPrefix);
}

} // namespace monsooncroft::gateway
