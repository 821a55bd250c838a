/**
 * @file leaf_config.h
 * What the settings file says of each leaf.
 */
#ifndef MONSOONCROFT_STANDIN_LEAF_CONFIG_H
#define MONSOONCROFT_STANDIN_LEAF_CONFIG_H

#include "model/endpoint_type.h"
#include "model/time_type.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsooncroft::standin {

/** Index versions by shard, ascending. */
using held_versions = std::map<std::string, std::vector<std::uint64_t>>;

/** A log-normal service time with a share of slow calls. */
struct service_time
{
  double mMedianMs = 2;
  double mSigma = 0.3;
  double mTailFraction = 0; ///< Share of calls that take longer.
  double mTailFactor = 1;   ///< How many times longer.

  bool operator==(const service_time&) const = default;
};

/** One leaf. */
struct leaf_config
{
  std::string mName;
  model::endpoint mAddress;
  std::string mService;
  int mSlots = 2;               ///< Requests that run at once.
  std::size_t mQueueLimit = 16; ///< Requests that wait for a slot.
  int mConnectionLimit = 25;
  model::duration mConnectDelay{}; ///< Cost of a new connection.
  held_versions mShards;
  service_time mServiceTime;

  bool operator==(const leaf_config&) const = default;
};

/** The settings file. */
struct backend_config
{
  std::vector<leaf_config> mLeaves;
  std::uint64_t mSeed = 1;

  bool operator==(const backend_config&) const = default;
};

/**
 * Reads the settings.
 * @param aJson The settings file.
 * @return The settings.
 * @throws std::exception if a field is missing or wrong.
 */
backend_config
ParseBackendConfig(const nlohmann::json& aJson);

} // namespace monsooncroft::standin

#endif
