/**
 * @file head_json_func.h
 * Heads as JSON, and the hash of chunks.
 */
#ifndef MONSOONCROFT_STORE_HEAD_JSON_FUNC_H
#define MONSOONCROFT_STORE_HEAD_JSON_FUNC_H

#include "config/config_error_type.h"
#include "store/head_type.h"

#include <string>

namespace monsooncroft::store {

/**
 * Reads a head.
 * @param aText JSON as written by EmitHead.
 * @return The head, or every fault. Never throws on bad text.
 */
config::result<head>
ParseHead(const std::string& aText);

/** The text of a head. */
std::string
EmitHead(const head& aHead);

/**
 * Hash of a chunk's text.
 * @return 32 hexadecimal digits.
 */
std::string
HashChunk(const std::string& aText);

} // namespace monsooncroft::store

#endif
