/**
 * @file relay_type.h
 * Messages from a query's root instance to the owners of leaves.
 */
#ifndef MONSOONCROFT_ENTRY_RELAY_TYPE_H
#define MONSOONCROFT_ENTRY_RELAY_TYPE_H

#include "entry/leaf_table_base.h"
#include "model/attempt_type.h"

#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::entry {

/** One shard that the owner is asked for; the attempt is the root's. */
struct relay_shard
{
  model::shard_id mShard;
  model::attempt_id mAttempt;
};

/** One query's shards at one owner. */
struct relay_request
{
  model::request_id mRequest;
  model::service_id mService;
  model::kind_id mKind;
  model::workspace_id mTenant;
  /** Only leaves of this data centre are asked; empty: all of them. */
  model::data_centre_id mDataCentre;
  model::manifest_version mManifest = 0;
  model::index_version mSnapshot = 0;
  model::duration mRemaining{ 0 }; ///< Until the reply must leave.
  std::optional<model::wall_instant> mSendBefore; ///< See leaf_job.
  bool mNoExtra = false; ///< Neither hedge nor retry after a maybe-run.
  bool mAlone = false;   ///< On leaves that run nothing else meanwhile.
  std::vector<relay_shard> mShards;
  std::string mBody; ///< JSON for the leaves.
};

/** How each shard ended; mAttempt is the root's. */
struct relay_reply
{
  std::vector<model::attempt_result> mResults;
  int mSent = 0;               ///< Attempts that the owner sent to leaves.
  std::vector<held_row> mHeld; ///< What the owner knows of the service.
};

} // namespace monsooncroft::entry

#endif
