/**
 * @file json_text_func.h
 * Bounded reading of JSON texts that may be hostile.
 */
#ifndef MONSOONCROFT_CONFIG_JSON_TEXT_FUNC_H
#define MONSOONCROFT_CONFIG_JSON_TEXT_FUNC_H

#include "config/config_error_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace monsooncroft::config {

/** Limits that a text is held to before anything is built from it. */
struct json_limits
{
  std::size_t mBytes = 0; ///< Longest text.
  int mDepth = 0;         ///< Deepest nesting of arrays and objects.
};

/**
 * Reads one JSON value; refuses long or deep texts and repeated names.
 * @param aText The text.
 * @param aLimits Its limits.
 * @param aErrors Receives the faults.
 * @return The value, or nothing if a fault was found. Never throws on bad text.
 */
std::optional<nlohmann::json>
ReadJson(const std::string& aText,
         const json_limits& aLimits,
         config_errors& aErrors);

/**
 * Writes a value, compact, names sorted; bytes that are no UTF-8 are replaced.
 * @param aValue The value.
 */
std::string
WriteJson(const nlohmann::json& aValue);

/**
 * A value as shown in an error.
 * @param aValue The value.
 * @return Its JSON, shortened.
 */
std::string
Shown(const nlohmann::json& aValue);

/**
 * Extends a JSON pointer.
 * @param aPath The pointer so far.
 * @param aName Name of a member; escaped as the pointer syntax asks.
 */
std::string
Below(const std::string& aPath, const std::string& aName);

/**
 * Extends a JSON pointer by a place in an array.
 * @param aPath The pointer so far.
 * @param aIndex The place.
 */
std::string
Below(const std::string& aPath, std::size_t aIndex);

} // namespace monsooncroft::config

#endif
