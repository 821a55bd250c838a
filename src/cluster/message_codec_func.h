/**
 * @file message_codec_func.h
 * Datagrams and their items as CBOR.
 */
#ifndef MONSOONCROFT_CLUSTER_MESSAGE_CODEC_FUNC_H
#define MONSOONCROFT_CLUSTER_MESSAGE_CODEC_FUNC_H

#include "cluster/gossip_update_type.h"
#include "cluster/message_type.h"

#include <nlohmann/json_fwd.hpp>
#include <variant>

namespace monsooncroft::cluster {

using gossip_item = std::variant<member, gossip_update>;

nlohmann::json
ToJson(const gossip_item& aItem); ///< As a compact array.
std::optional<gossip_item>
FromJson(const nlohmann::json& aJson); ///< Nothing if malformed.

std::string
EncodeItem(const gossip_item& aItem);
std::optional<gossip_item>
DecodeItem(const std::string& aBytes);

std::string
EncodeMessage(const message& aMessage);
std::optional<message>
DecodeMessage(const std::string& aBytes); ///< Nothing if malformed.

/**
 * The text in a reply to a pull of a chunk.
 * @param aResult JSON of a peer, not trusted.
 * @return Nothing if the peer has none or the reply is malformed.
 */
std::optional<std::string>
ParsePulledText(const std::string& aResult);

} // namespace monsooncroft::cluster

#endif
