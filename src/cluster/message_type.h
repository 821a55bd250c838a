/**
 * @file message_type.h
 * Datagrams between instances.
 */
#ifndef MONSOONCROFT_CLUSTER_MESSAGE_TYPE_H
#define MONSOONCROFT_CLUSTER_MESSAGE_TYPE_H

#include "cluster/member_type.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsooncroft::cluster {

/** Type of a datagram. */
enum class message_type : std::uint8_t
{
  Ping,        ///< Asks the target for an ack.
  Ack,         ///< Answers a ping, or a ping request after the target's ack.
  PingRequest, ///< Asks the receiver to ping the target for the sender.
  Gossip,      ///< Carries only items.
  Digest,      ///< Carries the digests of the sender's tables.
  End,         ///< One past the last type.
};

/** Digests of an instance's member table and gossip table. */
struct digest_summary
{
  /**
   * Hash of a data centre's name and digest of its members, for each data
   * centre.
   */
  std::vector<std::pair<std::uint32_t, std::uint64_t>> mMembers;
  std::uint64_t mGossipDigest = 0;

  bool operator==(const digest_summary&) const = default;
};

/** Contents of a datagram. */
struct message
{
  message_type mType = message_type::Gossip;
  std::uint32_t mSequence = 0; ///< Matches an ack to its ping.
  member mSender;              ///< The sender, as its own claim about itself.
  model::instance_id mTarget;  ///< Member to be probed; ping and ping request
                               ///< only.
  model::endpoint mTargetPeer; ///< Address of the target; ping and ping request
                               ///< only.
  digest_summary mDigest;      ///< Digests of the sender; digest only.
  std::vector<std::string> mItems; ///< Encoded members and gossip updates.

  bool operator==(const message&) const = default;
};

/** A message with its destination. */
struct packet
{
  model::endpoint mTo;
  model::instance_id mToId; ///< Id of the destination; empty if unknown.
  message mMessage;
};

} // namespace monsooncroft::cluster

#endif
