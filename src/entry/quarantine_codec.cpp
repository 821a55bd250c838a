/**
 * @file quarantine_codec.cpp
 * Quarantine marks as rumours and as messages between instances.
 */
#include "entry/quarantine_codec_func.h"

#include <nlohmann/json.hpp>

namespace monsooncroft::entry {

namespace {

using nlohmann::json;

constexpr std::uint64_t kUncleared = 0;
constexpr std::uint64_t kCleared = 1;

std::optional<once::crash_mark>
ReadMark(const json& aRow)
{
  const model::service_id service(aRow.at("service").get<std::string>());
  const auto suspicion =
    once::ParseCrashMarkName(aRow.at("name").get<std::string>(), service);
  if (!suspicion) {
    return std::nullopt;
  }
  const std::chrono::milliseconds expires(aRow.at("expires_ms").get<long>());
  return once::crash_mark{ *suspicion,
                           aRow.at("cleared").get<bool>(),
                           model::wall_instant(expires) };
}

} // namespace

cluster::gossip_update
WriteQuarantineRumour(const once::crash_mark& aMark)
{
  cluster::gossip_update out;
  out.mKey.mKind = cluster::gossip_kind::Quarantine;
  out.mKey.mName = once::CrashMarkName(aMark);
  out.mVersion = aMark.mCleared ? kCleared : kUncleared;
  out.mPayload = aMark.mSuspicion.mService.Value();
  out.mExpires = aMark.mExpires;
  return out;
}

std::optional<once::crash_mark>
ReadQuarantineRumour(const cluster::gossip_update& aRumour)
{
  if (aRumour.mKey.mKind != cluster::gossip_kind::Quarantine) {
    return std::nullopt;
  }
  const auto suspicion = once::ParseCrashMarkName(
    aRumour.mKey.mName, model::service_id(aRumour.mPayload));
  if (!suspicion) {
    return std::nullopt;
  }
  return once::crash_mark{ *suspicion,
                           aRumour.mVersion == kCleared,
                           aRumour.mExpires };
}

std::string
EmitMarks(const std::vector<once::crash_mark>& aMarks)
{
  json rows = json::array();
  for (const once::crash_mark& mark : aMarks) {
    rows.push_back(
      { { "name", once::CrashMarkName(mark) },
        { "service", mark.mSuspicion.mService.Value() },
        { "cleared", mark.mCleared },
        { "expires_ms", mark.mExpires.time_since_epoch().count() } });
  }
  return json{ { "marks", rows } }.dump();
}

std::optional<std::vector<once::crash_mark>>
ParseMarks(const std::string& aText)
{
  const json value = json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  try {
    std::vector<once::crash_mark> out;
    for (const json& row : value.at("marks")) {
      const auto mark = ReadMark(row);
      if (!mark) {
        return std::nullopt;
      }
      out.push_back(*mark);
    }
    return out;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace monsooncroft::entry
