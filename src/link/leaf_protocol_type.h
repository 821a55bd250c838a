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

/** Request to a leaf to run one attempt (POST /v1/execute). */
struct execute_request
{
  model::request_id mRequest;
  model::attempt_id mAttempt;
  model::service_id mService;
  model::kind_id mKind;
  model::shard_id mShard;
  model::index_version mSnapshot = 0;
  std::chrono::milliseconds mRemaining{ 0 }; ///< Time left for the reply.
  bool mIdempotent = true;
  std::string mBody; ///< Empty or valid JSON; sent unchanged.
};

/** Load that a leaf reports; it may be out of date or wrong, as may health. */
struct leaf_load
{
  int mRunning = 0;
  int mQueued = 0;
  int mSlots = 0;

  bool operator==(const leaf_load&) const = default;
};

/** Report on the leaf and the requested shard in the reply to an attempt. */
struct leaf_report
{
  std::string mBoot; ///< Changes at each start of the leaf.
  bool mDraining = false;
  leaf_load mLoad;
  std::vector<model::index_version>
    mHeld; ///< Index versions of the shard that the leaf holds, ascending.

  bool operator==(const leaf_report&) const = default;
};

/** State that a leaf reports (GET /v1/state). */
struct leaf_state
{
  std::string mBoot;
  bool mDraining = false;
  leaf_load mLoad;
  std::map<model::shard_id, std::vector<model::index_version>>
    mHeld; ///< Index versions that the leaf holds of each shard, ascending.

  bool operator==(const leaf_state&) const = default;
};

/** Decoded reply to an attempt. */
struct execute_reply
{
  model::request_id mRequest;
  model::attempt_id mAttempt;
  model::shard_id mShard;
  model::attempt_outcome mOutcome =
    model::attempt_outcome::Lost;     ///< Ok, NotHeld, Refused or Error.
  model::index_version mSnapshot = 0; ///< Set if Ok.
  std::string mReason;                ///< Set if Refused or Error.
  std::string mResult;                ///< JSON; set if Ok.
  leaf_report mReport;

  bool operator==(const execute_reply&) const = default;
};

constexpr const char* kExecuteTarget = "/v1/execute";
constexpr const char* kCancelTarget = "/v1/cancel";
constexpr const char* kStateTarget = "/v1/state";

} // namespace monsooncroft::link

#endif
