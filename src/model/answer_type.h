/**
 * @file answer_type.h
 * A caller's query and its final answer.
 */
#ifndef MONSOONCROFT_MODEL_ANSWER_TYPE_H
#define MONSOONCROFT_MODEL_ANSWER_TYPE_H

#include "model/coverage_type.h"
#include "model/manifest_base.h"
#include "model/time_type.h"

#include <optional>
#include <string>

namespace monsooncroft::model {

/** Index version as numbered by the leaves; 0 means none. */
using index_version = std::uint64_t;

/** A caller's request; mBody is an opaque JSON text. */
struct query
{
  request_id mRequest;
  service_id mService;
  kind_id mKind;
  workspace_id mWorkspace;
  std::optional<wall_instant>
    mIssuedAt; ///< Issue time stated by the caller; unchanged when the request
               ///< is sent again.
  std::optional<std::chrono::milliseconds>
    mDeadline; ///< Counted from arrival; the contract's deadline if absent.
  std::string mBody; ///< JSON forwarded to the leaves.

  bool operator==(const query&) const = default;
};

/** How a request ended. */
enum class status
{
  Complete, ///< Results of every shard, all from one snapshot.
  Partial,  ///< Coverage is at least the contract's minimum.
  Failed,   ///< Idempotent and run, but the results that arrived in time are
            ///< below the minimum coverage.
  NotRun,   ///< No leaf has run any part of the request and none will.
  Unknown,  ///< Not idempotent; may have run and is not run again.
};

/** Final answer to a query; mResults is JSON text. */
struct answer
{
  request_id mRequest;
  status mStatus = status::NotRun;
  std::string mReason;     ///< Machine-readable reason; empty when complete.
  bool mOverLimit = false; ///< True if the request was not run because a limit
                           ///< of its workspace was reached.
  index_version mSnapshot = 0;
  manifest_version mManifest = 0;
  coverage mCoverage;
  std::string mResults = "null"; ///< Merged results as JSON.

  bool operator==(const answer&) const = default;
};

/**
 * Returns the name of a status on the wire.
 * @param aStatus The status.
 * @return The name, such as "not_run".
 */
const char*
ToString(status aStatus);

} // namespace monsooncroft::model

#endif
