/**
 * @file leaf_config.cpp
 * Reading of the backend's settings.
 */
#include "standin/leaf_config.h"

#include <algorithm>
#include <stdexcept>

namespace monsooncroft::standin {

namespace {

using nlohmann::json;

service_time
ParseServiceTime(const json& aJson)
{
  service_time time;
  time.mMedianMs = aJson.value("median_ms", time.mMedianMs);
  time.mSigma = aJson.value("sigma", time.mSigma);
  time.mTailFraction = aJson.value("tail_fraction", time.mTailFraction);
  time.mTailFactor = aJson.value("tail_factor", time.mTailFactor);
  return time;
}

leaf_config
ParseLeaf(const json& aJson)
{
  leaf_config leaf;
  leaf.mName = aJson.at("name");
  const auto address = model::endpoint::Parse(aJson.at("address"));
  if (!address) {
    throw std::invalid_argument("address of " + leaf.mName);
  }
  leaf.mAddress = *address;
  leaf.mService = aJson.at("service");
  leaf.mSlots = aJson.value("slots", leaf.mSlots);
  leaf.mQueueLimit = aJson.value("queue_limit", leaf.mQueueLimit);
  leaf.mConnectionLimit =
    aJson.value("connection_limit", leaf.mConnectionLimit);
  const std::chrono::duration<double, std::milli> delay(
    aJson.value("connect_ms", 0.0));
  leaf.mConnectDelay = std::chrono::duration_cast<model::duration>(delay);
  for (const json& shard : aJson.at("shards")) {
    std::vector<std::uint64_t> versions = shard.at("versions");
    std::ranges::sort(versions);
    leaf.mShards[shard.at("name")] = std::move(versions);
  }
  leaf.mServiceTime =
    ParseServiceTime(aJson.value("service_time", json::object()));
  return leaf;
}

} // namespace

backend_config
ParseBackendConfig(const json& aJson)
{
  backend_config config;
  config.mSeed = aJson.value("seed", config.mSeed);
  for (const json& leaf : aJson.at("leaves")) {
    config.mLeaves.push_back(ParseLeaf(leaf));
  }
  return config;
}

} // namespace monsooncroft::standin
