/**
 * @file answer_type.h
 * A caller's query and the one final answer to it.
 */
#ifndef MONSOONCROFT_MODEL_ANSWER_TYPE_H
#define MONSOONCROFT_MODEL_ANSWER_TYPE_H

#include "model/coverage_type.h"
#include "model/manifest_base.h"
#include "model/time_type.h"

#include <optional>
#include <string>

namespace monsooncroft::model {

/** Version of an index, as the leaves number them; 0 means none. */
using index_version = std::uint64_t;

/** A caller's request; mBody is an opaque JSON text. */
struct query
{
  request_id mRequest;
  service_id mService;
  kind_id mKind;
  workspace_id mWorkspace;
  std::optional<wall_instant>
    mIssuedAt; ///< Kept when the request is sent again.
  std::optional<std::chrono::milliseconds>
    mDeadline;       ///< From arrival; the contract's if absent.
  std::string mBody; ///< JSON handed to the leaves.

  bool operator==(const query&) const = default;
};

/** How a request ended. */
enum class status
{
  Complete, ///< Every shard, one snapshot.
  Partial,  ///< At least the contract's least coverage.
  Failed,   ///< Idempotent, ran, too little arrived in time.
  NotRun,   ///< No leaf ran any of it and none will.
  Unknown,  ///< Not idempotent, may have run, is not run again.
};

/** The one final answer to a query; mResults is a JSON text. */
struct answer
{
  request_id mRequest;
  status mStatus = status::NotRun;
  std::string mReason;     ///< Machine-readable word, empty when complete.
  bool mOverLimit = false; ///< NotRun because a tenant's limit was reached.
  index_version mSnapshot = 0;
  manifest_version mManifest = 0;
  coverage mCoverage;
  std::string mResults = "null"; ///< Merged results as JSON.

  bool operator==(const answer&) const = default;
};

/**
 * Name of a status on the wire.
 * @param aStatus The status.
 * @return Such as "not_run".
 */
const char*
ToString(status aStatus);

} // namespace monsooncroft::model

#endif
