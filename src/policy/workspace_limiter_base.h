/**
 * @file workspace_limiter_base.h
 * Rate limits of workspaces at one entry instance.
 */
#ifndef MONSOONCROFT_POLICY_WORKSPACE_LIMITER_BASE_H
#define MONSOONCROFT_POLICY_WORKSPACE_LIMITER_BASE_H

#include "model/time_type.h"
#include "model/workspace_type.h"

#include <map>
#include <vector>

namespace monsooncroft::policy {

/** One token bucket per workspace; an instance gets its share of the
 * workspace's rate. */
class workspace_limiter
{
public:
  /**
   * Sets the workspaces of a manifest; known buckets keep their tokens.
   * @param aWorkspaces Declared workspaces; a rate of 0 means no limit.
   */
  void SetWorkspaces(const std::vector<model::workspace>& aWorkspaces);

  /** Sets the number of live entry instances; each rate is split evenly over
   * them. */
  void SetInstanceCount(int aCount);

  /**
   * Takes a token for one request.
   * @return False if the workspace is over its limit. An undeclared workspace
   * has no limit here; whether its requests are allowed at all is decided
   * elsewhere.
   */
  bool TryTake(const model::workspace_id& aWorkspace, model::instant aNow);

  /** Time until TryTake() can succeed; 0 if it can succeed now. */
  model::duration RetryAfter(const model::workspace_id& aWorkspace,
                             model::instant aNow) const;

private:
  /** Token bucket of one workspace. */
  struct bucket
  {
    model::workspace mWorkspace;
    double mTokens = 0;
    model::instant mLastRefill; ///< Time at which mTokens was computed.
    bool mStarted = false;      ///< The bucket is full until its first use.
  };

  /** Tokens per second at this instance. */
  double Rate(const bucket& aBucket) const;
  /** Maximum tokens at this instance. */
  double Burst(const bucket& aBucket) const;
  double Tokens(const bucket& aBucket, model::instant aNow) const;

  /** Workspaces with a limit only. */
  std::map<model::workspace_id, bucket> mBuckets;
  int mInstanceCount = 1;
};

} // namespace monsooncroft::policy

#endif
