/**
 * @file fleet_extension_quota.h
 * Codec of the part of messages between instances about quotas.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_EXTENSION_QUOTA_H
#define MONSOONCROFT_SERVING_FLEET_EXTENSION_QUOTA_H

#include <nlohmann/json_fwd.hpp>

namespace monsooncroft::serving {

struct fleet_message;

/** @return Null if the message holds nothing about quotas. */
nlohmann::json
EncodeQuota(const fleet_message& aMessage);

/** Decodes the elements that can be read; those of later versions, after the
 * known ones, are skipped.
 * @throws nlohmann::json::exception if the part is malformed. */
void
DecodeQuota(const nlohmann::json& aPart, fleet_message& aMessage);

} // namespace monsooncroft::serving

#endif
