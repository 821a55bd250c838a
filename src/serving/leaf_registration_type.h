/**
 * @file leaf_registration_type.h
 * Registrations of leaves in the store.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_REGISTRATION_TYPE_H
#define MONSOONCROFT_SERVING_LEAF_REGISTRATION_TYPE_H

#include "model/endpoint_type.h"
#include "model/store_revision_type.h"
#include "model/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** One leaf's registration. */
struct leaf_registration
{
  std::string mId;
  std::string mService;
  model::endpoint mAddress;
  std::string mDataCentre;
  int mSlots = 1;                    ///< Requests that it runs concurrently.
  bool mDraining = false;            ///< It accepts no new requests.
  std::uint64_t mIncarnation = 0;    ///< Start time of the process, Unix ms.
  std::int64_t mColdRemainingMs = 0; ///< Remaining slow time after its start.
  model::store_revision mRevision;   ///< Of the registration.

  bool operator==(const leaf_registration&) const = default;

  /** Whether both are equal but for the fields that each heartbeat updates. */
  bool EqualsIgnoringHeartbeat(const leaf_registration& aOther) const
  {
    return mService == aOther.mService && mAddress == aOther.mAddress &&
           mDataCentre == aOther.mDataCentre && mSlots == aOther.mSlots &&
           mDraining == aOther.mDraining && mIncarnation == aOther.mIncarnation;
  }
};

/** All registrations at one revision of the store. */
struct directory_snapshot
{
  model::store_revision mRevision; ///< At the read's first page.
  std::vector<leaf_registration> mLeaves;
};

/** Difference between two states of the directory, as sent to peers. */
struct directory_delta
{
  /** The delta is complete for a receiver that knows all changes up to this
   * store revision. */
  model::store_revision mBaseRevision;
  model::store_revision mRevision; ///< After the delta.
  std::vector<leaf_registration> mChangedLeaves;
  std::vector<std::string> mRemovedIds;
  /** All leaves that are missing in the store at mRevision, but may register
   * again. */
  std::vector<std::string> mMissingIds;

  bool operator==(const directory_delta&) const = default;
};

} // namespace monsooncroft::serving

#endif
