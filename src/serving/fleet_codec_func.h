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

/** What an instance that asks a peer for newer data already has. */
struct snapshot_request
{
  std::uint64_t mConfigVersion = 0; ///< 0: none.
  /** The first revision: no registration is known. */
  model::store_revision mDirectoryRevision;

  bool operator==(const snapshot_request&) const = default;
};

/** Newer configuration and changes of the directory, sent over TCP to a peer
 * that lacks them. */
struct fleet_snapshot
{
  std::uint64_t mConfigVersion = 0;
  model::store_revision mConfigRevision; ///< Of its last change.
  std::string mConfigText;               ///< Unparsed, as stored; empty if the
                           ///< peer has this version or a newer one.
  directory_delta mDirectory; ///< Changes since the peer's revision.
  /** Time since the sender's registrations were last known to be complete;
   * nothing if never. */
  std::optional<std::uint32_t> mCompleteAgeMs;
};

/** @return MessagePack array; the fields are identified by position. */
std::string
EncodeMessage(const fleet_message& aMessage);
/** @return Nothing if the bytes are not a valid message. */
std::optional<fleet_message>
DecodeMessage(std::string_view aBytes);

std::string
EncodeSnapshotRequest(const snapshot_request& aRequest);
/** @return Nothing if the bytes are not a complete request. */
std::optional<snapshot_request>
DecodeSnapshotRequest(std::string_view aBytes);

std::string
EncodeSnapshot(const fleet_snapshot& aSnapshot);
/** @return Nothing if the bytes are not a complete snapshot. */
std::optional<fleet_snapshot>
DecodeSnapshot(std::string_view aBytes);

} // namespace monsooncroft::serving

#endif
