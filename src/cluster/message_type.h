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

/** What a datagram asks or says. */
enum class message_type : std::uint8_t
{
  Ping,        ///< Answer with an ack.
  Ack,         ///< Answers a ping, or a ping request once its target answered.
  PingRequest, ///< Ping the target for the sender.
  Gossip,      ///< Only carries items.
  Digest,      ///< Digests of what the sender knows.
  End,         ///< One past the last type.
};

/** Digests of a whole instance's knowledge. */
struct digest_summary
{
  /** For each data centre the hash of its name and the digest of its members.
   */
  std::vector<std::pair<std::uint32_t, std::uint64_t>> mMembers;
  std::uint64_t mGossipDigest = 0;

  bool operator==(const digest_summary&) const = default;
};

/** A datagram. */
struct message
{
  message_type mType = message_type::Gossip;
  std::uint32_t mSequence = 0;     ///< Ties an ack to its ping.
  member mSender;                  ///< Also the sender's claim about itself.
  model::instance_id mTarget;      ///< Who is meant; ping and ping request.
  model::endpoint mTargetPeer;     ///< Address of the target; ping request.
  digest_summary mDigest;          ///< Digest only.
  std::vector<std::string> mItems; ///< Encoded members and rumours.

  bool operator==(const message&) const = default;
};

/** A message and where it goes. */
struct packet
{
  model::endpoint mTo;
  model::instance_id mToId; ///< Empty if not known.
  message mMessage;
};

} // namespace monsooncroft::cluster

#endif
