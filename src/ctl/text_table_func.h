/**
 * @file text_table_func.h
 * JSON as text for people.
 */
#ifndef MONSOONCROFT_CTL_TEXT_TABLE_FUNC_H
#define MONSOONCROFT_CTL_TEXT_TABLE_FUNC_H

#include <nlohmann/json.hpp>

#include <string>

namespace monsooncroft::ctl {

/**
 * Renders a value: members as "name: value", arrays of objects as tables.
 * @param aValue The value.
 * @return Lines, each ended.
 */
std::string
RenderText(const nlohmann::ordered_json& aValue);

} // namespace monsooncroft::ctl

#endif
