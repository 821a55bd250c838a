/**
 * @file leaf_registration_type.h
 * A leaf as it is registered.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_REGISTRATION_TYPE_H
#define MONSOONCROFT_SERVING_LEAF_REGISTRATION_TYPE_H

#include "model/endpoint_type.h"
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
  int mSlots = 1;                    ///< Requests that it runs at one time.
  bool mDraining = false;            ///< It wants no new requests.
  std::uint64_t mIncarnation = 0;    ///< Unix ms of its start: its incarnation.
  std::int64_t mColdRemainingMs = 0; ///< It is slow for so much longer.
  std::uint64_t mRevision = 0;       ///< Store revision of the registration.

  bool operator==(const leaf_registration&) const = default;

  /** Whether more than the heartbeat differs. */
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
  std::uint64_t mRevision = 0; ///< The store's, at the first page.
  std::vector<leaf_registration> mLeaves;
};

/** What differs between two directory reads, as told to peers. */
struct directory_delta
{
  std::uint64_t mBaseRevision = 0; ///< Complete for who knows all up to here.
  std::uint64_t mRevision = 0;     ///< Up to here.
  std::vector<leaf_registration> mChangedLeaves;
  std::vector<std::string> mRemovedIds; ///< Ids.

  bool operator==(const directory_delta&) const = default;
};

} // namespace monsooncroft::serving

#endif
