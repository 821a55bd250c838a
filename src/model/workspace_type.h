/**
 * @file workspace_type.h
 * A tenant and its limits.
 */
#ifndef MONSOONCROFT_MODEL_WORKSPACE_TYPE_H
#define MONSOONCROFT_MODEL_WORKSPACE_TYPE_H

#include "model/identifier_type.h"

namespace monsooncroft::model {

/** A tenant's share of every leaf and its rate limit at an instance. */
struct workspace
{
  workspace_id mId;
  double mWeight =
    1; ///< Share of contended slots, relative to the other tenants.
  double mRatePerSecond =
    0;               ///< Requests a second over all instances; 0: no limit.
  double mBurst = 0; ///< Requests that may come at once.

  bool operator==(const workspace&) const = default;
};

} // namespace monsooncroft::model

#endif
