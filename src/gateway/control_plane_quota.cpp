/**
 * @file control_plane_quota.cpp
 * Messages about workspaces' quotas between instances.
 */
#include "gateway/control_plane_base.h"

#include "gateway/event_loop_base.h"
#include "serving/fleet_codec_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Time for which the keepers of a group are not looked up again. */
constexpr std::chrono::milliseconds kKeepersAge{ 20 };
/** Time after the first contact with a peer in which gossip names nearly all
 * others. */
constexpr std::chrono::milliseconds kWarmUp{ 750 };
/** Time after which an instance without any peer takes itself for alone. */
constexpr std::chrono::milliseconds kMaxWarmUp{ 3'000 };
/** As mMaxCutPeriod of the membership, for seeds that were never heard of. */
constexpr std::chrono::milliseconds kSeedsCount{ 60'000 };

serving::fleet_message
MessageOf(const serving::fleet_member& aSelf,
          const serving::quota_message& aMessage)
{
  serving::fleet_message message;
  message.mMembers = { aSelf };
  message.mQuota = aMessage;
  return message;
}

} // namespace

serving::quota_keepers
control_plane::Keepers(serving::quota_group aGroup) const
{
  const model::instant now = event_loop::Now();
  known_keepers& known = mQuotaKeepers[aGroup % serving::kQuotaGroups];
  if (!known.mFoundAt || now - *known.mFoundAt > kKeepersAge) {
    const std::string salt = "quota " + std::to_string(aGroup);
    const serving::fleet_member& self = mFleet.Self();
    const auto issuer = mFleet.DutyHolder(salt, now);
    const auto deputy = mFleet.DutyDeputy(salt, now);
    known.mKeepers.mIssuer = { issuer.value_or(self).mPeerEndpoint, !issuer };
    known.mKeepers.mDeputy.reset();
    if (deputy) {
      known.mKeepers.mDeputy = { deputy->mPeerEndpoint,
                                 deputy->mName == self.mName };
    }
    known.mFoundAt = now;
  }
  return known.mKeepers;
}

std::size_t
control_plane::KnownInstances() const
{
  const model::instant now = event_loop::Now();
  const std::size_t atLeast =
    now - mStartedAt < kSeedsCount ? mFleet.Seeds() + 1 : 1;
  return std::max(mFleet.KnownInstances(now), atLeast);
}

std::size_t
control_plane::ReachableInstances() const
{
  return mFleet.ReachableInstances(event_loop::Now());
}

bool
control_plane::MembershipIsComplete() const
{
  const model::instant now = event_loop::Now();
  return mFleet.Seeds() == 0 || now - mStartedAt >= kMaxWarmUp ||
         (mFirstContactAt && now - *mFirstContactAt >= kWarmUp);
}

void
control_plane::SendQuota(const model::endpoint& aTo,
                         const serving::quota_message& aMessage)
{
  SendToPeer(aTo, serving::EncodeMessage(MessageOf(mFleet.Self(), aMessage)));
}

void
control_plane::SendQuotaToAll(const serving::quota_message& aMessage)
{
  SendToPeers(mFleet.LiveMembers(event_loop::Now()),
              MessageOf(mFleet.Self(), aMessage));
}

void
control_plane::SendQuotaToDataCentre(const serving::quota_message& aMessage)
{
  auto members = mFleet.LiveMembers(event_loop::Now());
  std::erase_if(members, [this](const serving::fleet_member& aMember) {
    return aMember.mDataCentre != mFleet.Self().mDataCentre;
  });
  SendToPeers(members, MessageOf(mFleet.Self(), aMessage));
}

} // namespace monsooncroft::gateway
