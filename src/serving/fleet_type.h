/**
 * @file fleet_type.h
 * Messages that instances exchange by gossip.
 */
#ifndef MONSOONCROFT_SERVING_FLEET_TYPE_H
#define MONSOONCROFT_SERVING_FLEET_TYPE_H

#include "model/endpoint_type.h"
#include "once/quarantine_type.h"
#include "serving/leaf_departure_type.h"
#include "serving/leaf_limit_type.h"
#include "serving/leaf_registration_type.h"
#include "serving/permit_type.h"
#include "serving/quota_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** State of one instance, as the instance itself reported it, with its last
 * known heartbeat. */
struct fleet_member
{
  std::string mName;
  std::string mDataCentre;
  model::endpoint mPeerEndpoint;  ///< For UDP and TCP.
  std::uint64_t mIncarnation = 0; ///< Start time of the process, Unix ms.
  std::uint64_t mHeartbeat = 0;   ///< Counter; increases while it runs.
  /** Heartbeat of the last change of the fields below. */
  std::uint64_t mStateHeartbeat = 0;
  std::uint64_t mConfigVersion = 0;
  /** Store revision up to which it knows the leaf registrations. */
  model::store_revision mDirectoryRevision;
  std::uint32_t mCapacityMillicores = 0; ///< Processor; 0 if unknown.
  /** Port at which it executes queries for others; 0 if it does not. */
  std::uint16_t mRelayPort = 0;
  bool mReachesStore = false; ///< Its last calls to the store succeeded.
  bool mLeaving = false;

  bool operator==(const fleet_member&) const = default;
};

/** Heartbeat of a member, for receivers that already know the member. */
struct member_heartbeat
{
  std::uint32_t mMemberHash = 0; ///< Hash of its name and incarnation.
  std::uint64_t mHeartbeat = 0;

  bool operator==(const member_heartbeat&) const = default;
};

/** A leaf that an instance finds unresponsive. */
struct leaf_suspicion
{
  std::string mLeafId;
  std::uint32_t mRemainingMs = 0; ///< Time for which to avoid the leaf.

  bool operator==(const leaf_suspicion&) const = default;
};

/** An answer that shows a change of a leaf's speed, or an error answer. */
struct leaf_observation
{
  std::string mLeafId;
  /** Service time above the route's mean; nothing for an error answer. */
  std::optional<std::int32_t> mExcessLatencyMs;

  bool operator==(const leaf_observation&) const = default;
};

/** One datagram between instances. */
struct fleet_message
{
  std::vector<fleet_member> mMembers; ///< The sender comes first.
  bool mWantsReply = false;           ///< The sender knows no live member yet.
  std::vector<leaf_suspicion> mSuspicions;
  std::vector<directory_delta> mDirectoryDeltas; ///< At most one.
  std::vector<once::crash_mark> mCrashMarks; ///< Crashed leaf and its request.
  std::vector<leaf_observation> mLeafObservations;
  std::vector<std::string> mUnreachableDataCentres;
  std::vector<member_heartbeat> mHeartbeats;
  std::vector<leaf_limit_report> mLeafLimits;
  std::vector<permit_request> mPermitRequests; ///< For the receiver to decide.
  std::vector<permit_reply> mPermitReplies;
  std::vector<leaf_departure> mLeafDepartures;
  quota_message mQuota;
  /** Names of extensions that could not be decoded; not sent. */
  std::vector<std::string> mMalformedParts;

  bool operator==(const fleet_message&) const = default;
};

} // namespace monsooncroft::serving

#endif
