/**
 * @file query_json_func.h
 * Callers' queries and their answers as JSON; see docs/PROTOCOLS.md.
 */
#ifndef MONSOONCROFT_CONFIG_QUERY_JSON_FUNC_H
#define MONSOONCROFT_CONFIG_QUERY_JSON_FUNC_H

#include "config/config_error_type.h"
#include "model/answer_type.h"

#include <string>

namespace monsooncroft::config {

/** Longest query unless the settings say otherwise. */
constexpr std::size_t kDefaultQueryBytes = 65536;

/**
 * Reads a query.
 * @param aText Body of POST /v1/query.
 * @param aMaxBytes Longest text.
 * @return The query, or every fault, each naming its field. Never throws on
 *   bad text.
 */
result<model::query>
ParseQuery(const std::string& aText,
           std::size_t aMaxBytes = kDefaultQueryBytes);

/** The text of a query, as ParseQuery reads it. */
std::string
EmitQuery(const model::query& aQuery);

/**
 * The text of an answer.
 * @param aAnswer The answer; its results are put in as they are.
 * @pre mResults is one JSON value.
 */
std::string
EmitAnswer(const model::answer& aAnswer);

/**
 * The text that refuses bad input.
 * @param aErrors The faults; the first field is named in "reason".
 */
std::string
EmitBadQuery(const config_errors& aErrors);

} // namespace monsooncroft::config

#endif
