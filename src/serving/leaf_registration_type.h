/**
 * @file leaf_registration_type.h
 * Registrations of leaves in the store.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_REGISTRATION_TYPE_H
#define MONSOONCROFT_SERVING_LEAF_REGISTRATION_TYPE_H

#include "model/endpoint_type.h"
#include "model/store_revision_type.h"
#include "model/time_type.h"
#include "serving/key_revisions_type.h"

#include <chrono>
#include <cstdint>
#include <map>
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

/** All registrations, as read from the store page by page. */
struct directory_snapshot
{
  model::store_revision mRevision; ///< The lowest of the pages' revisions.
  std::vector<leaf_registration> mLeaves;
  /** Revisions of the pages, by id; does not apply where it is below mRevision.
   */
  key_revisions mRanges{};

  key_revisions Revisions() const
  {
    key_revisions revisions(mRevision);
    revisions.Raise(mRanges);
    return revisions;
  }
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
  /** Revisions by id where the sender knows the registrations at a higher one
   * than mRevision. */
  key_revisions mRanges{};
  /** The same for mBaseRevision. */
  key_revisions mBaseRanges{};
  /** Revisions of single entries, by id, that the sender knows at a later
   * revision than the others of their range. */
  std::map<std::string, model::store_revision> mLaterRevisions{};
  /** Time for which the sender keeps missing leaves after an outage of the
   * store that it has seen; 0: none has just ended. In a pulled change, as of
   * when the sender's registrations were complete. */
  std::chrono::milliseconds mReregistrationTime{ 0 };

  key_revisions Revisions() const
  {
    key_revisions revisions(mRevision);
    revisions.Raise(mRanges);
    return revisions;
  }
  key_revisions BaseRevisions() const
  {
    key_revisions revisions(mBaseRevision);
    revisions.Raise(mBaseRanges);
    return revisions;
  }
  bool operator==(const directory_delta&) const = default;
};

} // namespace monsooncroft::serving

#endif
