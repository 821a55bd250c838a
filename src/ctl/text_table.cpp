/**
 * @file text_table.cpp
 * Formats JSON as text for people.
 */
#include "ctl/text_table_func.h"

#include <algorithm>
#include <vector>

namespace monsooncroft::ctl {

namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t kColumnGap = 2;

bool
IsTable(const json& aValue)
{
  return aValue.is_array() && !aValue.empty() &&
         std::all_of(aValue.begin(), aValue.end(), [](const json& aRow) {
           return aRow.is_object();
         });
}

/** Formats a value on one line. */
std::string
FormatInline(const json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  if (aValue.is_boolean()) {
    return aValue.get<bool>() ? "yes" : "no";
  }
  if (aValue.is_null()) {
    return "-";
  }
  if (!aValue.is_structured()) {
    return aValue.dump();
  }
  std::string out;
  for (const auto& [name, value] : aValue.items()) {
    out += out.empty() ? "" : ", ";
    out += aValue.is_object() ? name + "=" + FormatInline(value)
                              : FormatInline(value);
  }
  return out.empty() ? "-" : out;
}

using row = std::vector<std::string>;

/** Returns the header, with the names of all members, and one row per object.
 */
std::vector<row>
TableRows(const json& aTable)
{
  row header;
  for (const json& entry : aTable) {
    for (const auto& [name, value] : entry.items()) {
      if (std::find(header.begin(), header.end(), name) == header.end()) {
        header.push_back(name);
      }
    }
  }
  std::vector<row> out{ header };
  for (const json& entry : aTable) {
    row cells;
    for (const std::string& name : header) {
      cells.push_back(entry.contains(name) ? FormatInline(entry[name]) : "");
    }
    out.push_back(std::move(cells));
  }
  return out;
}

std::string
FormatTable(const json& aTable)
{
  const std::vector<row> rows = TableRows(aTable);
  std::vector<std::size_t> widths(rows[0].size(), 0);
  for (const row& cells : rows) {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      widths[i] = std::max(widths[i], cells[i].size());
    }
  }
  std::string out;
  for (const row& cells : rows) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
      line += cells[i];
      line.append(widths[i] - cells[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

} // namespace

std::string
RenderText(const json& aValue)
{
  if (IsTable(aValue)) {
    return FormatTable(aValue);
  }
  if (!aValue.is_object()) {
    return FormatInline(aValue) + "\n";
  }
  std::string out;
  for (const auto& [name, value] : aValue.items()) {
    if (IsTable(value)) {
      out += name + ":\n" + FormatTable(value);
    } else {
      out += name + ": " + FormatInline(value) + "\n";
    }
  }
  return out;
}

} // namespace monsooncroft::ctl
