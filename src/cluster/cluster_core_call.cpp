/**
 * @file cluster_core_call.cpp
 * Anti-entropy and the calls to and from peers.
 */
#include "cluster/cluster_core_base.h"

#include "cluster/message_codec_func.h"
#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace monsooncroft::cluster {

using nlohmann::json;

namespace {

/** Most data centres compared in one anti-entropy call. */
constexpr std::size_t kMaxDataCentresPerCall = 4;
/**
 * Shortest time between the start of an anti-entropy call and of the next one
 * that a digest causes.
 */
constexpr std::chrono::milliseconds kMinAntiEntropyGap{ 500 };
/**
 * Number of peers that are asked for all their entries when this instance
 * starts.
 */
constexpr std::size_t kJoinPeers = 3;
/** A reply with more member changes than this is not gossiped on. */
constexpr std::size_t kMaxGossipedChanges = 16;

/** Deepest nesting in the parameters of a call. */
constexpr int kParamsDepth = 8;

/**
 * Parses parameters. Values nested deeper than kParamsDepth are discarded while
 * parsing and never built.
 */
json
ParseParams(const std::string& aText)
{
  return json::parse(
    aText, [](int aDepth, json::parse_event_t /*aEvent*/, json& /*aValue*/) {
      return aDepth < kParamsDepth;
    });
}

std::uint32_t
ShortHash(const model::data_centre_id& aDataCentre)
{
  return static_cast<std::uint32_t>(HashOf(aDataCentre.Value()));
}

std::string
Dump(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

bucket_digests
BucketsIn(const json& aParams, const model::data_centre_id& aDataCentre)
{
  const auto& all = aParams.at("members");
  const auto found = all.find(aDataCentre.Value());
  return found == all.end() ? bucket_digests{} : found->get<bucket_digests>();
}

} // namespace

void
cluster_core::StartPull(const pull_text& aPull,
                        const moment& aNow,
                        cluster_effects& aOut)
{
  const json params = { { "hash", aPull.mHash } };
  StartCall({ kMethodPullChunk, aPull.mHash, *aPull.mPeer, aNow.mNow },
            Dump(params),
            aOut);
}

void
cluster_core::StartCall(const pending_call& aCall,
                        const std::string& aParams,
                        cluster_effects& aOut)
{
  const auto id = ++mLastCallId;
  mPendingCalls[id] = aCall;
  aOut.emplace_back(call_peer{ id, aCall.mPeer, aCall.mMethod, aParams });
}

void
cluster_core::ExpireCalls(const moment& aNow, cluster_effects& aOut)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [id, call] : mPendingCalls) {
    if (aNow.mNow - call.mStart > mOptions.mCallTimeout) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    auto effects = OnReply(id, std::nullopt, aNow);
    std::move(effects.begin(), effects.end(), std::back_inserter(aOut));
  }
}

void
cluster_core::Join(const moment& aNow, cluster_effects& aOut)
{
  if (mPeersAsked > 0) {
    return;
  }
  auto peers = mMembership.PickLocalPeers(kJoinPeers);
  if (peers.size() < kJoinPeers) {
    if (const auto remote = mMembership.PickRemotePeer()) {
      peers.push_back(*remote);
    }
  }
  for (const auto& peer : peers) {
    ++mPeersAsked;
    RequestAntiEntropy(peer.mPeer, {}, true, aNow, aOut);
  }
}

digest_summary
cluster_core::OwnDigests() const
{
  digest_summary summary;
  for (const auto& [dataCentre, buckets] : mMembership.Table().Digests()) {
    summary.mMembers.emplace_back(ShortHash(dataCentre),
                                  CombineDigests(buckets));
  }
  summary.mGossipDigest = mGossipTable.Digest();
  return summary;
}

void
cluster_core::SendDigests(cluster_effects& aOut)
{
  message digest;
  digest.mType = message_type::Digest;
  digest.mSender = mMembership.Self();
  digest.mDigest = OwnDigests();
  for (const auto& peer : mMembership.PickLocalPeers(1)) {
    Send({ peer.mPeer, peer.mId, digest }, aOut);
  }
  const auto localCount = static_cast<double>(mMembership.LocalMemberCount());
  const auto remote = mMembership.PickRemotePeer();
  if (remote && Chance(mOptions.mRemoteDigestsPerPeriod / localCount)) {
    Send({ remote->mPeer, remote->mId, digest }, aOut);
  }
}

void
cluster_core::CompareDigest(const message& aMessage,
                            const moment& aNow,
                            cluster_effects& aOut)
{
  const bool tooSoon =
    mLastAntiEntropy && aNow.mNow - *mLastAntiEntropy < kMinAntiEntropyGap;
  if (tooSoon) {
    return;
  }
  auto theirs = aMessage.mDigest.mMembers;
  std::vector<model::data_centre_id> differing;
  for (const auto& [dataCentre, buckets] : mMembership.Table().Digests()) {
    const auto hash = ShortHash(dataCentre);
    const auto found =
      std::find_if(theirs.begin(), theirs.end(), [&](const auto& aEntry) {
        return aEntry.first == hash;
      });
    if (found == theirs.end()) {
      continue;
    }
    if (found->second != CombineDigests(buckets)) {
      differing.push_back(dataCentre);
    }
    theirs.erase(found);
  }
  // The entries left are data centres that this instance does not know.
  const bool allDataCentres = !theirs.empty();
  const bool gossipDiffers =
    aMessage.mDigest.mGossipDigest != mGossipTable.Digest();
  if (differing.empty() && !allDataCentres && !gossipDiffers) {
    return;
  }
  std::shuffle(differing.begin(), differing.end(), mRandom);
  differing.resize(std::min(differing.size(), kMaxDataCentresPerCall));
  RequestAntiEntropy(
    aMessage.mSender.mPeer, differing, allDataCentres, aNow, aOut);
}

void
cluster_core::RequestAntiEntropy(
  const model::endpoint& aPeer,
  const std::vector<model::data_centre_id>& aDataCentres,
  bool aAllDataCentres,
  const moment& aNow,
  cluster_effects& aOut)
{
  mLastAntiEntropy = aNow.mNow;
  auto members = json::object();
  for (const auto& [dataCentre, buckets] : mMembership.Table().Digests()) {
    const auto wanted =
      std::find(aDataCentres.begin(), aDataCentres.end(), dataCentre);
    if (aAllDataCentres || wanted != aDataCentres.end()) {
      members[dataCentre.Value()] = buckets;
    }
  }
  const auto buckets = mGossipTable.Buckets();
  const json params = { { "members", std::move(members) },
                        { "everything", aAllDataCentres },
                        { "rumours", buckets } };
  StartCall({ kMethodAntiEntropy, "", aPeer, aNow.mNow }, Dump(params), aOut);
}

std::string
cluster_core::HandleCall(const std::string& aMethod,
                         const std::string& aParams) const
{
  if (aMethod == kMethodAntiEntropy) {
    return AnswerAntiEntropy(aParams);
  }
  const auto params = ParseParams(aParams);
  if (aMethod == kMethodPullChunk) {
    const auto* text = mManifests.FindText(params.at("hash"));
    auto result = json{ { "found", text != nullptr } };
    if (text != nullptr) {
      result["text"] = *text;
    }
    return Dump(result);
  }
  if (aMethod == kMethodMemberSummary) {
    const model::data_centre_id dataCentre(
      params.at("data_centre").get<std::string>());
    auto members = json::array();
    for (const auto& entry : *View()->MembersIn(dataCentre)) {
      members.push_back(ToJson(entry));
    }
    return Dump({ { "members", members } });
  }
  throw std::invalid_argument("unknown method " + aMethod);
}

std::string
cluster_core::AnswerAntiEntropy(const std::string& aParams) const
{
  const auto params = ParseParams(aParams);
  const bool allDataCentres = params.at("everything");
  auto items = json::array();
  for (const auto& [dataCentre, buckets] : mMembership.Table().Digests()) {
    if (!allDataCentres && !params.at("members").contains(dataCentre.Value())) {
      continue;
    }
    const auto theirs = BucketsIn(params, dataCentre);
    for (const auto& entry :
         mMembership.Table().DifferingMembers(dataCentre, theirs)) {
      items.push_back(ToJson(entry));
    }
  }
  const bucket_digests theirGossip = params.at("rumours");
  for (const auto& entry : mGossipTable.DifferingUpdates(theirGossip)) {
    items.push_back(ToJson(entry));
  }
  return Dump({ { "items", std::move(items) } });
}

cluster_effects
cluster_core::OnReply(std::uint64_t aCallId,
                      const std::optional<std::string>& aResult,
                      const moment& aNow)
{
  cluster_effects effects;
  const auto found = mPendingCalls.find(aCallId);
  if (found == mPendingCalls.end()) {
    return effects;
  }
  const auto call = found->second;
  mPendingCalls.erase(found);
  if (call.mMethod == kMethodPullChunk) {
    const auto text = ParsePulledText(aResult.value_or(""));
    ForwardManifestEffects(
      mManifests.OnText(call.mHash, call.mPeer, text, aNow.mNow),
      aNow,
      effects);
    return effects;
  }
  const auto result = json::parse(aResult.value_or(""), nullptr, false);
  if (result.is_object() && result.contains("items")) {
    OnAntiEntropyReply(result.at("items"), call.mPeer, aNow, effects);
  }
  ForwardManifestEffects(mManifests.OnPeerAnswered(aNow.mNow), aNow, effects);
  QueueMemberChanges(effects);
  return effects;
}

void
cluster_core::OnAntiEntropyReply(const json& aItems,
                                 const model::endpoint& aPeer,
                                 const moment& aNow,
                                 cluster_effects& aOut)
{
  std::size_t changes = 0;
  for (const auto& encoded : aItems) {
    const auto item = FromJson(encoded);
    if (!item) {
      continue;
    }
    if (const auto* claim = std::get_if<member>(&*item)) {
      changes += mMembership.Merge(*claim, aNow.mNow) ? 1 : 0;
    } else {
      MergeUpdate(std::get<gossip_update>(*item), aPeer, aNow, aOut);
    }
  }
  if (changes > kMaxGossipedChanges) {
    // The peer knows these members already, and gossiping a whole table again
    // would delay new updates.
    DiscardMemberChanges();
  }
}

} // namespace monsooncroft::cluster
