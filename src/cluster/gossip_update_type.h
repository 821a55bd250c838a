/**
 * @file gossip_update_type.h
 * Versioned facts that every instance must learn within seconds.
 */
#ifndef MONSOONCROFT_CLUSTER_GOSSIP_UPDATE_TYPE_H
#define MONSOONCROFT_CLUSTER_GOSSIP_UPDATE_TYPE_H

#include "model/identifier_type.h"
#include "model/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace monsooncroft::cluster {

/** Longest key and payload together, so that any entry fits a datagram. */
constexpr std::size_t kMaxUpdateBytes = 700;

/** What an entry is about. */
enum class gossip_kind : std::uint8_t
{
  DrainMark,    ///< A leaf is draining; key: leaf, payload: signal.
  Quarantine,   ///< A request fingerprint that kills leaves; opaque payload.
  ManifestHead, ///< Key: empty, version: manifest version, payload: head hash.
  Load,         ///< A load summary; opaque payload.
  End,          ///< One past the last kind.
};

/** Identity of an entry. */
struct gossip_key
{
  gossip_kind mKind = gossip_kind::End;
  std::string mName;

  bool operator==(const gossip_key&) const = default;
  std::strong_ordering operator<=>(const gossip_key&) const = default;
};

/** One versioned entry. */
struct gossip_update
{
  gossip_key mKey;
  std::uint64_t mVersion = 0; ///< Highest wins; usually wall-clock ms.
  std::string mPayload;
  model::wall_instant mExpires; ///< Forgotten from then on.

  bool operator==(const gossip_update&) const = default;
};

/** Whether an entry replaces another of the same key: a total order, so that
 * merging is commutative and idempotent. */
inline bool
Supersedes(const gossip_update& aNew, const gossip_update& aKnown)
{
  return std::tie(aNew.mVersion, aNew.mExpires, aNew.mPayload) >
         std::tie(aKnown.mVersion, aKnown.mExpires, aKnown.mPayload);
}

/** How an instance came to know that a leaf drains. */
enum class drain_signal : std::uint8_t
{
  None,         ///< The mark is lifted.
  Listed,       ///< The instance list shows it as leaving.
  OwnReply,     ///< The leaf said so.
  RefusedDials, ///< It refuses connections.
  End,          ///< One past the last signal.
};

/** A leaf that gets no new work. */
struct drain_mark
{
  model::leaf_id mLeaf;
  drain_signal mSignal = drain_signal::None;

  bool operator==(const drain_mark&) const = default;
};

/**
 * Makes the entry for a drain mark.
 * @param aMark The mark.
 * @param aNow Wall clock; a later mark replaces an earlier one.
 * @param aLifetime How long the mark holds.
 */
gossip_update
ToGossipUpdate(const drain_mark& aMark,
               model::wall_instant aNow,
               std::chrono::milliseconds aLifetime);

/** Reads a drain mark; nothing if the entry is another or malformed. */
std::optional<drain_mark>
ToDrainMark(const gossip_update& aRumour);

} // namespace monsooncroft::cluster

#endif
