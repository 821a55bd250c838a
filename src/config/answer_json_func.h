/**
 * @file answer_json_func.h
 * Reading back an answer that another instance gave.
 */
#ifndef MONSOONCROFT_CONFIG_ANSWER_JSON_FUNC_H
#define MONSOONCROFT_CONFIG_ANSWER_JSON_FUNC_H

#include "model/answer_type.h"

#include <optional>
#include <string>

namespace monsooncroft::config {

/**
 * Reads an answer as EmitAnswer writes it.
 * @param aText JSON.
 * @return The answer; nothing for any other text. Never throws on bad text.
 */
std::optional<model::answer>
ParseAnswer(const std::string& aText);

} // namespace monsooncroft::config

#endif
