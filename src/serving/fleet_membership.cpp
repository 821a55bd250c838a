/**
 * @file fleet_membership.cpp
 * Membership by gossip of heartbeat counters.
 */
#include "serving/fleet_membership_base.h"

#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace monsooncroft::serving {

fleet_membership::fleet_membership(fleet_member aSelf,
                                   std::vector<model::endpoint> aSeeds,
                                   const fleet_membership_settings& aSettings,
                                   std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mRandom(aSeed)
{
  SetSeeds(std::move(aSeeds));
}

void
fleet_membership::SetSeeds(std::vector<model::endpoint> aSeeds)
{
  mSeeds = std::move(aSeeds);
  std::erase(mSeeds, mSelf.mPeerEndpoint);
}

std::vector<model::endpoint>
fleet_membership::StartGossipRound(model::instant aNow)
{
  ++mSelf.mHeartbeat;
  std::erase_if(mOtherMembers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastContact > mSettings.mRetentionPeriod;
  });
  std::vector<fleet_member> live = LiveMembers(aNow);
  std::shuffle(live.begin(), live.end(), mRandom);
  if (live.size() > mSettings.mGossipFanout) {
    // Traffic between data centres is expensive: all but one of the messages
    // go to the own data centre if it has enough members.
    std::stable_partition(
      live.begin() + 1, live.end(), [this](const fleet_member& aMember) {
        return aMember.mDataCentre == mSelf.mDataCentre;
      });
    live.resize(mSettings.mGossipFanout);
  }
  const bool alone = live.empty();
  std::vector<model::endpoint> targets;
  targets.reserve(live.size());
  for (const fleet_member& member : live) {
    targets.push_back(member.mPeerEndpoint);
  }
  if (!mSeeds.empty()) {
    // All seeds while no member is live, otherwise one of them from time to
    // time: two halves of a partitioned fleet find each other there again.
    if (alone) {
      targets = mSeeds;
    } else if (mSelf.mHeartbeat % 4 == 0) {
      targets.push_back(mSeeds[mRandom() % mSeeds.size()]);
    }
  }
  if (mSelf.mHeartbeat % 4 == 2 && !mOtherMembers.empty()) {
    auto place = mOtherMembers.begin();
    std::advance(place,
                 static_cast<std::ptrdiff_t>(mRandom() % mOtherMembers.size()));
    targets.push_back(place->second.mMember.mPeerEndpoint);
  }
  return targets;
}

fleet_membership::known_member
fleet_membership::MakeKnownMember(const fleet_member& aMember,
                                  model::instant aNow)
{
  const std::uint64_t hash = cluster::RendezvousWeight(
    cluster::HashOf(aMember.mName), aMember.mIncarnation);
  return { aMember, aNow, static_cast<std::uint32_t>(hash) };
}

void
fleet_membership::OnMessage(const fleet_message& aMessage, model::instant aNow)
{
  for (const fleet_member& member : aMessage.mMembers) {
    if (member.mName == mSelf.mName) {
      continue;
    }
    const auto found = mOtherMembers.find(member.mName);
    if (found == mOtherMembers.end() ||
        member.IsNewerThan(found->second.mMember)) {
      mOtherMembers.insert_or_assign(member.mName,
                                     MakeKnownMember(member, aNow));
    }
  }
  std::unordered_map<std::uint32_t, std::uint64_t> heartbeats;
  for (const member_heartbeat& heartbeat : aMessage.mHeartbeats) {
    heartbeats.emplace(heartbeat.mMemberHash, heartbeat.mHeartbeat);
  }
  for (auto& [name, known] : mOtherMembers) {
    const auto found = heartbeats.find(known.mMemberHash);
    if (found != heartbeats.end() && found->second > known.mMember.mHeartbeat) {
      known.mMember.mHeartbeat = found->second;
      known.mLastContact = aNow;
    }
  }
}

fleet_message
fleet_membership::BuildMessage(model::instant aNow)
{
  std::vector<const known_member*> others;
  others.reserve(mOtherMembers.size());
  for (const auto& [name, known] : mOtherMembers) {
    others.push_back(&known);
  }
  // Random members, not those of the newest heartbeats: otherwise all instances
  // would pass on the same ones.
  std::shuffle(others.begin(), others.end(), mRandom);
  fleet_message message;
  message.mMembers.push_back(mSelf);
  for (const known_member* other : others) {
    if (message.mMembers.size() < mSettings.mMembersPerMessage) {
      message.mMembers.push_back(other->mMember);
    } else if (message.mHeartbeats.size() < mSettings.mHeartbeatsPerMessage &&
               aNow - other->mLastContact <= mSettings.mFailureTimeout) {
      message.mHeartbeats.push_back(
        { other->mMemberHash, other->mMember.mHeartbeat });
    }
  }
  return message;
}

void
fleet_membership::SetConfigVersion(std::uint64_t aVersion)
{
  mSelf.mConfigVersion = std::max(mSelf.mConfigVersion, aVersion);
  // Members replace a known state only by one with a higher heartbeat.
  ++mSelf.mHeartbeat;
}

std::vector<fleet_member>
fleet_membership::MembersWithin(model::duration aTime,
                                model::instant aNow) const
{
  std::vector<fleet_member> members;
  ForEachMemberWithin(aTime, aNow, [&](const fleet_member& aMember) {
    members.push_back(aMember);
  });
  return members;
}

std::vector<fleet_member>
fleet_membership::LiveMembers(model::instant aNow) const
{
  return MembersWithin(mSettings.mFailureTimeout, aNow);
}

std::vector<fleet_member>
fleet_membership::PossiblyLiveMembers(model::instant aNow) const
{
  return MembersWithin(mSettings.mRetentionPeriod, aNow);
}

fleet_size
fleet_membership::FleetSize(model::instant aNow) const
{
  fleet_size size;
  ForEachMemberWithin(
    mSettings.mRetentionPeriod, aNow, [&](const fleet_member& aMember) {
      ++size.mTotal;
      size.mInOwnDataCentre += aMember.mDataCentre == mSelf.mDataCentre ? 1 : 0;
    });
  return size;
}

std::size_t
fleet_membership::DutyRank(const std::string& aSalt,
                           bool aOwnDataCentre,
                           model::instant aNow) const
{
  const std::uint64_t salt = cluster::HashOf(aSalt);
  const auto weight = [salt](const fleet_member& aMember) {
    return cluster::RendezvousWeight(salt, cluster::HashOf(aMember.mName));
  };
  const std::uint64_t ownWeight = weight(mSelf);
  std::size_t rank = 0;
  ForEachMemberWithin(
    mSettings.mFailureTimeout, aNow, [&](const fleet_member& aMember) {
      const bool eligible =
        aMember.mReachesStore && !aMember.mLeaving &&
        (!aOwnDataCentre || aMember.mDataCentre == mSelf.mDataCentre);
      rank += eligible && weight(aMember) > ownWeight ? 1 : 0;
    });
  return rank;
}

std::optional<fleet_member>
fleet_membership::MemberWithNewerConfig(model::instant aNow) const
{
  const fleet_member* best = nullptr;
  const auto isBetter = [&](const fleet_member& aMember) {
    if (best == nullptr || aMember.mConfigVersion != best->mConfigVersion) {
      return best == nullptr || aMember.mConfigVersion > best->mConfigVersion;
    }
    const auto inOwnDataCentre = [&](const fleet_member& aOther) {
      return aOther.mDataCentre == mSelf.mDataCentre;
    };
    if (inOwnDataCentre(aMember) != inOwnDataCentre(*best)) {
      return inOwnDataCentre(aMember);
    }
    // The salt spreads the instances over the members that have the newest
    // configuration, and changes for the next attempt.
    const std::uint64_t salt = cluster::HashOf(mSelf.mName) + mSelf.mHeartbeat;
    const auto weight = [salt](const fleet_member& aOther) {
      return cluster::RendezvousWeight(salt, cluster::HashOf(aOther.mName));
    };
    return weight(aMember) > weight(*best);
  };
  ForEachMemberWithin(
    mSettings.mFailureTimeout, aNow, [&](const fleet_member& aMember) {
      if (aMember.mConfigVersion > mSelf.mConfigVersion && isBetter(aMember)) {
        best = &aMember;
      }
    });
  return best == nullptr ? std::nullopt : std::optional(*best);
}

} // namespace monsooncroft::serving
