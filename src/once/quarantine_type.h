/**
 * @file quarantine_type.h
 * Deaths of leaves and the requests that may have caused them.
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

/** One death of one leaf: the leaf and the boot id that ended. */
using crash_hash = hash128<struct crash_hash_tag>;

crash_hash
HashCrash(const model::leaf_id& aLeaf, const std::string& aBoot);

/** A request that was in flight at a leaf that died. */
struct suspicion
{
  content_hash mContent;
  crash_hash mCrash;
  model::service_id mService;

  bool operator==(const suspicion&) const = default;
};

/** A confirmed suspicion, as instances tell it to each other. */
struct crash_mark
{
  suspicion mSuspicion;
  bool mCleared = false; ///< The request ran alone since and harmed nothing.
  model::wall_instant mExpires; ///< Forgotten from then on.

  bool operator==(const crash_mark&) const = default;
};

/**
 * Whether a mark replaces another of the same suspicion: a total order, so
 * that merging is commutative, associative and idempotent.
 */
inline bool
Supersedes(const crash_mark& aNew, const crash_mark& aKnown)
{
  return std::tie(aNew.mCleared, aNew.mExpires) >
         std::tie(aKnown.mCleared, aKnown.mExpires);
}

/** Name of a mark among rumours: request and death. */
std::string
CrashMarkName(const crash_mark& aMark);

/** Reads back NameOf; nothing for any other text. */
std::optional<suspicion>
ParseCrashMarkName(const std::string& aName, const model::service_id& aService);

/** How a request may go to the leaves. */
enum class screening_permit
{
  Unrestricted,    ///< As usual.
  FirstShardAlone, ///< Through the home of TrialKey, one at a time: one shard
                   ///< first, the others when it has replied. No hedge, no
                   ///< retry.
  Isolated, ///< Through the home of TrialKey, one at a time: shard by shard,
            ///< alone on its leaf. No hedge, no retry.
  Refused,  ///< Not run, reason "quarantined".
};

/** When requests that never ran before go alone first. */
enum class screening_mode
{
  Never,
  AfterCrash, ///< While a death at their service is remembered.
  Always,
};

/** Bounds of the quarantine. */
struct quarantine_settings
{
  std::chrono::milliseconds mTimeToLive{ 600000 }; ///< Of marks.
  screening_mode mScreening = screening_mode::AfterCrash;
  std::size_t mMaxMarks = 4096;
  std::size_t mMaxHarmless = 16384; ///< Requests remembered as harmless.
};

constexpr const char* kReasonQuarantined = "quarantined";

/**
 * Key whose home a request goes through: the service's for suspects, so that
 * two of them never meet on a leaf; the request's own for the others.
 */
std::string
ScreeningKey(screening_permit aPassage,
             const content_hash& aContent,
             const model::service_id& aService);

} // namespace monsooncroft::once

#endif
