/**
 * @file workspace_limiter_base.h
 * Rate limits of tenants at one instance.
 */
#ifndef MONSOONCROFT_POLICY_WORKSPACE_LIMITER_BASE_H
#define MONSOONCROFT_POLICY_WORKSPACE_LIMITER_BASE_H

#include "model/time_type.h"
#include "model/workspace_type.h"

#include <map>
#include <vector>

namespace monsooncroft::policy {

/** A token bucket a tenant; an instance gets its part of the tenant's rate. */
class workspace_limiter
{
public:
  /**
   * Takes over the tenants of a manifest; known buckets keep their level.
   * @param aTenants The tenants; a rate of 0 means no limit.
   */
  void SetWorkspaces(const std::vector<model::workspace>& aTenants);

  /** Live entry instances, over which each rate is split evenly. */
  void SetInstanceCount(int aLive);

  /**
   * Takes a token for one request.
   * @return False if the tenant is over its limit. An undeclared tenant has
   * no limit here; whether it may ask at all is decided elsewhere.
   */
  bool TryTake(const model::workspace_id& aTenant, model::instant aNow);

  /** Time until TryTake can succeed; 0 if it can now. */
  model::duration RetryAfter(const model::workspace_id& aTenant,
                             model::instant aNow) const;

private:
  /** One tenant's tokens. */
  struct bucket
  {
    model::workspace mWorkspace;
    double mTokens = 0;
    model::instant mLastRefill; ///< When mTokens was true.
    bool mStarted = false;      ///< It starts full at its first use.
  };

  double Rate(const bucket& aBucket) const;  ///< Tokens a second here.
  double Burst(const bucket& aBucket) const; ///< Most tokens here.
  double Tokens(const bucket& aBucket, model::instant aNow) const;

  std::map<model::workspace_id, bucket> mBuckets; ///< Limited tenants only.
  int mInstanceCount = 1;
};

} // namespace monsooncroft::policy

#endif
