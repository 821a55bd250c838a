/**
 * @file fleet_type.h
 * What instances tell each other of themselves.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_TYPE_H
#define MONSOONCROFT_SERVING_FLEET_TYPE_H

#include "model/endpoint_type.h"
#include "once/quarantine_type.h"
#include "serving/leaf_registration_type.h"

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
  model::endpoint mPeerEndpoint;  ///< UDP and TCP.
  std::uint64_t mIncarnation = 0; ///< Unix ms of its start.
  std::uint64_t mHeartbeat = 0;   ///< Grows while it runs.
  std::uint64_t mConfigVersion = 0;
  bool mReachesStore = false; ///< Its last calls succeeded.
  bool mLeaving = false;

  bool operator==(const fleet_member&) const = default;

  bool IsNewerThan(const fleet_member& aOther) const
  {
    return mIncarnation != aOther.mIncarnation
             ? mIncarnation > aOther.mIncarnation
             : mHeartbeat > aOther.mHeartbeat;
  }
};

/** A member's beat, for who knows the member already. */
struct member_heartbeat
{
  std::uint32_t mMemberHash = 0; ///< Hash of its name and incarnation.
  std::uint64_t mHeartbeat = 0;

  bool operator==(const member_heartbeat&) const = default;
};

/** A leaf that an instance sees standing still. */
struct leaf_suspicion
{
  std::string mLeafId;
  std::uint32_t mRemainingMs = 0; ///< How much longer it is to be avoided.

  bool operator==(const leaf_suspicion&) const = default;
};

/** An answer that tells something new of a leaf's speed, or was of no use. */
struct leaf_observation
{
  std::string mLeafId;
  /** What it took beyond the usual; nothing if it was of no use. */
  std::optional<std::int32_t> mExcessLatencyMs;

  bool operator==(const leaf_observation&) const = default;
};

/** One datagram between instances. */
struct fleet_message
{
  std::vector<fleet_member> mMembers; ///< The sender first.
  bool mWantsReply = false;           ///< The sender knows nobody yet.
  std::vector<leaf_suspicion> mSuspicions;
  std::vector<directory_delta> mDirectoryDeltas; ///< None or one.
  std::vector<once::crash_mark> mCrashMarks; ///< Of leaves, with the request.
  std::vector<leaf_observation> mLeafObservations;
  std::vector<std::string>
    mUnreachableDataCentres; ///< Data centres out of reach.
  std::vector<member_heartbeat> mHeartbeats;

  bool operator==(const fleet_message&) const = default;
};

} // namespace monsooncroft::serving

#endif
