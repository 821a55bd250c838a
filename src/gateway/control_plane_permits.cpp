/**
 * @file control_plane_permits.cpp
 * Messages about leaves' rate limits between instances.
 */
#include "gateway/control_plane_base.h"

#include "serving/fleet_codec_func.h"

namespace monsooncroft::gateway {

std::optional<model::endpoint>
control_plane::PermitIssuer(const std::string& aServiceGroup,
                            model::instant aNow) const
{
  const auto holder = mFleet.DutyHolder("permits " + aServiceGroup, aNow);
  return holder ? std::optional(holder->mPeerEndpoint) : std::nullopt;
}

void
control_plane::SendPermitRequest(
  const model::endpoint& aTo,
  const serving::permit_request& aRequest,
  const std::vector<serving::leaf_limit_report>& aLimits)
{
  serving::fleet_message message;
  message.mMembers = { mFleet.Self() };
  message.mLeafLimits = aLimits;
  message.mPermitRequests = { aRequest };
  SendToPeer(aTo, serving::EncodeMessage(message));
}

void
control_plane::SendPermitReply(const model::endpoint& aTo,
                               const serving::permit_reply& aReply)
{
  serving::fleet_message message;
  message.mMembers = { mFleet.Self() };
  message.mPermitReplies = { aReply };
  SendToPeer(aTo, serving::EncodeMessage(message));
}

void
control_plane::SendLeafLimits(
  const std::vector<serving::leaf_limit_report>& aLimits,
  model::instant aNow)
{
  serving::fleet_message message;
  message.mLeafLimits = aLimits;
  SendToPeers(mFleet.PossiblyLiveMembers(aNow), std::move(message));
}

std::size_t
control_plane::SendingInstances(model::instant aNow) const
{
  return mFleet.KnownInstances(aNow);
}

double
control_plane::ReachableShare(model::instant aNow) const
{
  return static_cast<double>(mFleet.ReachableInstances(aNow)) /
         static_cast<double>(mFleet.KnownInstances(aNow));
}

} // namespace monsooncroft::gateway
