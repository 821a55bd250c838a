/**
 * @file leaf_type.h
 * A backend server that serves shards, as declared.
 */
#ifndef MONSOONCROFT_MODEL_LEAF_TYPE_H
#define MONSOONCROFT_MODEL_LEAF_TYPE_H

#include "model/endpoint_type.h"
#include "model/identifier_type.h"

namespace monsooncroft::model {

/** A leaf's place and limits. */
struct leaf
{
  leaf_id mId;
  endpoint mEndpoint;
  data_centre_id mDataCentre;
  int mSlots = 1; ///< Requests it runs at one time.
  int mConnectionLimit =
    1; ///< Connections it accepts from all instances together.

  bool operator==(const leaf&) const = default;
};

} // namespace monsooncroft::model

#endif
