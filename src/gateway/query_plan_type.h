/**
 * @file query_plan_type.h
 * Decisions about a request before its execution.
 */
#ifndef MONSOONCROFT_GATEWAY_QUERY_PLAN_TYPE_H
#define MONSOONCROFT_GATEWAY_QUERY_PLAN_TYPE_H

#include "serving/attempt_grant_type.h"
#include "serving/route_latency_type.h"
#include "serving/routing_config_base.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::gateway {

/** Decisions about a request before its execution. */
struct query_plan
{
  serving::routing_config_ptr mConfig; ///< Owns the route.
  const serving::route* mRoute = nullptr;
  /** Null for a public route, and where the configuration has none. Owned by
   * the configuration. */
  const serving::workspace* mWorkspace = nullptr;
  /** Requests of rank 0 are served first; 0 where the configuration has no
   * workspaces. */
  int mRank = 0;
  /** One service, or the shards of a fan-out. */
  std::vector<std::string> mServices;
  std::shared_ptr<serving::route_latency> mLatency;
  std::string mRequestId;
  model::instant mDeadline;
  /** The content has crashed a leaf: one attempt per shard. */
  bool mSingleAttempt = false;
  /** Time until a partial answer is sent, for a query of another instance;
   * nothing if it follows from the caller's network time. */
  std::optional<model::duration> mAnswerWithin;
  /** Attempts of this execution; nothing: those that the route allows. If
   * another instance may have executed the query before, each attempt counts as
   * a retry. */
  std::optional<serving::attempt_grant> mGrant;

  bool IsResent() const { return mGrant && mGrant->mIsResent; }

  /** Empty without a workspace. */
  std::string WorkspaceName() const
  {
    return mWorkspace == nullptr ? std::string() : mWorkspace->mName;
  }
};

} // namespace monsooncroft::gateway

#endif
