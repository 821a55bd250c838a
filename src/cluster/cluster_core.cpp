/**
 * @file cluster_core.cpp
 * Events of the cluster core, its ticks and its gossip.
 */
#include "cluster/cluster_core_base.h"

#include "cluster/message_codec_func.h"
#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <bit>
#include <type_traits>

namespace monsooncroft::cluster {

namespace {

/** An instance without contact to any peer for this time counts as isolated. */
constexpr std::chrono::seconds kIsolatedAfter{ 5 };
constexpr int kRetransmitFactor = 3;
constexpr std::size_t kPeersForPulls = 3;

bool
IsDue(std::optional<model::instant>& aNext,
      model::instant aNow,
      std::chrono::milliseconds aPeriod)
{
  if (aNext && aNow < *aNext) {
    return false;
  }
  aNext = aNow + aPeriod;
  return true;
}

} // namespace

cluster_core::cluster_core(const member& aSelf,
                           const manifest_format& aFormat,
                           const cluster_options& aOptions,
                           std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
  , mMembership(aSelf, aOptions, mRandom())
  , mGossipTable(aOptions.mGossipTableLimit)
  , mManifests(aFormat, aOptions, mRandom())
{
}

cluster_effects
cluster_core::OnTick(const moment& aNow)
{
  cluster_effects effects;
  const auto gap = mLastTick ? aNow.mNow - *mLastTick : model::duration(0);
  mLastTick = aNow.mNow;
  if (gap > mOptions.mPauseThreshold) {
    mMembership.OnPause(gap, aNow.mNow);
    effects.emplace_back(resumed_from_pause{ gap });
  }
  SendAll(mMembership.OnTick(aNow.mNow), effects);
  mGossipTable.Expire(aNow.mWall);
  ExpireCalls(aNow, effects);
  Join(aNow, effects);
  if (IsDue(mNextDigest, aNow.mNow, mOptions.mAntiEntropyPeriod)) {
    SendDigests(effects);
  }
  ForwardManifestEffects(
    mManifests.OnTick(DistributionContext(aNow), aNow.mNow), aNow, effects);
  QueueMemberChanges(effects);
  if (IsDue(mNextGossip, aNow.mNow, mOptions.mGossipPeriod)) {
    SendGossip(effects);
  }
  return effects;
}

cluster_effects
cluster_core::OnDatagram(const std::string& aBytes,
                         const model::endpoint& aFrom,
                         const moment& aNow)
{
  cluster_effects effects;
  const auto decoded = DecodeMessage(aBytes);
  if (!decoded || decoded->mSender.mId == mMembership.Self().mId) {
    return effects;
  }
  const auto replies = mMembership.OnMessage(*decoded, aFrom, aNow.mNow);
  MergeItems(*decoded, aNow, effects);
  SendAll(replies, effects);
  if (decoded->mType == message_type::Digest) {
    CompareDigest(*decoded, aNow, effects);
  }
  QueueMemberChanges(effects);
  return effects;
}

cluster_effects
cluster_core::OnInstanceList(const std::vector<listed_instance>& aList,
                             const moment& aNow)
{
  cluster_effects effects;
  mMembership.OnInstanceList(aList, aNow.mNow);
  Join(aNow, effects);
  QueueMemberChanges(effects);
  return effects;
}

cluster_effects
cluster_core::OnHead(const head_answer& aAnswer,
                     bool aWatch,
                     const moment& aNow)
{
  cluster_effects effects;
  ForwardManifestEffects(
    mManifests.OnHead(aAnswer, aWatch, aNow.mNow), aNow, effects);
  return effects;
}

cluster_effects
cluster_core::OnText(const std::string& aHash,
                     const std::optional<std::string>& aText,
                     const moment& aNow)
{
  cluster_effects effects;
  ForwardManifestEffects(
    mManifests.OnText(aHash, std::nullopt, aText, aNow.mNow), aNow, effects);
  return effects;
}

cluster_effects
cluster_core::OnAdopted(model::manifest_version aVersion,
                        bool aValid,
                        const moment& aNow)
{
  cluster_effects effects;
  ForwardManifestEffects(mManifests.OnAdopted(aVersion, aValid), aNow, effects);
  if (aValid) {
    AnnounceHead(aNow, effects);
  }
  return effects;
}

/**
 * Gossips the head in force. Called only when peers can pull all its texts from
 * this instance.
 */
void
cluster_core::AnnounceHead(const moment& aNow, cluster_effects& aOut)
{
  constexpr std::chrono::hours kForever{ 24 * 365 };
  gossip_update head;
  head.mKey = { gossip_kind::ManifestHead, "" };
  head.mVersion = mManifests.Version();
  head.mPayload = mManifests.HeadHash();
  // The same on every instance that announces this head; otherwise their
  // digests would differ.
  head.mExpires = model::wall_instant(
    std::chrono::duration_cast<std::chrono::milliseconds>(kForever) * 1'000);
  if (mGossipTable.Merge(head, aNow.mWall)) {
    mQueue.Push("r", EncodeItem(head));
    SendGossip(aOut);
  }
}

cluster_effects
cluster_core::Leave(const moment& aNow)
{
  cluster_effects effects;
  mMembership.Leave(aNow.mNow);
  QueueMemberChanges(effects);
  SendGossip(effects);
  return effects;
}

cluster_effects
cluster_core::Publish(const gossip_update& aUpdate, const moment& aNow)
{
  cluster_effects effects;
  MergeUpdate(aUpdate, {}, aNow, effects);
  SendGossip(effects);
  return effects;
}

void
cluster_core::MergeUpdate(const gossip_update& aUpdate,
                          const model::endpoint& aFrom,
                          const moment& aNow,
                          cluster_effects& aOut)
{
  if (aUpdate.mKey.mKind == gossip_kind::ManifestHead) {
    ForwardManifestEffects(
      mManifests.OnPeerHead(
        aUpdate.mVersion, aUpdate.mPayload, aFrom, aNow.mNow),
      aNow,
      aOut);
    return;
  }
  if (!mGossipTable.Merge(aUpdate, aNow.mWall)) {
    return;
  }
  const auto kind = std::to_string(static_cast<int>(aUpdate.mKey.mKind));
  mQueue.Push("r" + kind + aUpdate.mKey.mName, EncodeItem(aUpdate));
  aOut.emplace_back(gossip_learned{ aUpdate });
}

void
cluster_core::MergeItems(const message& aMessage,
                         const moment& aNow,
                         cluster_effects& aOut)
{
  for (const auto& bytes : aMessage.mItems) {
    const auto item = DecodeItem(bytes);
    if (!item) {
      continue;
    }
    if (const auto* claim = std::get_if<member>(&*item)) {
      mMembership.Merge(*claim, aNow.mNow);
    } else {
      MergeUpdate(
        std::get<gossip_update>(*item), aMessage.mSender.mPeer, aNow, aOut);
    }
  }
}

void
cluster_core::ForwardManifestEffects(
  const manifest_distribution::effects& aEffects,
  const moment& aNow,
  cluster_effects& aOut)
{
  for (const auto& effect : aEffects) {
    const auto* pull = std::get_if<pull_text>(&effect);
    if (pull != nullptr && pull->mPeer) {
      StartPull(*pull, aNow, aOut);
      continue;
    }
    std::visit([&](const auto& aEffect) { aOut.emplace_back(aEffect); },
               effect);
  }
}

void
cluster_core::QueueMemberChanges(cluster_effects& aOut)
{
  for (const auto& claim : mMembership.TakeChanges()) {
    mQueue.Push("m" + claim.mId.Value(), EncodeItem(claim));
  }
  const auto view = View();
  if (view->Epoch() != mReportedEpoch) {
    mReportedEpoch = view->Epoch();
    aOut.emplace_back(members_changed{ view });
  }
}

void
cluster_core::DiscardMemberChanges()
{
  const auto self = mMembership.Self();
  mMembership.TakeChanges();
  mQueue.Push("m" + self.mId.Value(), EncodeItem(self));
}

void
cluster_core::Send(const packet& aPacket, cluster_effects& aOut)
{
  auto message = aPacket.mMessage;
  const auto size = EncodeMessage(message).size();
  const auto budget = kMaxDatagramBytes - std::min(kMaxDatagramBytes, size);
  auto items = mQueue.Take(budget, RetransmitLimit());
  std::move(items.begin(), items.end(), std::back_inserter(message.mItems));
  aOut.emplace_back(send_datagram{ aPacket.mTo, EncodeMessage(message) });
}

void
cluster_core::SendAll(const membership::packets& aPackets,
                      cluster_effects& aOut)
{
  for (const auto& packet : aPackets) {
    Send(packet, aOut);
  }
}

int
cluster_core::RetransmitLimit() const
{
  return kRetransmitFactor *
         static_cast<int>(std::bit_width(mMembership.LocalMemberCount()));
}

bool
cluster_core::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

void
cluster_core::SendGossip(cluster_effects& aOut)
{
  if (mQueue.Empty()) {
    return;
  }
  message gossip;
  gossip.mSender = mMembership.Self();
  const auto fanout = static_cast<std::size_t>(mOptions.mGossipFanout);
  for (const auto& peer : mMembership.PickLocalPeers(fanout)) {
    Send({ peer.mPeer, peer.mId, gossip }, aOut);
  }
  const auto localCount = static_cast<double>(mMembership.LocalMemberCount());
  const auto remote = mMembership.PickRemotePeer();
  if (remote && Chance(mOptions.mRemoteGossipPerPeriod / localCount)) {
    Send({ remote->mPeer, remote->mId, gossip }, aOut);
  }
}

distribution_context
cluster_core::DistributionContext(const moment& aNow)
{
  distribution_context context;
  const auto& self = mMembership.Self();
  const auto watchers =
    HeadWatchers(self.mDataCentre, *View()->MembersIn(self.mDataCentre));
  const auto lastContact = mMembership.LastContact();
  const bool noContact =
    !lastContact || aNow.mNow - *lastContact > kIsolatedAfter;
  const bool hasOthers = mMembership.Table().All().size() > 1;
  context.mIsolated = noContact && hasOthers;
  // Isolated instances each see themselves as a head watcher; they must not all
  // watch the platform.
  const bool isWatcher =
    std::find(watchers.begin(), watchers.end(), self.mId) != watchers.end();
  context.mWatchesHead = isWatcher && !context.mIsolated;
  context.mPeersAsked = mPeersAsked;
  for (const auto& peer : mMembership.PickLocalPeers(kPeersForPulls)) {
    context.mPeers.push_back(peer.mPeer);
  }
  if (const auto peer = mMembership.PickRemotePeer()) {
    context.mPeers.push_back(peer->mPeer);
  }
  return context;
}

} // namespace monsooncroft::cluster
