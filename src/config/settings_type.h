/**
 * @file settings_type.h
 * The settings as an enumeration, and what a row of the table says.
 */
#ifndef MONSOONCROFT_CONFIG_SETTINGS_TYPE_H
#define MONSOONCROFT_CONFIG_SETTINGS_TYPE_H

#include <cstddef>

namespace monsooncroft::config {

/** Every setting, in the order of the table. */
enum class setting
{
#define MC_SETTING(                                                            \
  aSymbol, aName, aType, aDefault, aLeast, aGreatest, aUnit, aText)            \
  aSymbol,
#include "config/settings_table.h"
#undef MC_SETTING
  End, ///< Number of settings.
};

/** Number of settings. */
constexpr std::size_t kSettings = static_cast<std::size_t>(setting::End);

/** What a setting holds. */
enum class setting_type
{
  Name,      ///< Letters, digits, '.', '_' and '-'.
  Endpoint,  ///< Numeric address and port.
  Endpoints, ///< Array of them.
  Integer,   ///< Whole number.
  Number,    ///< Number.
  Boolean,   ///< True or false.
  Level,     ///< Level of the log.
};

/** One row of the table. */
struct setting_row
{
  const char* mName;    ///< Dotted name.
  setting_type mType;   ///< What it holds.
  const char* mDefault; ///< As JSON; empty: required.
  double mLeast;        ///< Least number or size.
  double mGreatest;     ///< Greatest number or size.
  const char* mUnit;    ///< Unit of a number.
  const char* mText;    ///< What it is for.
};

/** The row of a setting. */
const setting_row&
RowOf(setting aSetting);

} // namespace monsooncroft::config

#endif
