/**
 * @file record_type.h
 * The record of intents: one bucket's value and its settings.
 */
#ifndef MONSOONCROFT_ONCE_RECORD_TYPE_H
#define MONSOONCROFT_ONCE_RECORD_TYPE_H

#include "model/identifier_type.h"
#include "model/time_type.h"
#include "once/request_key_type.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace monsooncroft::once {

/** One life of an instance; a restart has another number. */
struct incarnation
{
  model::instance_id mInstance;
  std::uint64_t mNumber = 0; ///< Never used again by the same instance.

  bool operator==(const incarnation&) const = default;
  std::strong_ordering operator<=>(const incarnation&) const = default;
};

/** The intent to run one request; only mOwner may ever run it. */
struct record_entry
{
  model::wall_instant mIssuedAt; ///< As the caller stated it.
  incarnation mOwner;

  bool operator==(const record_entry&) const = default;
};

/** Value of one bucket. */
using record = std::map<request_hash, record_entry>;

/** Revision of a platform key; 0 means absent. */
using revision = std::uint64_t;

/** Bounds of the record. */
struct record_settings
{
  std::chrono::milliseconds mWindow{
    240000
  }; ///< Age at which an entry is pruned; accepted up to half of it.
  std::chrono::milliseconds mMaxAhead{ 30000 }; ///< Largest step of an issue
                                                ///< time into the future.
  std::chrono::milliseconds mWriteInterval{
    100
  }; ///< Least time between the starts of two writes of a bucket.
  std::chrono::milliseconds mMaxWait{
    1000
  }; ///< Longest time from the offer to the verdict.
  std::chrono::milliseconds mMaxSendDelay{
    250
  }; ///< Longest time from the verdict to the first byte sent.
  std::size_t mMaxBytes = 900000U; ///< Longest encoded value.

  bool operator==(const record_settings&) const = default;
};

/**
 * Whether a request may still be recorded or sent. Half the window is left for
 * clock error between instances before its entry may be pruned.
 * @param aSettings Bounds.
 * @param aIssuedAt The caller's issue time.
 * @param aWall Present wall-clock time.
 */
bool
IsFresh(const record_settings& aSettings,
        model::wall_instant aIssuedAt,
        model::wall_instant aWall);

/** Removes the entries older than the window. */
void
PruneRecord(record& aRecord,
            const record_settings& aSettings,
            model::wall_instant aWall);

} // namespace monsooncroft::once

#endif
