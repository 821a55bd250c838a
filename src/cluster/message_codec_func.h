/**
 * @file message_codec_func.h
 * Encoding of datagrams and gossip items as CBOR.
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
ToJson(const gossip_item& aItem); ///< Encodes an item as an array of its
                                  ///< fields.
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
 * Returns the text in a peer's reply to a pull_chunk call.
 * @param aResult The peer's result as JSON, which is not trusted.
 * @return Nothing if the peer does not have the text or the reply is malformed.
 */
std::optional<std::string>
ParsePulledText(const std::string& aResult);

} // namespace monsooncroft::cluster

#endif
