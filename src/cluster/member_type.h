/**
 * @file member_type.h
 * What instances tell each other about one entry instance.
 */
#ifndef MONSOONCROFT_CLUSTER_MEMBER_TYPE_H
#define MONSOONCROFT_CLUSTER_MEMBER_TYPE_H

#include "model/endpoint_type.h"
#include "model/identifier_type.h"
#include "model/time_type.h"

#include <cstdint>

namespace monsooncroft::cluster {

/** Orders what is said about one instance; an instance raises its own. */
using incarnation = std::uint64_t;

/** State of a member; of two claims at one incarnation the later state wins. */
enum class member_state : std::uint8_t
{
  Alive,   ///< Answers.
  Suspect, ///< Missed a probe; still counted as live.
  Leaving, ///< Stops soon; owns nothing, still serves.
  Dead,    ///< Gone.
  End,     ///< One past the last state.
};

/** One instance as claimed at one incarnation. */
struct member
{
  model::instance_id mId;
  model::data_centre_id mDataCentre;
  model::endpoint mPeer;        ///< Peer address, TCP and UDP.
  incarnation mIncarnation = 0; ///< 0: only seen in the instance list.
  member_state mState = member_state::Alive;

  bool operator==(const member&) const = default;
};

/** An instance as the platform's lagging list shows it. */
struct listed_instance
{
  model::instance_id mId;
  model::data_centre_id mDataCentre;
  model::endpoint mPeer;
  bool mLeaving = false;

  bool operator==(const listed_instance&) const = default;
};

/** The two clocks read at one time. */
struct moment
{
  model::instant mNow;       ///< For durations.
  model::wall_instant mWall; ///< For ages compared between machines.
};

/**
 * Whether a claim replaces another about the same instance.
 * @param aClaim The new claim.
 * @param aKnown What is known.
 */
constexpr bool
Supersedes(const member& aClaim, const member& aKnown)
{
  if (aClaim.mIncarnation != aKnown.mIncarnation) {
    return aClaim.mIncarnation > aKnown.mIncarnation;
  }
  return aClaim.mState > aKnown.mState;
}

/** Whether work may be given to the member: not leaving, not dead. */
constexpr bool
TakesWork(const member& aMember)
{
  return aMember.mState == member_state::Alive ||
         aMember.mState == member_state::Suspect;
}

} // namespace monsooncroft::cluster

#endif
