/**
 * @file leaf_protocol_type.h
 * Messages to and from backend servers.
 */
#ifndef MONSOONCROFT_LINK_LEAF_PROTOCOL_TYPE_H
#define MONSOONCROFT_LINK_LEAF_PROTOCOL_TYPE_H

#include "model/attempt_type.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::link {

/** One attempt as the leaf is asked to run it. */
struct execute_request
{
  model::request_id mRequest;
  model::attempt_id mAttempt;
  model::service_id mService;
  model::kind_id mKind;
  model::shard_id mShard;
  model::index_version mSnapshot = 0;
  std::chrono::milliseconds mRemaining{ 0 }; ///< Until nobody wants the reply.
  bool mIdempotent = true;
  std::string mBody; ///< Valid JSON; copied as it is.
};

/** What a leaf says about its work. Health and load may lag or mislead. */
struct leaf_load
{
  int mRunning = 0;
  int mQueued = 0;
  int mSlots = 0;

  bool operator==(const leaf_load&) const = default;
};

/** What a reply tells about the leaf and the shard that was asked. */
struct leaf_report
{
  std::string mBoot; ///< New at each start of the leaf.
  bool mDraining = false;
  leaf_load mLoad;
  std::vector<model::index_version>
    mHeld; ///< Versions held of the shard, ascending.

  bool operator==(const leaf_report&) const = default;
};

/** The leaf's own account of itself. */
struct leaf_state
{
  std::string mBoot;
  bool mDraining = false;
  leaf_load mLoad;
  std::map<model::shard_id, std::vector<model::index_version>>
    mHeld; ///< Versions of each shard, ascending.

  bool operator==(const leaf_state&) const = default;
};

/** A reply to an attempt. */
struct execute_reply
{
  model::request_id mRequest;
  model::attempt_id mAttempt;
  model::shard_id mShard;
  model::attempt_outcome mOutcome =
    model::attempt_outcome::Lost;     ///< Ok, NotHeld, Refused or Error.
  model::index_version mSnapshot = 0; ///< If Ok.
  std::string mReason;                ///< If Refused or Error.
  std::string mResult;                ///< JSON, if Ok.
  leaf_report mReport;

  bool operator==(const execute_reply&) const = default;
};

constexpr const char* kExecuteTarget = "/v1/execute";
constexpr const char* kCancelTarget = "/v1/cancel";
constexpr const char* kStateTarget = "/v1/state";

} // namespace monsooncroft::link

#endif
