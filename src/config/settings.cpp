/**
 * @file settings.cpp
 * Reading and looking up settings.
 */
#include "config/settings_base.h"

#include "config/json_text_func.h"
#include "config/object_reader_base.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <map>

namespace monsooncroft::config {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxSettingsBytes = 65'536;
constexpr int kSettingsDepth = 8;

constexpr std::array<setting_row, kSettings> kRows = { {
#define MC_SETTING(                                                            \
  aSymbol, aName, aType, aDefault, aLeast, aGreatest, aUnit, aText)            \
  { aName, setting_type::aType, aDefault, aLeast, aGreatest, aUnit, aText },
#include "config/settings_table.h"
#undef MC_SETTING
} };

const std::vector<std::string> kLevels = { "trace", "debug", "info",
                                           "warn",  "error", "off" };

} // namespace

/** Reads a JSON object into settings and collects every fault. */
class settings_reader
{
public:
  explicit settings_reader(config_errors& aErrors)
    : mErrors(aErrors)
  {
  }

  settings Read(const json& aObject)
  {
    Flatten(aObject, "", "");
    settings out;
    for (std::size_t i = 0; i < kSettings; ++i) {
      out.mValues[i] = ReadRow(kRows[i]);
    }
    CheckTogether(out);
    return out;
  }

private:
  struct found
  {
    std::string mPath;  ///< JSON pointer.
    const json* mValue; ///< What stands there.
  };

  static bool IsKnown(const std::string& aName)
  {
    return std::any_of(kRows.begin(), kRows.end(), [&](const auto& aRow) {
      return aName == aRow.mName;
    });
  }

  /** Notes every leaf of nested objects under its dotted name. */
  void Flatten(const json& aObject,
               const std::string& aPrefix,
               const std::string& aPath)
  {
    for (const auto& [name, value] : aObject.items()) {
      const std::string dotted = aPrefix + name;
      const std::string path = Below(aPath, name);
      if (value.is_object()) {
        Flatten(value, dotted + ".", path);
        continue;
      }
      if (!IsKnown(dotted)) {
        mErrors.push_back({ path,
                            "the unknown setting " + Shown(dotted),
                            "names listed by --help" });
        continue;
      }
      const auto [place, fresh] = mFound.emplace(dotted, found{ path, &value });
      if (!fresh) {
        mErrors.push_back({ path,
                            dotted + " again, first at " + place->second.mPath,
                            "each setting once" });
      }
    }
  }

  settings::value ReadRow(const setting_row& aRow)
  {
    // A one-member object lets the reader's checks and messages serve here.
    const auto place = mFound.find(aRow.mName);
    const bool given = place != mFound.end();
    json holder = json::object();
    if (given) {
      holder[aRow.mName] = *place->second.mValue;
    } else if (std::strlen(aRow.mDefault) > 0) {
      holder[aRow.mName] = json::parse(aRow.mDefault);
    }
    config_errors faults;
    settings::value out = ReadValue(aRow, holder, faults);
    for (config_error& fault : faults) {
      if (given) {
        const std::string own = Below("", std::string(aRow.mName));
        fault.mPath = place->second.mPath + fault.mPath.substr(own.size());
      }
      mErrors.push_back(std::move(fault));
    }
    return out;
  }

  static settings::value ReadValue(const setting_row& aRow,
                                   const json& aHolder,
                                   config_errors& aFaults)
  {
    object_reader reader(aHolder, "", aFaults);
    switch (aRow.mType) {
      case setting_type::Name:
        return reader.Name(aRow.mName);
      case setting_type::Endpoint:
        return reader.Endpoint(aRow.mName);
      case setting_type::Endpoints:
        return ReadEndpoints(aRow, reader, aFaults);
      case setting_type::Integer:
        return reader.Integer(aRow.mName,
                              { static_cast<std::int64_t>(aRow.mLeast),
                                static_cast<std::int64_t>(aRow.mGreatest) });
      case setting_type::Number:
        return reader.Number(aRow.mName, { aRow.mLeast, aRow.mGreatest });
      case setting_type::Boolean:
        return reader.Boolean(aRow.mName);
      case setting_type::Level:
        return kLevels[reader.Choice(aRow.mName, kLevels)];
    }
    return false;
  }

  static settings::value ReadEndpoints(const setting_row& aRow,
                                       object_reader& aReader,
                                       config_errors& aFaults)
  {
    std::vector<model::endpoint> out;
    const json& entries =
      aReader.Array(aRow.mName,
                    { static_cast<std::size_t>(aRow.mLeast),
                      static_cast<std::size_t>(aRow.mGreatest) });
    for (const json& entry : entries) {
      const auto parsed = ReadEndpoint(entry);
      if (!parsed) {
        aFaults.push_back({ Below(aReader.PathOf(aRow.mName), out.size()),
                            Shown(entry),
                            "a numeric address and a port" });
      }
      out.push_back(parsed.value_or(model::endpoint{}));
    }
    return out;
  }

  /** Checks that span settings; only of use once each is right by itself. */
  void CheckTogether(const settings& aSettings)
  {
    if (!mErrors.empty()) {
      return;
    }
    const auto drain = aSettings.Integer(setting::ShutdownDrain);
    const auto bound = aSettings.Integer(setting::ShutdownBound);
    if (bound <= drain) {
      mErrors.push_back({ "/shutdown.bound_ms",
                          std::to_string(bound),
                          "more than shutdown.drain_ms" });
    }
    const auto& caller = aSettings.Endpoint(setting::ListenCaller);
    if (caller == aSettings.Endpoint(setting::ListenPeer)) {
      mErrors.push_back(
        { "/listen.peer", caller.ToString(), "other than listen.caller" });
    }
  }

  std::map<std::string, found> mFound; ///< Given settings by dotted name.
  config_errors& mErrors;              ///< Where faults go.
};

const setting_row&
RowOf(setting aSetting)
{
  return kRows.at(static_cast<std::size_t>(aSetting));
}

result<settings>
settings::Parse(const std::string& aText)
{
  config_errors errors;
  const auto value =
    ReadJson(aText, { kMaxSettingsBytes, kSettingsDepth }, errors);
  if (!value) {
    return { std::move(errors) };
  }
  if (!value->is_object()) {
    errors.push_back({ "", Shown(*value), "an object" });
    return { std::move(errors) };
  }
  settings out = settings_reader(errors).Read(*value);
  if (!errors.empty()) {
    return { std::move(errors) };
  }
  return { std::move(out) };
}

const settings::value&
settings::At(setting aSetting) const
{
  return mValues.at(static_cast<std::size_t>(aSetting));
}

std::int64_t
settings::Integer(setting aSetting) const
{
  return std::get<std::int64_t>(At(aSetting));
}

double
settings::Number(setting aSetting) const
{
  const value& held = At(aSetting);
  if (const auto* whole = std::get_if<std::int64_t>(&held)) {
    return static_cast<double>(*whole);
  }
  return std::get<double>(held);
}

bool
settings::Boolean(setting aSetting) const
{
  return std::get<bool>(At(aSetting));
}

std::chrono::milliseconds
settings::Milliseconds(setting aSetting) const
{
  assert(std::string(RowOf(aSetting).mUnit) == "ms");
  return std::chrono::milliseconds(Integer(aSetting));
}

const std::string&
settings::Text(setting aSetting) const
{
  return std::get<std::string>(At(aSetting));
}

const model::endpoint&
settings::Endpoint(setting aSetting) const
{
  return std::get<model::endpoint>(At(aSetting));
}

const std::vector<model::endpoint>&
settings::Endpoints(setting aSetting) const
{
  return std::get<std::vector<model::endpoint>>(At(aSetting));
}

} // namespace monsooncroft::config
