/**
 * @file member_type.h
 * Claims about one entry instance, as the instances exchange them.
 */
#ifndef MONSOONCROFT_CLUSTER_MEMBER_TYPE_H
#define MONSOONCROFT_CLUSTER_MEMBER_TYPE_H

#include "model/endpoint_type.h"
#include "model/identifier_type.h"
#include "model/time_type.h"

#include <cstdint>

namespace monsooncroft::cluster {

/**
 * Orders the claims about one instance. Only the instance itself raises its
 * incarnation.
 */
using incarnation = std::uint64_t;

/**
 * State of a member. Of two claims with the same incarnation the higher state
 * supersedes the lower.
 */
enum class member_state : std::uint8_t
{
  Alive,   ///< Answers probes.
  Suspect, ///< Missed a probe; still counts as live.
  Leaving, ///< Stops soon: owns no leaves, but still serves requests.
  Dead,    ///< Stopped, crashed or replaced.
  End,     ///< One past the last state.
};

/** A claim: the state of one instance at one incarnation. */
struct member
{
  model::instance_id mId;
  model::data_centre_id mDataCentre;
  model::endpoint mPeer;        ///< Address for peers, both TCP and UDP.
  incarnation mIncarnation = 0; ///< 0 if known only from the instance list.
  member_state mState = member_state::Alive;

  bool operator==(const member&) const = default;
};

/** An instance in the platform's instance list, which may be out of date. */
struct listed_instance
{
  model::instance_id mId;
  model::data_centre_id mDataCentre;
  model::endpoint mPeer;
  bool mLeaving = false;

  bool operator==(const listed_instance&) const = default;
};

/** Readings of the monotonic and the wall clock at the same time. */
struct moment
{
  model::instant mNow;       ///< Monotonic clock, for durations.
  model::wall_instant mWall; ///< Wall clock, for ages that are compared between
                             ///< machines.
};

/**
 * Whether a claim replaces another about the same instance.
 * @param aClaim The new claim.
 * @param aKnown The known claim.
 */
constexpr bool
Supersedes(const member& aClaim, const member& aKnown)
{
  if (aClaim.mIncarnation != aKnown.mIncarnation) {
    return aClaim.mIncarnation > aKnown.mIncarnation;
  }
  return aClaim.mState > aKnown.mState;
}

/** Whether the member may be given work: it is neither leaving nor dead. */
constexpr bool
TakesWork(const member& aMember)
{
  return aMember.mState == member_state::Alive ||
         aMember.mState == member_state::Suspect;
}

} // namespace monsooncroft::cluster

#endif
