/**
 * @file instance_type.h
 * Entries of the platform's instance list.
 */
#ifndef MONSOONCROFT_STORE_INSTANCE_TYPE_H
#define MONSOONCROFT_STORE_INSTANCE_TYPE_H

#include "model/endpoint_type.h"
#include "model/identifier_type.h"
#include "store/store_type.h"

#include <vector>

namespace monsooncroft::store {

/** What an instance is. */
enum class instance_role
{
  Entry, ///< An entry instance.
  Leaf,  ///< A backend server.
};

/** One entry of the list. */
struct listed_instance
{
  std::string mId; ///< Name of the entry instance or the leaf.
  instance_role mRole = instance_role::Entry;
  model::endpoint mAddress;       ///< Peer address of an entry instance.
  model::endpoint mCallerAddress; ///< Port 0 for a leaf.
  model::data_centre_id mDataCentre;
  bool mLeaving = false; ///< Listed as leaving.

  bool operator==(const listed_instance&) const = default;
};

/** The end of reading the list. */
struct instances_outcome
{
  store_status mStatus = store_status::Unavailable;
  std::vector<listed_instance> mInstances; ///< Only when Ok.

  bool operator==(const instances_outcome&) const = default;
};

} // namespace monsooncroft::store

#endif
