/**
 * @file fleet_extensions.cpp
 * Named parts of the messages between instances.
 */
#include "serving/fleet_extensions.h"

#include "serving/fleet_extension_quota.h"
#include "serving/fleet_type.h"

#include <nlohmann/json.hpp>

namespace monsooncroft::serving {

const std::vector<fleet_extension>&
FleetExtensions()
{
  static const std::vector<fleet_extension> kExtensions{
    { "quota", EncodeQuota, DecodeQuota },
  };
  return kExtensions;
}

nlohmann::json
EncodeExtensions(const fleet_message& aMessage)
{
  nlohmann::json parts;
  for (const fleet_extension& extension : FleetExtensions()) {
    nlohmann::json part = extension.mEncode(aMessage);
    if (!part.is_null()) {
      parts[extension.mName] = std::move(part);
    }
  }
  return parts;
}

void
DecodeExtensions(const nlohmann::json& aParts, fleet_message& aMessage)
{
  for (const fleet_extension& extension : FleetExtensions()) {
    const auto part = aParts.find(extension.mName);
    if (part != aParts.end()) {
      try {
        extension.mDecode(*part, aMessage);
      } catch (const nlohmann::json::exception&) {
        aMessage.mMalformedParts.emplace_back(extension.mName);
      }
    }
  }
}

} // namespace monsooncroft::serving
