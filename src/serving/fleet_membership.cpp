/**
 * @file fleet_membership.cpp
 * Membership by gossip of heartbeat counters.
 */
#include "serving/fleet_membership_base.h"

#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

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
    return aNow - aEntry.second.mLastContact >
           std::max(mSettings.mRetentionPeriod, mSettings.mMaxCutPeriod);
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
fleet_membership::known_member::OnHeartbeat(std::uint64_t aHeartbeat,
                                            model::instant aNow)
{
  if (aHeartbeat > mMember.mHeartbeat) {
    mMember.mHeartbeat = aHeartbeat;
    mLastContact = aNow;
  }
}

void
fleet_membership::known_member::OnState(const fleet_member& aState)
{
  if (aState.mStateHeartbeat > mMember.mStateHeartbeat) {
    const std::uint64_t heartbeat = mMember.mHeartbeat;
    mMember = aState;
    mMember.mHeartbeat = heartbeat;
  }
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
        member.mIncarnation > found->second.mMember.mIncarnation) {
      mOtherMembers.insert_or_assign(member.mName,
                                     MakeKnownMember(member, aNow));
    } else if (member.mIncarnation == found->second.mMember.mIncarnation) {
      found->second.OnState(member);
      found->second.OnHeartbeat(member.mHeartbeat, aNow);
    }
  }
  std::unordered_map<std::uint32_t, std::uint64_t> heartbeats;
  for (const member_heartbeat& heartbeat : aMessage.mHeartbeats) {
    heartbeats.emplace(heartbeat.mMemberHash, heartbeat.mHeartbeat);
  }
  for (auto& [name, known] : mOtherMembers) {
    const auto found = heartbeats.find(known.mMemberHash);
    if (found != heartbeats.end()) {
      known.OnHeartbeat(found->second, aNow);
    }
  }
}

fleet_message
fleet_membership::BuildMessage(model::instant aNow)
{
  std::vector<const known_member*> others;
  others.reserve(mOtherMembers.size());
  for (const auto& [name, known] : mOtherMembers) {
    if (aNow - known.mLastContact <= mSettings.mRetentionPeriod) {
      others.push_back(&known);
    }
  }
  // Random members, not those of the newest heartbeats: otherwise all instances
  // would pass on the same ones.
  std::shuffle(others.begin(), others.end(), mRandom);
  fleet_message message;
  message.mMembers.push_back(mSelf);
  const std::size_t fullCount =
    std::min(others.size(), mSettings.mMembersPerMessage - 1);
  for (std::size_t index = 0; index < fullCount; ++index) {
    message.mMembers.push_back(others[index]->mMember);
  }
  others.erase(others.begin(),
               others.begin() + static_cast<std::ptrdiff_t>(fullCount));
  // All instances use the roots: the roots' heartbeats do not wait for their
  // turn among many members.
  std::stable_partition(
    others.begin(), others.end(), [](const known_member* aOther) {
      return aOther->mMember.mRelayPort != 0;
    });
  for (const known_member* other : others) {
    if (message.mHeartbeats.size() < mSettings.mHeartbeatsPerMessage &&
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
  if (aVersion > mSelf.mConfigVersion) {
    mSelf.mConfigVersion = aVersion;
    OnStateChanged();
  }
}

void
fleet_membership::SetDirectoryRevision(model::store_revision aRevision)
{
  if (aRevision > mSelf.mDirectoryRevision) {
    mSelf.mDirectoryRevision = aRevision;
    OnStateChanged();
  }
}

void
fleet_membership::SetReachesStore(bool aReaches)
{
  if (aReaches != mSelf.mReachesStore) {
    mSelf.mReachesStore = aReaches;
    OnStateChanged();
  }
}

void
fleet_membership::SetRelayPort(std::uint16_t aPort)
{
  if (aPort != mSelf.mRelayPort) {
    mSelf.mRelayPort = aPort;
    OnStateChanged();
  }
}

void
fleet_membership::SetLeaving()
{
  mSelf.mLeaving = true;
  OnStateChanged();
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

std::vector<fleet_member>
fleet_membership::RandomPossiblyLiveMembers(std::size_t aMaxCount,
                                            model::instant aNow)
{
  std::vector<fleet_member> members = PossiblyLiveMembers(aNow);
  if (members.size() > aMaxCount) {
    std::shuffle(members.begin(), members.end(), mRandom);
    members.resize(aMaxCount);
  }
  return members;
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
fleet_membership::DutyHolder(const std::string& aSalt,
                             model::instant aNow) const
{
  const std::uint64_t salt = cluster::HashOf(aSalt);
  const auto weight = [salt](const fleet_member& aMember) {
    return cluster::RendezvousWeight(salt, cluster::HashOf(aMember.mName));
  };
  const fleet_member* best = nullptr;
  std::uint64_t bestWeight = mSelf.mLeaving ? 0 : weight(mSelf);
  ForEachMemberWithin(
    mSettings.mFailureTimeout, aNow, [&](const fleet_member& aMember) {
      if (!aMember.mLeaving && weight(aMember) > bestWeight) {
        best = &aMember;
        bestWeight = weight(aMember);
      }
    });
  return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<fleet_member>
fleet_membership::DutyDeputy(const std::string& aSalt,
                             model::instant aNow) const
{
  const std::uint64_t salt = cluster::HashOf(aSalt);
  const fleet_member holder = DutyHolder(aSalt, aNow).value_or(mSelf);
  const fleet_member* best = nullptr;
  std::pair<bool, std::uint64_t> bestRank;
  const auto consider = [&](const fleet_member& aMember) {
    const std::pair rank(
      aMember.mDataCentre != holder.mDataCentre,
      cluster::RendezvousWeight(salt, cluster::HashOf(aMember.mName)));
    if (!aMember.mLeaving && aMember.mName != holder.mName &&
        (best == nullptr || rank > bestRank)) {
      best = &aMember;
      bestRank = rank;
    }
  };
  consider(mSelf);
  ForEachMemberWithin(mSettings.mFailureTimeout, aNow, consider);
  return best == nullptr ? std::nullopt : std::optional(*best);
}

std::size_t
fleet_membership::KnownInstances(model::instant aNow) const
{
  std::size_t count = 1;
  ForEachMemberWithin(
    mSettings.mMaxCutPeriod, aNow, [&](const fleet_member& aMember) {
      count += aMember.mLeaving ? 0 : 1;
    });
  return count;
}

std::size_t
fleet_membership::ReachableInstances(model::instant aNow) const
{
  std::size_t count = 1;
  ForEachMemberWithin(
    mSettings.mFailureTimeout, aNow, [&](const fleet_member& aMember) {
      count += aMember.mLeaving ? 0 : 1;
    });
  return count;
}

bool
fleet_membership::IsPreferredSource(const fleet_member& aMember,
                                    const fleet_member& aOther) const
{
  const bool ownDataCentre = aMember.mDataCentre == mSelf.mDataCentre;
  if (ownDataCentre != (aOther.mDataCentre == mSelf.mDataCentre)) {
    return ownDataCentre;
  }
  const std::uint64_t salt = cluster::HashOf(mSelf.mName) + mSelf.mHeartbeat;
  return cluster::RendezvousWeight(salt, cluster::HashOf(aMember.mName)) >
         cluster::RendezvousWeight(salt, cluster::HashOf(aOther.mName));
}

std::optional<fleet_member>
fleet_membership::MemberWithNewerConfig(model::instant aNow) const
{
  const fleet_member* best = nullptr;
  ForEachMemberWithin(
    mSettings.mFailureTimeout, aNow, [&](const fleet_member& aMember) {
      if (aMember.mConfigVersion <= mSelf.mConfigVersion) {
        return;
      }
      const bool better = best == nullptr ||
                          aMember.mConfigVersion > best->mConfigVersion ||
                          (aMember.mConfigVersion == best->mConfigVersion &&
                           IsPreferredSource(aMember, *best));
      best = better ? &aMember : best;
    });
  return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<fleet_member>
fleet_membership::MemberWithNewerDirectory(model::instant aNow) const
{
  const fleet_member* best = nullptr;
  ForEachMemberWithin(
    mSettings.mFailureTimeout, aNow, [&](const fleet_member& aMember) {
      if (aMember.mDirectoryRevision > mSelf.mDirectoryRevision &&
          (best == nullptr || IsPreferredSource(aMember, *best))) {
        best = &aMember;
      }
    });
  return best == nullptr ? std::nullopt : std::optional(*best);
}

} // namespace monsooncroft::serving
