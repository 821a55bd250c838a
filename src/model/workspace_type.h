/**
 * @file workspace_type.h
 * A workspace and its limits.
 */
#ifndef MONSOONCROFT_MODEL_WORKSPACE_TYPE_H
#define MONSOONCROFT_MODEL_WORKSPACE_TYPE_H

#include "model/identifier_type.h"

namespace monsooncroft::model {

/**
 * A workspace's share of every leaf and its rate limit over all entry
 * instances.
 */
struct workspace
{
  workspace_id mId;
  double mWeight =
    1; ///< Share of contended slots, relative to the other workspaces.
  double mRatePerSecond =
    0; ///< Requests per second over all entry instances; 0 means no limit.
  double mBurst = 0; ///< Number of requests that may arrive at once.

  bool operator==(const workspace&) const = default;
};

} // namespace monsooncroft::model

#endif
