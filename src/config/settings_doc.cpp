/**
 * @file settings_doc.cpp
 * Texts for people, made from the table of settings.
 */
#include "config/settings_doc_func.h"

#include "config/settings_type.h"

#include <iomanip>
#include <sstream>

namespace monsooncroft::config {

namespace {

constexpr int kNameColumn = 26;
constexpr int kNumberDigits = 12;

const char*
TypeName(setting_type aType)
{
  switch (aType) {
    case setting_type::Name:
      return "name";
    case setting_type::Endpoint:
      return "ip:port";
    case setting_type::Endpoints:
      return "array of ip:port";
    case setting_type::Integer:
      return "whole number";
    case setting_type::Number:
      return "number";
    case setting_type::Boolean:
      return "true or false";
    case setting_type::Level:
      return "level";
  }
  return "";
}

std::string
Range(const setting_row& aRow)
{
  const bool number =
    aRow.mType == setting_type::Integer || aRow.mType == setting_type::Number;
  if (!number) {
    return "";
  }
  std::ostringstream out;
  out << std::setprecision(kNumberDigits) << aRow.mLeast << " to "
      << aRow.mGreatest;
  return out.str();
}

std::string
DefaultOf(const setting_row& aRow)
{
  const std::string text = aRow.mDefault;
  return text.empty() ? "required" : text;
}

} // namespace

std::string
SettingsHelp()
{
  std::ostringstream out;
  for (std::size_t i = 0; i < kSettings; ++i) {
    const setting_row& row = RowOf(static_cast<setting>(i));
    out << "  " << std::left << std::setw(kNameColumn) << row.mName << row.mText
        << " (" << TypeName(row.mType);
    if (const std::string range = Range(row); !range.empty()) {
      out << " " << range << " " << row.mUnit;
    }
    out << ", " << DefaultOf(row) << ")\n";
  }
  return out.str();
}

std::string
SettingsPage()
{
  std::ostringstream out;
  out << "# Settings\n\n"
         "The settings file of `monsooncroftd` is one JSON object. Names may "
         "be dotted\n(`\"hedge.budget_percent\": 5`) or nested "
         "(`\"hedge\": {\"budget_percent\": 5}`). Unknown names are "
         "refused,\nand every fault is reported at once. This page is made "
         "from `src/config/settings_table.h`.\n\n"
         "| name | holds | default | from, to | unit | for |\n"
         "|---|---|---|---|---|---|\n";
  for (std::size_t i = 0; i < kSettings; ++i) {
    const setting_row& row = RowOf(static_cast<setting>(i));
    out << "| `" << row.mName << "` | " << TypeName(row.mType) << " | "
        << DefaultOf(row) << " | " << Range(row) << " | " << row.mUnit << " | "
        << row.mText << " |\n";
  }
  return out.str();
}

} // namespace monsooncroft::config
