/**
 * @file cluster_core_call.cpp
 * Anti-entropy and the calls between peers.
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

/** Data centres compared in one call. */
constexpr std::size_t kMaxDataCentres = 4;
/** Calls start at least so far apart. */
constexpr std::chrono::milliseconds kCallGap{ 500 };
/** Peers asked for everything at the start. */
constexpr std::size_t kJoinPeers = 3;
/** A reply with more news than this is not spread on as news. */
constexpr std::size_t kMaxSpreadOn = 16;

/** Deepest nesting of a call's parameters. */
constexpr int kParamsDepth = 8;

/** Reads parameters; what nests deeper is left out and built nowhere. */
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
cluster_core::CallPull(const pull_text& aPull,
                       const moment& aNow,
                       cluster_effects& aOut)
{
  const json params = { { "hash", aPull.mHash } };
  Call({ kMethodPullChunk, aPull.mHash, *aPull.mPeer, aNow.mNow },
       Dump(params),
       aOut);
}

void
cluster_core::Call(const call& aCall,
                   const std::string& aParams,
                   cluster_effects& aOut)
{
  const auto number = ++mNextCall;
  mCalls[number] = aCall;
  aOut.emplace_back(call_peer{ number, aCall.mPeer, aCall.mMethod, aParams });
}

void
cluster_core::ExpireCalls(const moment& aNow, cluster_effects& aOut)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [number, call] : mCalls) {
    if (aNow.mNow - call.mStart > mOptions.mCallTimeout) {
      lost.push_back(number);
    }
  }
  for (const auto number : lost) {
    auto effects = OnReply(number, std::nullopt, aNow);
    std::move(effects.begin(), effects.end(), std::back_inserter(aOut));
  }
}

void
cluster_core::Join(const moment& aNow, cluster_effects& aOut)
{
  if (mAsked > 0) {
    return;
  }
  auto peers = mMembership.Pick(kJoinPeers);
  if (peers.size() < kJoinPeers) {
    if (const auto elsewhere = mMembership.PickElsewhere()) {
      peers.push_back(*elsewhere);
    }
  }
  for (const auto& peer : peers) {
    ++mAsked;
    AntiEntropy(peer.mPeer, {}, true, aNow, aOut);
  }
}

digest_summary
cluster_core::Summary() const
{
  digest_summary summary;
  for (const auto& [dataCentre, buckets] : mMembership.Table().Digests()) {
    summary.mMembers.emplace_back(ShortHash(dataCentre), Combine(buckets));
  }
  summary.mRumours = mRumours.Digest();
  return summary;
}

void
cluster_core::SendDigests(cluster_effects& aOut)
{
  message digest;
  digest.mType = message_type::Digest;
  digest.mSender = mMembership.Self();
  digest.mDigest = Summary();
  for (const auto& peer : mMembership.Pick(1)) {
    Send({ peer.mPeer, peer.mId, digest }, aOut);
  }
  const auto here = static_cast<double>(mMembership.CountHere());
  const auto elsewhere = mMembership.PickElsewhere();
  if (elsewhere && Chance(mOptions.mBridgeDigestsPerPeriod / here)) {
    Send({ elsewhere->mPeer, elsewhere->mId, digest }, aOut);
  }
}

void
cluster_core::CompareDigest(const message& aMessage,
                            const moment& aNow,
                            cluster_effects& aOut)
{
  const bool tooSoon = mLastPull && aNow.mNow - *mLastPull < kCallGap;
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
    if (found->second != Combine(buckets)) {
      differing.push_back(dataCentre);
    }
    theirs.erase(found);
  }
  // What is left names data centres that are not known here at all.
  const bool everything = !theirs.empty();
  const bool rumours = aMessage.mDigest.mRumours != mRumours.Digest();
  if (differing.empty() && !everything && !rumours) {
    return;
  }
  std::shuffle(differing.begin(), differing.end(), mRandom);
  differing.resize(std::min(differing.size(), kMaxDataCentres));
  AntiEntropy(aMessage.mSender.mPeer, differing, everything, aNow, aOut);
}

void
cluster_core::AntiEntropy(
  const model::endpoint& aPeer,
  const std::vector<model::data_centre_id>& aDataCentres,
  bool aEverything,
  const moment& aNow,
  cluster_effects& aOut)
{
  mLastPull = aNow.mNow;
  auto members = json::object();
  for (const auto& [dataCentre, buckets] : mMembership.Table().Digests()) {
    const auto asked =
      std::find(aDataCentres.begin(), aDataCentres.end(), dataCentre);
    if (aEverything || asked != aDataCentres.end()) {
      members[dataCentre.Value()] = buckets;
    }
  }
  const auto buckets = mRumours.Buckets();
  const json params = { { "members", std::move(members) },
                        { "everything", aEverything },
                        { "rumours", buckets } };
  Call({ kMethodAntiEntropy, "", aPeer, aNow.mNow }, Dump(params), aOut);
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
    for (const auto& entry : *View()->Of(dataCentre)) {
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
  const bool everything = params.at("everything");
  auto items = json::array();
  for (const auto& [dataCentre, buckets] : mMembership.Table().Digests()) {
    if (!everything && !params.at("members").contains(dataCentre.Value())) {
      continue;
    }
    const auto theirs = BucketsIn(params, dataCentre);
    for (const auto& entry :
         mMembership.Table().Differing(dataCentre, theirs)) {
      items.push_back(ToJson(entry));
    }
  }
  const bucket_digests rumours = params.at("rumours");
  for (const auto& entry : mRumours.Differing(rumours)) {
    items.push_back(ToJson(entry));
  }
  return Dump({ { "items", std::move(items) } });
}

cluster_effects
cluster_core::OnReply(std::uint64_t aCall,
                      const std::optional<std::string>& aResult,
                      const moment& aNow)
{
  cluster_effects out;
  const auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return out;
  }
  const auto ended = found->second;
  mCalls.erase(found);
  if (ended.mMethod == kMethodPullChunk) {
    const auto text = ParsePulledText(aResult.value_or(""));
    Carry(
      mManifests.OnText(ended.mHash, ended.mPeer, text, aNow.mNow), aNow, out);
    return out;
  }
  const auto result = json::parse(aResult.value_or(""), nullptr, false);
  if (result.is_object() && result.contains("items")) {
    OnAntiEntropy(result.at("items"), ended.mPeer, aNow, out);
  }
  Carry(mManifests.OnPeerAnswered(aNow.mNow), aNow, out);
  Collect(out);
  return out;
}

void
cluster_core::OnAntiEntropy(const json& aItems,
                            const model::endpoint& aPeer,
                            const moment& aNow,
                            cluster_effects& aOut)
{
  std::size_t news = 0;
  for (const auto& encoded : aItems) {
    const auto item = FromJson(encoded);
    if (!item) {
      continue;
    }
    if (const auto* claim = std::get_if<member>(&*item)) {
      news += mMembership.Merge(*claim, aNow.mNow) ? 1 : 0;
    } else {
      Learn(std::get<rumour>(*item), aPeer, aNow, aOut);
    }
  }
  if (news > kMaxSpreadOn) {
    // Whoever told it knows it already; spreading a whole table again would
    // hold up real news.
    DropChanges();
  }
}

} // namespace monsooncroft::cluster
