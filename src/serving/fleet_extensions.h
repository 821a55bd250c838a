/**
 * @file fleet_extensions.h
 * Named parts of the messages between instances.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_EXTENSIONS_H
#define MONSOONCROFT_SERVING_FLEET_EXTENSIONS_H

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace monsooncroft::serving {

struct fleet_message;

/** Codec of one named part. Instances of versions that do not know the name
 * skip the part. */
struct fleet_extension
{
  const char* mName;
  /** @return Null if the message holds nothing of this part. */
  nlohmann::json (*mEncode)(const fleet_message& aMessage);
  /** @throws nlohmann::json::exception if the part is malformed. */
  void (*mDecode)(const nlohmann::json& aPart, fleet_message& aMessage);
};

/** All parts that this version knows. */
const std::vector<fleet_extension>&
FleetExtensions();

/** @return An object of all parts that the message holds; null if there are
 * none. */
nlohmann::json
EncodeExtensions(const fleet_message& aMessage);

/** Decodes the known parts of an object and skips the others. A malformed part
 * is named in fleet_message::mMalformedParts; the rest of the message counts.
 */
void
DecodeExtensions(const nlohmann::json& aParts, fleet_message& aMessage);

} // namespace monsooncroft::serving

#endif
