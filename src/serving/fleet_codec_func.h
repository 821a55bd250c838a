/**
 * @file fleet_codec_func.h
 * Encodes and decodes the messages that instances exchange.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_CODEC_FUNC_H
#define MONSOONCROFT_SERVING_FLEET_CODEC_FUNC_H

#include "serving/fleet_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsooncroft::serving {

/** Configuration and directory, sent over TCP to a peer that lacks them. */
struct fleet_snapshot
{
  std::uint64_t mConfigVersion = 0;
  std::uint64_t mConfigRevision = 0; ///< Store revision at which it was read.
  std::string mConfigText;           ///< Unparsed, as stored.
  directory_snapshot mDirectory;
};

/** @return MessagePack array; the fields are identified by position. */
std::string
EncodeMessage(const fleet_message& aMessage);
/** @return Nothing if the bytes are not a valid message. */
std::optional<fleet_message>
DecodeMessage(std::string_view aBytes);

std::string
EncodeSnapshot(const fleet_snapshot& aSnapshot);
/** @return Nothing if the bytes are not a complete snapshot. */
std::optional<fleet_snapshot>
DecodeSnapshot(std::string_view aBytes);

} // namespace monsooncroft::serving

#endif
