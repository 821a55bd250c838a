/**
 * @file quarantine_type.h
 * Crashes of leaves and the requests that may have caused them.
 */
#ifndef MONSOONCROFT_ONCE_QUARANTINE_TYPE_H
#define MONSOONCROFT_ONCE_QUARANTINE_TYPE_H

#include "model/time_type.h"
#include "once/request_key_type.h"

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <tuple>

namespace monsooncroft::once {

/**
 * Identifies one crash of one leaf: hash of the leaf and the boot id that
 * ended.
 */
using crash_hash = hash128<struct crash_hash_tag>;

crash_hash
HashCrash(const model::leaf_id& aLeaf, const std::string& aBootId);

/** A request that was in flight at a leaf that crashed or may have crashed. */
struct suspicion
{
  content_hash mContent;
  crash_hash mCrash;
  model::service_id mService;

  bool operator==(const suspicion&) const = default;
};

/** A confirmed suspicion, as exchanged between instances. */
struct crash_mark
{
  suspicion mSuspicion;
  bool mCleared = false; ///< The request has since run alone without a crash.
  model::wall_instant mExpires; ///< Time from which the mark is ignored.

  bool operator==(const crash_mark&) const = default;
};

/**
 * Returns whether a mark replaces another mark of the same suspicion. The order
 * is total, so that merging is commutative, associative and idempotent.
 */
inline bool
Supersedes(const crash_mark& aNew, const crash_mark& aKnown)
{
  return std::tie(aNew.mCleared, aNew.mExpires) >
         std::tie(aKnown.mCleared, aKnown.mExpires);
}

/** Name of a mark in gossip updates: request content and crash. */
std::string
CrashMarkName(const crash_mark& aMark);

/** Parses a name written by CrashMarkName; std::nullopt for any other text. */
std::optional<suspicion>
ParseCrashMarkName(const std::string& aName, const model::service_id& aService);

/** How a request may be sent to the leaves. */
enum class screening_permit
{
  Unrestricted,    ///< No restrictions.
  FirstShardAlone, ///< Through the home instance of ScreeningKey, one request
                   ///< at a time: one shard first, the other shards after its
                   ///< reply. No hedge, no retry.
  Isolated, ///< Through the home instance of ScreeningKey, one request at a
            ///< time: shard by shard, alone on its leaf. No hedge, no retry.
  Refused,  ///< Not run, reason "quarantined".
};

/** When requests that are not remembered as harmless are screened. */
enum class screening_mode
{
  Never,
  AfterCrash, ///< While a mark of the request's service has not expired.
  Always,
};

/** Settings of the quarantine. */
struct quarantine_settings
{
  std::chrono::milliseconds mTimeToLive{
    600000
  }; ///< From the confirmation or the clearing of a mark to its expiry.
  screening_mode mScreening = screening_mode::AfterCrash;
  std::size_t mMaxMarks = 4096;
  std::size_t mMaxHarmless =
    16384; ///< Maximum number of requests remembered as harmless.
};

constexpr const char* kReasonQuarantined = "quarantined";

/**
 * Returns the key of the screening queue that a request waits in, at the key's
 * home instance. Suspects use the key of their service, so that two suspects
 * are never on one leaf; other requests use their own key.
 */
std::string
ScreeningKey(screening_permit aPermit,
             const content_hash& aContent,
             const model::service_id& aService);

} // namespace monsooncroft::once

#endif
