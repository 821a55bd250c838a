/**
 * @file settings_base.h
 * The settings of one entry instance.
 */
#ifndef MONSOONCROFT_CONFIG_SETTINGS_BASE_H
#define MONSOONCROFT_CONFIG_SETTINGS_BASE_H

#include "config/config_error_type.h"
#include "config/settings_type.h"
#include "model/endpoint_type.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace monsooncroft::config {

/** Checked settings; immutable. */
class settings
{
public:
  /**
   * Reads settings.
   * @param aText JSON object; names dotted or nested, absent ones default.
   * @return The settings, or every fault. Never throws on bad text.
   */
  static result<settings> Parse(const std::string& aText);

  /** @pre The table says Integer; so for each getter and its type. */
  std::int64_t Integer(setting aSetting) const;
  double Number(setting aSetting) const; ///< A number; an integer too.
  bool Boolean(setting aSetting) const;
  std::chrono::milliseconds Milliseconds(setting aSetting) const;
  const std::string& Text(setting aSetting) const; ///< Name or Level.
  const model::endpoint& Endpoint(setting aSetting) const;
  const std::vector<model::endpoint>& Endpoints(setting aSetting) const;

  bool operator==(const settings&) const = default;

private:
  using value = std::variant<std::int64_t,
                             double,
                             bool,
                             std::string,
                             model::endpoint,
                             std::vector<model::endpoint>>;
  friend class settings_reader;

  settings() = default;
  const value& At(setting aSetting) const;

  std::array<value, kSettings> mValues; ///< In the order of the table.
};

} // namespace monsooncroft::config

#endif
