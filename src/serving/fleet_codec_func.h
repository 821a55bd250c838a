/**
 * @file fleet_codec_func.h
 * Messages between instances as bytes.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_CODEC_FUNC_H
#define MONSOONCROFT_SERVING_FLEET_CODEC_FUNC_H

#include "serving/fleet_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsooncroft::serving {

/** What one instance gives another that lacks it, over TCP. */
struct fleet_snapshot
{
  std::uint64_t mConfigVersion = 0;
  std::uint64_t mConfigRevision = 0; ///< Of the store, when it was read.
  std::string mConfigText;           ///< As the store holds it.
  directory_snapshot mDirectory;
};

/** MessagePack, positional. */
std::string
EncodeMessage(const fleet_message& aMessage);
/** @return Nothing if the bytes are no message. */
std::optional<fleet_message>
DecodeMessage(std::string_view aBytes);

std::string
EncodeSnapshot(const fleet_snapshot& aSnapshot);
/** @return Nothing if the bytes are no whole snapshot. */
std::optional<fleet_snapshot>
DecodeSnapshot(std::string_view aBytes);

} // namespace monsooncroft::serving

#endif
