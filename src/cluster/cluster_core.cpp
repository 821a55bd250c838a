/**
 * @file cluster_core.cpp
 * Events of the cluster and the periodic duties.
 */
#include "cluster/cluster_core_base.h"

#include "cluster/message_codec_func.h"
#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <bit>
#include <type_traits>

namespace monsooncroft::cluster {

namespace {

/** An instance that hears nobody for so long counts as lonely. */
constexpr std::chrono::seconds kLonelyAfter{ 5 };
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
  , mRumours(aOptions.mRumourLimit)
  , mManifests(aFormat, aOptions, mRandom())
{
}

cluster_effects
cluster_core::OnTick(const moment& aNow)
{
  cluster_effects out;
  const auto gap = mLastTick ? aNow.mNow - *mLastTick : model::duration(0);
  mLastTick = aNow.mNow;
  if (gap > mOptions.mPauseGap) {
    mMembership.OnPause(gap, aNow.mNow);
    out.emplace_back(woke_from_pause{ gap });
  }
  SendAll(mMembership.OnTick(aNow.mNow), out);
  mRumours.Expire(aNow.mWall);
  ExpireCalls(aNow, out);
  Join(aNow, out);
  if (IsDue(mNextDigest, aNow.mNow, mOptions.mAntiEntropyPeriod)) {
    SendDigests(out);
  }
  Carry(mManifests.OnTick(Context(aNow), aNow.mNow), aNow, out);
  Collect(out);
  if (IsDue(mNextGossip, aNow.mNow, mOptions.mGossipPeriod)) {
    Gossip(out);
  }
  return out;
}

cluster_effects
cluster_core::OnDatagram(const std::string& aBytes,
                         const model::endpoint& aFrom,
                         const moment& aNow)
{
  cluster_effects out;
  const auto decoded = DecodeMessage(aBytes);
  if (!decoded || decoded->mSender.mId == mMembership.Self().mId) {
    return out;
  }
  const auto replies = mMembership.OnMessage(*decoded, aFrom, aNow.mNow);
  TakeItems(*decoded, aNow, out);
  SendAll(replies, out);
  if (decoded->mType == message_type::Digest) {
    CompareDigest(*decoded, aNow, out);
  }
  Collect(out);
  return out;
}

cluster_effects
cluster_core::OnInstanceList(const std::vector<listed_instance>& aList,
                             const moment& aNow)
{
  cluster_effects out;
  mMembership.OnInstanceList(aList, aNow.mNow);
  Join(aNow, out);
  Collect(out);
  return out;
}

cluster_effects
cluster_core::OnHead(const head_answer& aAnswer,
                     bool aWatch,
                     const moment& aNow)
{
  cluster_effects out;
  Carry(mManifests.OnHead(aAnswer, aWatch, aNow.mNow), aNow, out);
  return out;
}

cluster_effects
cluster_core::OnText(const std::string& aHash,
                     const std::optional<std::string>& aText,
                     const moment& aNow)
{
  cluster_effects out;
  Carry(mManifests.OnText(aHash, std::nullopt, aText, aNow.mNow), aNow, out);
  return out;
}

cluster_effects
cluster_core::OnAdopted(model::manifest_version aVersion,
                        bool aValid,
                        const moment& aNow)
{
  cluster_effects out;
  Carry(mManifests.OnAdopted(aVersion, aValid), aNow, out);
  if (aValid) {
    Announce(aNow, out);
  }
  return out;
}

/** The head is told only once all its texts can be pulled from here. */
void
cluster_core::Announce(const moment& aNow, cluster_effects& aOut)
{
  constexpr std::chrono::hours kForever{ 24 * 365 };
  rumour head;
  head.mKey = { rumour_kind::ManifestHead, "" };
  head.mVersion = mManifests.Version();
  head.mPayload = mManifests.HeadHash();
  // The same on every instance that tells it, or digests would differ.
  head.mExpires = model::wall_instant(
    std::chrono::duration_cast<std::chrono::milliseconds>(kForever) * 1'000);
  if (mRumours.Merge(head, aNow.mWall)) {
    mQueue.Push("r", EncodeItem(head));
    Gossip(aOut);
  }
}

cluster_effects
cluster_core::Leave(const moment& aNow)
{
  cluster_effects out;
  mMembership.Leave(aNow.mNow);
  Collect(out);
  Gossip(out);
  return out;
}

cluster_effects
cluster_core::Put(const rumour& aRumour, const moment& aNow)
{
  cluster_effects out;
  Learn(aRumour, {}, aNow, out);
  Gossip(out);
  return out;
}

void
cluster_core::Learn(const rumour& aRumour,
                    const model::endpoint& aFrom,
                    const moment& aNow,
                    cluster_effects& aOut)
{
  if (aRumour.mKey.mKind == rumour_kind::ManifestHead) {
    Carry(mManifests.OnPeerHead(
            aRumour.mVersion, aRumour.mPayload, aFrom, aNow.mNow),
          aNow,
          aOut);
    return;
  }
  if (!mRumours.Merge(aRumour, aNow.mWall)) {
    return;
  }
  const auto kind = std::to_string(static_cast<int>(aRumour.mKey.mKind));
  mQueue.Push("r" + kind + aRumour.mKey.mName, EncodeItem(aRumour));
  aOut.emplace_back(rumour_learned{ aRumour });
}

void
cluster_core::TakeItems(const message& aMessage,
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
      Learn(std::get<rumour>(*item), aMessage.mSender.mPeer, aNow, aOut);
    }
  }
}

void
cluster_core::Carry(const manifest_spread::effects& aEffects,
                    const moment& aNow,
                    cluster_effects& aOut)
{
  for (const auto& effect : aEffects) {
    const auto* pull = std::get_if<pull_text>(&effect);
    if (pull != nullptr && pull->mPeer) {
      CallPull(*pull, aNow, aOut);
      continue;
    }
    std::visit([&](const auto& aEffect) { aOut.emplace_back(aEffect); },
               effect);
  }
}

void
cluster_core::Collect(cluster_effects& aOut)
{
  for (const auto& claim : mMembership.TakeChanges()) {
    mQueue.Push("m" + claim.mId.Value(), EncodeItem(claim));
  }
  const auto view = View();
  if (view->Epoch() != mEpoch) {
    mEpoch = view->Epoch();
    aOut.emplace_back(members_changed{ view });
  }
}

void
cluster_core::DropChanges()
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
  const auto left = kMaxDatagramBytes - std::min(kMaxDatagramBytes, size);
  auto items = mQueue.Take(left, RetransmitLimit());
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
         static_cast<int>(std::bit_width(mMembership.CountHere()));
}

bool
cluster_core::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

void
cluster_core::Gossip(cluster_effects& aOut)
{
  if (mQueue.Empty()) {
    return;
  }
  message news;
  news.mSender = mMembership.Self();
  const auto fanout = static_cast<std::size_t>(mOptions.mGossipFanout);
  for (const auto& peer : mMembership.Pick(fanout)) {
    Send({ peer.mPeer, peer.mId, news }, aOut);
  }
  const auto here = static_cast<double>(mMembership.CountHere());
  const auto elsewhere = mMembership.PickElsewhere();
  if (elsewhere && Chance(mOptions.mBridgesPerPeriod / here)) {
    Send({ elsewhere->mPeer, elsewhere->mId, news }, aOut);
  }
}

spread_context
cluster_core::Context(const moment& aNow)
{
  spread_context context;
  const auto& self = mMembership.Self();
  const auto listeners =
    Listeners(self.mDataCentre, *View()->Of(self.mDataCentre));
  const auto heard = mMembership.LastHeard();
  const bool silent = !heard || aNow.mNow - *heard > kLonelyAfter;
  const bool others = mMembership.Table().All().size() > 1;
  context.mLonely = silent && others;
  // Instances that all lost each other must not all act as listeners.
  const bool chosen =
    std::find(listeners.begin(), listeners.end(), self.mId) != listeners.end();
  context.mListener = chosen && !context.mLonely;
  context.mAsked = mAsked;
  for (const auto& peer : mMembership.Pick(kPeersForPulls)) {
    context.mPeers.push_back(peer.mPeer);
  }
  if (const auto peer = mMembership.PickElsewhere()) {
    context.mPeers.push_back(peer->mPeer);
  }
  return context;
}

} // namespace monsooncroft::cluster
