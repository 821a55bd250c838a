/**
 * @file bearer_key_func.h
 * The API key in a caller's request.
 */
#ifndef MONSOONCROFT_GATEWAY_BEARER_KEY_FUNC_H
#define MONSOONCROFT_GATEWAY_BEARER_KEY_FUNC_H

#include "gateway/http_message_type.h"

#include <optional>
#include <string_view>

namespace monsooncroft::gateway {

/** Name of the field that holds the key. */
constexpr std::string_view kAuthorizationField = "Authorization";

/**
 * Reads the key from `Authorization: Bearer KEY`.
 * @return A part of the request; nothing if there is no such field, more than
 * one, or one of another form.
 */
std::optional<std::string_view>
BearerKey(const http_message& aRequest);

/**
 * Whether a receiver may take a field for the one with this name: case, spaces
 * around the name, and the difference between hyphen and underscore do not
 * matter to all servers.
 */
bool
MayBeTakenFor(std::string_view aField, std::string_view aName);

/** The same for the beginning of a field's name. */
bool
MayBeTakenForPrefix(std::string_view aField, std::string_view aPrefix);

} // namespace monsooncroft::gateway

#endif
