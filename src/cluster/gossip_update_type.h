/**
 * @file gossip_update_type.h
 * Versioned updates that reach every instance within seconds by gossip.
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

/**
 * Most bytes of key and payload together, so that any update fits a datagram.
 */
constexpr std::size_t kMaxUpdateBytes = 700;

/** Subject of an update. */
enum class gossip_kind : std::uint8_t
{
  DrainMark,    ///< A leaf is draining; key: leaf id, payload: drain_signal.
  Quarantine,   ///< A request fingerprint that crashes leaves; opaque payload.
  ManifestHead, ///< Head in force; key: empty, version: manifest version,
                ///< payload: hash of the head.
  Load,         ///< Load summary; opaque payload.
  End,          ///< One past the last kind.
};

/** Identity of an update. */
struct gossip_key
{
  gossip_kind mKind = gossip_kind::End;
  std::string mName;

  bool operator==(const gossip_key&) const = default;
  std::strong_ordering operator<=>(const gossip_key&) const = default;
};

/** One versioned entry of the gossip table. */
struct gossip_update
{
  gossip_key mKey;
  std::uint64_t mVersion = 0; ///< The highest version wins; usually wall-clock
                              ///< ms.
  std::string mPayload;
  model::wall_instant mExpires; ///< Time at which the update is dropped.

  bool operator==(const gossip_update&) const = default;
};

/**
 * Whether an update replaces another of the same key. The order is total, so
 * that merging is commutative and idempotent.
 */
inline bool
Supersedes(const gossip_update& aNew, const gossip_update& aKnown)
{
  return std::tie(aNew.mVersion, aNew.mExpires, aNew.mPayload) >
         std::tie(aKnown.mVersion, aKnown.mExpires, aKnown.mPayload);
}

/** Signal by which an instance detected that a leaf is draining. */
enum class drain_signal : std::uint8_t
{
  None,         ///< The drain mark is removed.
  Listed,       ///< The instance list shows the leaf as leaving.
  OwnReply,     ///< A reply of the leaf says so.
  RefusedDials, ///< The leaf refuses connections.
  End,          ///< One past the last signal.
};

/** A leaf that gets no new work, and why. */
struct drain_mark
{
  model::leaf_id mLeaf;
  drain_signal mSignal = drain_signal::None;

  bool operator==(const drain_mark&) const = default;
};

/**
 * Makes the gossip update for a drain mark.
 * @param aMark The mark.
 * @param aNow Wall-clock time, which is the version: a later mark replaces an
 * earlier one.
 * @param aLifetime Time until the update expires.
 */
gossip_update
ToGossipUpdate(const drain_mark& aMark,
               model::wall_instant aNow,
               std::chrono::milliseconds aLifetime);

/**
 * Reads a drain mark from an update.
 * @return Nothing if the update is of another kind or malformed.
 */
std::optional<drain_mark>
ToDrainMark(const gossip_update& aUpdate);

} // namespace monsooncroft::cluster

#endif
