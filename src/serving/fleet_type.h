/**
 * @file fleet_type.h
 * What instances tell each other of themselves.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_TYPE_H
#define MONSOONCROFT_SERVING_FLEET_TYPE_H

#include "model/endpoint_type.h"
#include "once/quarantine_type.h"
#include "serving/leaf_entry_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** One instance's state, as it said itself; higher beats replace lower. */
struct fleet_member
{
  std::string mName;
  std::string mDataCentre;
  model::endpoint mPeer;          ///< UDP and TCP.
  std::uint64_t mIncarnation = 0; ///< Unix ms of its start.
  std::uint64_t mBeat = 0;        ///< Grows while it runs.
  std::uint64_t mConfigVersion = 0;
  bool mReachesStore = false; ///< Its last calls succeeded.
  bool mLeaving = false;

  bool operator==(const fleet_member&) const = default;

  bool NewerThan(const fleet_member& aOther) const
  {
    return mIncarnation != aOther.mIncarnation
             ? mIncarnation > aOther.mIncarnation
             : mBeat > aOther.mBeat;
  }
};

/** A member's beat, for who knows the member already. */
struct fleet_beat
{
  std::uint32_t mMember = 0; ///< Hash of its name and incarnation.
  std::uint64_t mBeat = 0;

  bool operator==(const fleet_beat&) const = default;
};

/** A leaf that an instance sees standing still. */
struct leaf_suspicion
{
  std::string mLeaf;
  std::uint32_t mForMs = 0; ///< How much longer it is to be avoided.

  bool operator==(const leaf_suspicion&) const = default;
};

/** An answer that tells something new of a leaf's speed, or was of no use. */
struct leaf_observation
{
  std::string mLeaf;
  /** What it took beyond the usual; nothing if it was of no use. */
  std::optional<std::int32_t> mExcessMs;

  bool operator==(const leaf_observation&) const = default;
};

/** One datagram between instances. */
struct fleet_message
{
  std::vector<fleet_member> mMembers; ///< The sender first.
  bool mWantsReply = false;           ///< The sender knows nobody yet.
  std::vector<leaf_suspicion> mSuspects;
  std::vector<directory_delta> mDeltas;  ///< None or one.
  std::vector<once::death_mark> mDeaths; ///< Of leaves, with the request.
  std::vector<leaf_observation> mObservations;
  std::vector<std::string> mLostWays; ///< Data centres out of reach.
  std::vector<fleet_beat> mBeats;

  bool operator==(const fleet_message&) const = default;
};

} // namespace monsooncroft::serving

#endif
