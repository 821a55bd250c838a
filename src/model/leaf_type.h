/**
 * @file leaf_type.h
 * A leaf: a backend server that serves shards, as declared in the manifest.
 */
#ifndef MONSOONCROFT_MODEL_LEAF_TYPE_H
#define MONSOONCROFT_MODEL_LEAF_TYPE_H

#include "model/endpoint_type.h"
#include "model/identifier_type.h"

namespace monsooncroft::model {

/** Location and limits of a leaf. */
struct leaf
{
  leaf_id mId;
  endpoint mEndpoint;
  data_centre_id mDataCentre;
  int mSlots = 1; ///< Number of requests that the leaf runs at one time.
  int mConnectionLimit = 1; ///< Number of connections that the leaf accepts
                            ///< from all entry instances together.

  bool operator==(const leaf&) const = default;
};

} // namespace monsooncroft::model

#endif
