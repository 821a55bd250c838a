/**
 * @file fleet_view.cpp
 * Membership by exchanged beat counters.
 */
#include "serving/fleet_view_base.h"

#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace monsooncroft::serving {

fleet_view::fleet_view(fleet_member aSelf,
                       std::vector<model::endpoint> aSeeds,
                       const fleet_terms& aTerms,
                       std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mTerms(aTerms)
  , mRandom(aSeed)
{
  SetSeeds(std::move(aSeeds));
}

void
fleet_view::SetSeeds(std::vector<model::endpoint> aSeeds)
{
  mSeeds = std::move(aSeeds);
  std::erase(mSeeds, mSelf.mPeer);
}

std::vector<model::endpoint>
fleet_view::OnRound(model::instant aNow)
{
  ++mSelf.mBeat;
  std::erase_if(mKnown, [&](const auto& aEntry) {
    return aNow - aEntry.second.mHeard > mTerms.mCountedFor;
  });
  std::vector<fleet_member> live = Live(aNow);
  std::shuffle(live.begin(), live.end(), mRandom);
  if (live.size() > mTerms.mFanout) {
    // Bytes between data centres are dear: most of the news goes to near ones.
    std::stable_partition(
      live.begin() + 1, live.end(), [this](const fleet_member& aMember) {
        return aMember.mDataCentre == mSelf.mDataCentre;
      });
    live.resize(mTerms.mFanout);
  }
  const bool alone = live.empty();
  std::vector<model::endpoint> targets;
  targets.reserve(live.size());
  for (const fleet_member& member : live) {
    targets.push_back(member.mPeer);
  }
  if (!mSeeds.empty()) {
    // All seeds while nobody is known, one otherwise: two halves of a fleet
    // that lost each other meet again there.
    if (alone) {
      targets = mSeeds;
    } else if (mSelf.mBeat % 4 == 0) {
      targets.push_back(mSeeds[mRandom() % mSeeds.size()]);
    }
  }
  if (mSelf.mBeat % 4 == 2 && !mKnown.empty()) {
    auto place = mKnown.begin();
    std::advance(place, static_cast<std::ptrdiff_t>(mRandom() % mKnown.size()));
    targets.push_back(place->second.mMember.mPeer);
  }
  return targets;
}

fleet_view::known_member
fleet_view::Known(const fleet_member& aMember, model::instant aNow)
{
  const std::uint64_t hash = cluster::RendezvousWeight(
    cluster::HashOf(aMember.mName), aMember.mIncarnation);
  return { aMember, aNow, static_cast<std::uint32_t>(hash) };
}

void
fleet_view::OnMessage(const fleet_message& aMessage, model::instant aNow)
{
  for (const fleet_member& member : aMessage.mMembers) {
    if (member.mName == mSelf.mName) {
      continue;
    }
    const auto place = mKnown.find(member.mName);
    if (place == mKnown.end() || member.NewerThan(place->second.mMember)) {
      mKnown.insert_or_assign(member.mName, Known(member, aNow));
    }
  }
  std::unordered_map<std::uint32_t, std::uint64_t> beats;
  for (const fleet_beat& beat : aMessage.mBeats) {
    beats.emplace(beat.mMember, beat.mBeat);
  }
  for (auto& [name, known] : mKnown) {
    const auto beat = beats.find(known.mHash);
    if (beat != beats.end() && beat->second > known.mMember.mBeat) {
      known.mMember.mBeat = beat->second;
      known.mHeard = aNow;
    }
  }
}

fleet_message
fleet_view::Told(model::instant aNow)
{
  std::vector<const known_member*> others;
  others.reserve(mKnown.size());
  for (const auto& [name, known] : mKnown) {
    others.push_back(&known);
  }
  // Any of them, not the freshest: all instances would tell the same ones.
  std::shuffle(others.begin(), others.end(), mRandom);
  fleet_message message;
  message.mMembers.push_back(mSelf);
  for (const known_member* other : others) {
    if (message.mMembers.size() < mTerms.mMembersPerMessage) {
      message.mMembers.push_back(other->mMember);
    } else if (message.mBeats.size() < mTerms.mBeatsPerMessage &&
               aNow - other->mHeard <= mTerms.mSilentAfter) {
      message.mBeats.push_back({ other->mHash, other->mMember.mBeat });
    }
  }
  return message;
}

void
fleet_view::SetConfigVersion(std::uint64_t aVersion)
{
  mSelf.mConfigVersion = std::max(mSelf.mConfigVersion, aVersion);
  ++mSelf.mBeat; // News, to replace what was told before.
}

std::vector<fleet_member>
fleet_view::HeardWithin(model::duration aTime, model::instant aNow) const
{
  std::vector<fleet_member> heard;
  ForHeard(aTime, aNow, [&](const fleet_member& aMember) {
    heard.push_back(aMember);
  });
  return heard;
}

std::vector<fleet_member>
fleet_view::Live(model::instant aNow) const
{
  return HeardWithin(mTerms.mSilentAfter, aNow);
}

std::vector<fleet_member>
fleet_view::Counted(model::instant aNow) const
{
  return HeardWithin(mTerms.mCountedFor, aNow);
}

fleet_size
fleet_view::CountedInstances(model::instant aNow) const
{
  fleet_size size;
  ForHeard(mTerms.mCountedFor, aNow, [&](const fleet_member& aMember) {
    ++size.mAll;
    size.mOwnDataCentre += aMember.mDataCentre == mSelf.mDataCentre ? 1 : 0;
  });
  return size;
}

std::size_t
fleet_view::Rank(const std::string& aSalt,
                 bool aOwnDataCentre,
                 model::instant aNow) const
{
  const std::uint64_t salt = cluster::HashOf(aSalt);
  const auto weight = [salt](const fleet_member& aMember) {
    return cluster::RendezvousWeight(salt, cluster::HashOf(aMember.mName));
  };
  const std::uint64_t own = weight(mSelf);
  std::size_t rank = 0;
  ForHeard(mTerms.mSilentAfter, aNow, [&](const fleet_member& aMember) {
    const bool counts =
      aMember.mReachesStore && !aMember.mLeaving &&
      (!aOwnDataCentre || aMember.mDataCentre == mSelf.mDataCentre);
    rank += counts && weight(aMember) > own ? 1 : 0;
  });
  return rank;
}

std::optional<fleet_member>
fleet_view::NewerConfig(model::instant aNow) const
{
  const fleet_member* best = nullptr;
  const auto better = [&](const fleet_member& aMember) {
    if (best == nullptr || aMember.mConfigVersion != best->mConfigVersion) {
      return best == nullptr || aMember.mConfigVersion > best->mConfigVersion;
    }
    const auto near = [&](const fleet_member& aOther) {
      return aOther.mDataCentre == mSelf.mDataCentre;
    };
    if (near(aMember) != near(*best)) {
      return near(aMember);
    }
    // Not the same one for all, nor for the next try.
    const std::uint64_t salt = cluster::HashOf(mSelf.mName) + mSelf.mBeat;
    const auto weight = [salt](const fleet_member& aOther) {
      return cluster::RendezvousWeight(salt, cluster::HashOf(aOther.mName));
    };
    return weight(aMember) > weight(*best);
  };
  ForHeard(mTerms.mSilentAfter, aNow, [&](const fleet_member& aMember) {
    if (aMember.mConfigVersion > mSelf.mConfigVersion && better(aMember)) {
      best = &aMember;
    }
  });
  return best == nullptr ? std::nullopt : std::optional(*best);
}

} // namespace monsooncroft::serving
