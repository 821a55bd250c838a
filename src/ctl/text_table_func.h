/**
 * @file text_table_func.h
 * Formats JSON as text for people.
 */
#ifndef MONSOONCROFT_CTL_TEXT_TABLE_FUNC_H
#define MONSOONCROFT_CTL_TEXT_TABLE_FUNC_H

#include <nlohmann/json.hpp>

#include <string>

namespace monsooncroft::ctl {

/**
 * Renders a value: members as "name: value", arrays of objects as tables.
 * @param aValue Value to render.
 * @return One or more lines, each terminated by a newline.
 */
std::string
RenderText(const nlohmann::ordered_json& aValue);

} // namespace monsooncroft::ctl

#endif
