/**
 * @file gossip_update.cpp
 * Conversion of drain marks to and from gossip updates.
 */
#include "cluster/gossip_update_type.h"

namespace monsooncroft::cluster {

gossip_update
ToGossipUpdate(const drain_mark& aMark,
               model::wall_instant aNow,
               std::chrono::milliseconds aLifetime)
{
  gossip_update entry;
  entry.mKey = { gossip_kind::DrainMark, aMark.mLeaf.Value() };
  entry.mVersion = static_cast<std::uint64_t>(aNow.time_since_epoch().count());
  entry.mPayload = std::to_string(static_cast<int>(aMark.mSignal));
  entry.mExpires = aNow + aLifetime;
  return entry;
}

std::optional<drain_mark>
ToDrainMark(const gossip_update& aUpdate)
{
  const bool single = aUpdate.mPayload.size() == 1;
  if (aUpdate.mKey.mKind != gossip_kind::DrainMark || !single) {
    return std::nullopt;
  }
  const auto signal = static_cast<drain_signal>(aUpdate.mPayload[0] - '0');
  if (signal < drain_signal::None || signal >= drain_signal::End) {
    return std::nullopt;
  }
  return drain_mark{ model::leaf_id(aUpdate.mKey.mName), signal };
}

} // namespace monsooncroft::cluster
