/**
 * @file message_codec.cpp
 * Encodes messages as arrays of fields with nlohmann's CBOR.
 */
#include "cluster/message_codec_func.h"

#include "cluster/cluster_core_type.h"

#include <nlohmann/json.hpp>

namespace monsooncroft::cluster {

using nlohmann::json;

namespace {

/**
 * Longest datagram that is decoded. The library's CBOR reader recurses for each
 * nesting level, and a datagram may consist of nothing but nesting.
 */
constexpr std::size_t kMaxDecodedBytes = 2 * kMaxDatagramBytes;

enum class item_tag : std::uint8_t
{
  Member,
  GossipUpdate,
};

json
Fields(const member& aMember)
{
  return json::array({ aMember.mId.Value(),
                       aMember.mDataCentre.Value(),
                       aMember.mPeer.mAddress,
                       aMember.mPeer.mPort,
                       aMember.mIncarnation,
                       static_cast<int>(aMember.mState) });
}

member
MemberFrom(const json& aJson)
{
  member claim;
  claim.mId = model::instance_id(aJson.at(0).get<std::string>());
  claim.mDataCentre = model::data_centre_id(aJson.at(1).get<std::string>());
  claim.mPeer.mAddress = aJson.at(2).get<std::string>();
  claim.mPeer.mPort = aJson.at(3).get<std::uint16_t>();
  claim.mIncarnation = aJson.at(4).get<incarnation>();
  const auto state = aJson.at(5).get<unsigned>();
  if (state >= static_cast<unsigned>(member_state::End)) {
    throw std::out_of_range("state");
  }
  claim.mState = static_cast<member_state>(state);
  return claim;
}

json
Fields(const gossip_update& aUpdate)
{
  return json::array({ static_cast<int>(aUpdate.mKey.mKind),
                       aUpdate.mKey.mName,
                       aUpdate.mVersion,
                       aUpdate.mPayload,
                       aUpdate.mExpires.time_since_epoch().count() });
}

gossip_update
GossipUpdateFrom(const json& aJson)
{
  gossip_update entry;
  const auto kind = aJson.at(0).get<unsigned>();
  if (kind >= static_cast<unsigned>(gossip_kind::End)) {
    throw std::out_of_range("kind");
  }
  entry.mKey.mKind = static_cast<gossip_kind>(kind);
  entry.mKey.mName = aJson.at(1).get<std::string>();
  entry.mVersion = aJson.at(2).get<std::uint64_t>();
  entry.mPayload = aJson.at(3).get<std::string>();
  entry.mExpires = model::wall_instant(
    std::chrono::milliseconds(aJson.at(4).get<std::int64_t>()));
  return entry;
}

std::string
ToBytes(const json& aJson)
{
  const auto bytes = json::to_cbor(aJson);
  return { bytes.begin(), bytes.end() };
}

json
BinaryOf(const std::string& aBytes)
{
  return json::binary({ aBytes.begin(), aBytes.end() });
}

std::string
StringOf(const json& aBinary)
{
  const auto& bytes = aBinary.get_binary();
  return { bytes.begin(), bytes.end() };
}

message
MessageFrom(const json& aJson)
{
  message decoded;
  const auto type = aJson.at(0).get<unsigned>();
  if (type >= static_cast<unsigned>(message_type::End)) {
    throw std::out_of_range("type");
  }
  decoded.mType = static_cast<message_type>(type);
  decoded.mSequence = aJson.at(1).get<std::uint32_t>();
  decoded.mSender = MemberFrom(aJson.at(2));
  for (const auto& item : aJson.at(3)) {
    decoded.mItems.push_back(StringOf(item));
  }
  if (decoded.mType == message_type::Ping ||
      decoded.mType == message_type::PingRequest) {
    decoded.mTarget = model::instance_id(aJson.at(4).get<std::string>());
    decoded.mTargetPeer.mAddress = aJson.at(5).get<std::string>();
    decoded.mTargetPeer.mPort = aJson.at(6).get<std::uint16_t>();
  }
  if (decoded.mType == message_type::Digest) {
    decoded.mDigest.mMembers =
      aJson.at(4).get<decltype(digest_summary::mMembers)>();
    decoded.mDigest.mGossipDigest = aJson.at(5).get<std::uint64_t>();
  }
  return decoded;
}

} // namespace

json
ToJson(const gossip_item& aItem)
{
  if (const auto* claim = std::get_if<member>(&aItem)) {
    return json::array({ static_cast<int>(item_tag::Member), Fields(*claim) });
  }
  return json::array({ static_cast<int>(item_tag::GossipUpdate),
                       Fields(std::get<gossip_update>(aItem)) });
}

std::optional<gossip_item>
FromJson(const json& aJson)
{
  try {
    const auto tag = aJson.at(0).get<int>();
    if (tag == static_cast<int>(item_tag::Member)) {
      return MemberFrom(aJson.at(1));
    }
    if (tag == static_cast<int>(item_tag::GossipUpdate)) {
      return GossipUpdateFrom(aJson.at(1));
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

std::string
EncodeItem(const gossip_item& aItem)
{
  return ToBytes(ToJson(aItem));
}

std::optional<gossip_item>
DecodeItem(const std::string& aBytes)
{
  try {
    return FromJson(json::from_cbor(aBytes, true, false));
  } catch (const json::exception&) {
    // The library throws for a declared size beyond the addressable memory,
    // although exceptions are switched off.
    return std::nullopt;
  }
}

std::string
EncodeMessage(const message& aMessage)
{
  auto items = json::array();
  for (const auto& item : aMessage.mItems) {
    items.push_back(BinaryOf(item));
  }
  auto encoded = json::array({ static_cast<int>(aMessage.mType),
                               aMessage.mSequence,
                               Fields(aMessage.mSender),
                               std::move(items) });
  if (aMessage.mType == message_type::Ping ||
      aMessage.mType == message_type::PingRequest) {
    encoded.push_back(aMessage.mTarget.Value());
    encoded.push_back(aMessage.mTargetPeer.mAddress);
    encoded.push_back(aMessage.mTargetPeer.mPort);
  }
  if (aMessage.mType == message_type::Digest) {
    encoded.push_back(aMessage.mDigest.mMembers);
    encoded.push_back(aMessage.mDigest.mGossipDigest);
  }
  return ToBytes(encoded);
}

std::optional<message>
DecodeMessage(const std::string& aBytes)
{
  if (aBytes.size() > kMaxDecodedBytes) {
    return std::nullopt;
  }
  try {
    return MessageFrom(json::from_cbor(aBytes, true, false));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<std::string>
ParsePulledText(const std::string& aResult)
{
  const auto result = nlohmann::json::parse(aResult, nullptr, false);
  if (!result.is_object()) {
    return std::nullopt;
  }
  const auto found = result.find("found");
  const auto text = result.find("text");
  const bool whole = found != result.end() && *found == true &&
                     text != result.end() && text->is_string();
  return whole ? std::optional(text->get<std::string>()) : std::nullopt;
}

} // namespace monsooncroft::cluster
