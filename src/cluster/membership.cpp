/**
 * @file membership.cpp
 * Probing of members: pings, indirect pings and suspicion.
 */
#include "cluster/membership_base.h"

#include "cluster/message_codec_func.h"

#include <algorithm>
#include <bit>

namespace monsooncroft::cluster {

namespace {

/**
 * One of this many probes goes to a dead member, so that both sides of a healed
 * partition find each other.
 */
constexpr std::uint64_t kDeadProbeInterval = 8;
constexpr std::chrono::seconds kRelayedProbeLifetime{ 2 };

} // namespace

membership::packets
membership::OnTick(model::instant aNow)
{
  packets out;
  if (!mNextProbe) {
    mNextProbe = aNow;
  }
  if (mProbe && !mProbe->mIndirect &&
      aNow - mProbe->mStart >= mOptions.mProbeTimeout) {
    SendIndirectProbes(out);
  }
  if (aNow >= *mNextProbe) {
    EndProbe(aNow);
    StartProbe(aNow, out);
    mNextProbe = std::max(*mNextProbe + mOptions.mProbePeriod, aNow);
  }
  ExpireSuspicions(aNow);
  ExpireTombstones(aNow);
  std::erase_if(mRelayedProbes, [&](const auto& aEntry) {
    return aNow - aEntry.second.mStart > kRelayedProbeLifetime;
  });
  return out;
}

void
membership::EndProbe(model::instant aNow)
{
  if (!mProbe) {
    return;
  }
  const auto target = mProbe->mTarget;
  mProbe.reset();
  Suspect(target, aNow);
}

void
membership::StartProbe(model::instant aNow, packets& aOut)
{
  ++mProbeCount;
  auto target = NextProbeTarget();
  if (!target || mProbeCount % kDeadProbeInterval == 0) {
    const auto dead = RandomDeadMember();
    target = dead ? dead : target;
  }
  if (!target) {
    return;
  }
  mProbe = probe{ ++mSequence, *target, aNow };
  auto ping = MakeMessage(message_type::Ping, mSequence);
  ping.mTarget = target->mId;
  ping.mTargetPeer = target->mPeer;
  if (target->mState != member_state::Alive) {
    // The target can refute the claim about itself only after it receives it.
    ping.mItems.push_back(EncodeItem(*target));
  }
  aOut.push_back({ target->mPeer, target->mId, std::move(ping) });
}

void
membership::SendIndirectProbes(packets& aOut)
{
  mProbe->mIndirect = true;
  auto helpers =
    PickLocalPeers(static_cast<std::size_t>(mOptions.mIndirectProbes) + 1);
  std::erase_if(helpers, [&](const member& aHelper) {
    return aHelper.mId == mProbe->mTarget.mId;
  });
  const auto wanted = static_cast<std::size_t>(mOptions.mIndirectProbes);
  if (helpers.size() < wanted) {
    if (const auto remote = PickRemotePeer()) {
      helpers.push_back(*remote);
    }
  }
  helpers.resize(std::min(helpers.size(), wanted));
  for (const auto& helper : helpers) {
    auto request = MakeMessage(message_type::PingRequest, mProbe->mSequence);
    request.mTarget = mProbe->mTarget.mId;
    request.mTargetPeer = mProbe->mTarget.mPeer;
    aOut.push_back({ helper.mPeer, helper.mId, std::move(request) });
  }
}

std::optional<member>
membership::NextProbeTarget()
{
  const auto localMembers = mTable.View()->MembersIn(mSelf.mDataCentre);
  for (int round = 0; round < 2; ++round) {
    while (!mProbeRound.empty()) {
      const auto id = mProbeRound.back();
      mProbeRound.pop_back();
      const auto* known = mTable.Find(id);
      if (known != nullptr && known->mState != member_state::Dead) {
        return *known;
      }
    }
    for (const auto& candidate : *localMembers) {
      if (candidate.mId != mSelf.mId) {
        mProbeRound.push_back(candidate.mId);
      }
    }
    std::shuffle(mProbeRound.begin(), mProbeRound.end(), mRandom);
  }
  return std::nullopt;
}

std::optional<member>
membership::RandomDeadMember()
{
  std::vector<member> dead;
  for (const auto& [id, since] : mDeadSince) {
    const auto* known = mTable.Find(id);
    if (known != nullptr && known->mDataCentre == mSelf.mDataCentre) {
      dead.push_back(*known);
    }
  }
  if (dead.empty()) {
    return std::nullopt;
  }
  return dead[mRandom() % dead.size()];
}

void
membership::Suspect(const member& aTarget, model::instant aNow)
{
  const auto* known = mTable.Find(aTarget.mId);
  if (known == nullptr || known->mIncarnation != aTarget.mIncarnation) {
    return;
  }
  if (known->mState == member_state::Alive) {
    Declare(*known, member_state::Suspect, aNow);
  } else if (known->mState == member_state::Leaving) {
    Declare(*known, member_state::Dead, aNow);
  }
}

model::duration
membership::SuspicionTime() const
{
  const auto countBits = std::bit_width(LocalMemberCount());
  return mOptions.mProbePeriod *
         (mOptions.mSuspicionPeriods + static_cast<int>(countBits));
}

void
membership::ExpireSuspicions(model::instant aNow)
{
  std::vector<member> expired;
  for (const auto& [id, since] : mSuspectSince) {
    if (aNow - since >= SuspicionTime()) {
      expired.push_back(*mTable.Find(id));
    }
  }
  for (const auto& suspect : expired) {
    Declare(suspect, member_state::Dead, aNow);
  }
}

void
membership::ExpireTombstones(model::instant aNow)
{
  std::vector<model::instance_id> expired;
  for (const auto& [id, since] : mDeadSince) {
    if (aNow - since >= mOptions.mTombstoneLifetime &&
        mListedIds.count(id) == 0) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    mIdByPeer.erase(mTable.Find(id)->mPeer);
    mDeadSince.erase(id);
    mTable.Erase(id);
  }
}

void
membership::OnPing(const message& aMessage,
                   const model::endpoint& aFrom,
                   packets& aOut)
{
  // A ping for a previous instance at this address is answered too: the ack
  // carries this instance's own claim, which shows that the previous instance
  // was replaced.
  auto ack = MakeMessage(message_type::Ack, aMessage.mSequence);
  aOut.push_back({ aFrom, aMessage.mSender.mId, std::move(ack) });
}

void
membership::OnAck(const message& aMessage,
                  const model::endpoint& aFrom,
                  packets& aOut)
{
  const auto relayed = mRelayedProbes.find(aMessage.mSequence);
  if (relayed != mRelayedProbes.end()) {
    if (relayed->second.mTarget == aMessage.mSender.mId) {
      auto ack = MakeMessage(message_type::Ack, relayed->second.mSequence);
      aOut.push_back({ relayed->second.mRequester, {}, std::move(ack) });
    }
    mRelayedProbes.erase(relayed);
    return;
  }
  if (!mProbe || mProbe->mSequence != aMessage.mSequence) {
    return;
  }
  const bool fromTarget = aMessage.mSender.mId == mProbe->mTarget.mId;
  const bool fromHelper = mProbe->mIndirect && aFrom != mProbe->mTarget.mPeer;
  if (fromTarget || fromHelper) {
    mProbe.reset();
  }
}

void
membership::OnPingRequest(const message& aMessage,
                          const model::endpoint& aFrom,
                          model::instant aNow,
                          packets& aOut)
{
  const auto sequence = ++mSequence;
  mRelayedProbes[sequence] = {
    aMessage.mSequence, aFrom, aMessage.mTarget, aNow
  };
  auto ping = MakeMessage(message_type::Ping, sequence);
  ping.mTarget = aMessage.mTarget;
  ping.mTargetPeer = aMessage.mTargetPeer;
  aOut.push_back({ aMessage.mTargetPeer, aMessage.mTarget, std::move(ping) });
}

membership::packets
membership::OnMessage(const message& aMessage,
                      const model::endpoint& aFrom,
                      model::instant aNow)
{
  packets out;
  mLastContact[aMessage.mSender.mDataCentre] = aNow;
  Merge(aMessage.mSender, aNow);
  if (aMessage.mType != message_type::Gossip) {
    // Gossip is never answered with a notice; otherwise two instances that
    // suspect each other would exchange notices without end.
    NotifySuspectedSender(aMessage.mSender, out);
  }
  switch (aMessage.mType) {
    case message_type::Ping:
      OnPing(aMessage, aFrom, out);
      break;
    case message_type::Ack:
      OnAck(aMessage, aFrom, out);
      break;
    case message_type::PingRequest:
      OnPingRequest(aMessage, aFrom, aNow, out);
      break;
    default:
      break;
  }
  return out;
}

void
membership::NotifySuspectedSender(const member& aSender, packets& aOut) const
{
  const auto* known = mTable.Find(aSender.mId);
  const bool suspected = known != nullptr && *known != aSender &&
                         Supersedes(*known, aSender) &&
                         known->mState != member_state::Leaving;
  if (!suspected) {
    return;
  }
  auto notice = MakeMessage(message_type::Gossip, 0);
  notice.mItems.push_back(EncodeItem(*known));
  aOut.push_back({ aSender.mPeer, aSender.mId, std::move(notice) });
}

message
membership::MakeMessage(message_type aType, std::uint32_t aSequence) const
{
  message result;
  result.mType = aType;
  result.mSequence = aSequence;
  result.mSender = mSelf;
  return result;
}

} // namespace monsooncroft::cluster
