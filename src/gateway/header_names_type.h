/**
 * @file header_names_type.h
 * Names of the tier's own header fields.
 */
#ifndef MONSOONCROFT_GATEWAY_HEADER_NAMES_TYPE_H
#define MONSOONCROFT_GATEWAY_HEADER_NAMES_TYPE_H

#include <string>

namespace monsooncroft::gateway {

/** Field names used by callers and leaves; set by the deployment's adapter. */
struct header_names
{
  std::string mRequestId;   ///< Id of one attempt of a caller.
  std::string mRemainingMs; ///< Time that the sender still waits, in ms.
  std::string mSignature;   ///< A leaf's signature of its answer.
  /** Id of the leaf; any other leaf refuses the request. */
  std::string mExpectedLeaf;
  /** Present in an answer if the leaf did not run the request. */
  std::string mNotRun;
  /** Signatures of the shard results in an answer. */
  std::string mShardSignatures;
  std::string mMissingShards; ///< Number of shards missing from an answer.
  /** Requests per second that the answering leaf accepts from all instances
   * together; absent if it accepts any rate. */
  std::string mRateLimit;
  /** "1" in all answers of a leaf that is leaving. */
  std::string mLeaving;
  std::string mWorkspace; ///< Name of the workspace, for leaves.
  std::string mLeafLoad;  ///< Load that a leaf reports in its answers.
  std::string mColdMs;    ///< Remaining cold time in a leaf's health answers.

  bool operator==(const header_names&) const = default;
};

} // namespace monsooncroft::gateway

#endif
