/**
 * @file attempt_grant_type.h
 * The attempts that an execution of a query may make.
 */
#ifndef MONSOONCROFT_SERVING_ATTEMPT_GRANT_TYPE_H
#define MONSOONCROFT_SERVING_ATTEMPT_GRANT_TYPE_H

namespace monsooncroft::serving {

/** The attempts that an execution of a query may make. */
struct attempt_grant
{
  int mAttempts = 1; ///< At each shard.
  /** Attempts at each shard that the execution may ask its grantor for. */
  int mReserved = 0;
  /** Another execution may have run the query. */
  bool mIsResent = false;

  bool operator==(const attempt_grant&) const = default;
};

} // namespace monsooncroft::serving

#endif
