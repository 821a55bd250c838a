/**
 * @file header_names_type.h
 * Names of the header fields that carry the tier's own meaning.
 */
#ifndef MONSOONCROFT_GATEWAY_HEADER_NAMES_TYPE_H
#define MONSOONCROFT_GATEWAY_HEADER_NAMES_TYPE_H

#include <string>

namespace monsooncroft::gateway {

/** How callers and leaves spell each field; a deployment's adapter sets it. */
struct header_names
{
  std::string mRequestId;       ///< Identity of one attempt of a caller.
  std::string mRemainingMs;     ///< How long the sender still waits.
  std::string mSignature;       ///< A leaf's proof that it made an answer.
  std::string mExpectedLeaf;    ///< Any other leaf refuses the request.
  std::string mNotRun;          ///< Present: the leaf did not run the request.
  std::string mShardSignatures; ///< Signatures of the parts of an answer.
  std::string mMissingShards;   ///< Number of shards left out.

  bool operator==(const header_names&) const = default;
};

} // namespace monsooncroft::gateway

#endif
