/**
 * @file entry_instance_quota.cpp
 * An entry instance's quotas of workspaces.
 */
#include "gateway/entry_instance_base.h"

#include "cluster/rendezvous_func.h"

namespace monsooncroft::gateway {

void
entry_instance::AddQuotaHooks(control_plane::hooks& aHooks)
{
  aHooks.mOnQuota = [this](const serving::quota_message& aMessage,
                           const serving::fleet_member& aFrom) {
    const std::uint64_t sender = cluster::RendezvousWeight(
      cluster::HashOf(aFrom.mName), aFrom.mIncarnation);
    mQuota.OnMessage(aMessage, sender, aFrom.mPeerEndpoint);
  };
}

} // namespace monsooncroft::gateway
