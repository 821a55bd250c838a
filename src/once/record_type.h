/**
 * @file record_type.h
 * The record of intents: value of one bucket and the settings.
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

/** One run of an instance's process; a restart has another number. */
struct incarnation
{
  model::instance_id mInstance;
  std::uint64_t mNumber = 0; ///< Never reused by the same instance.

  bool operator==(const incarnation&) const = default;
  std::strong_ordering operator<=>(const incarnation&) const = default;
};

/** The intent to run one request; only mOwner may ever run the request. */
struct record_entry
{
  model::wall_instant mIssuedAt; ///< Issue time stated by the caller.
  incarnation mOwner;

  bool operator==(const record_entry&) const = default;
};

/** Value of one bucket: the recorded intents. */
using record = std::map<request_hash, record_entry>;

/** Revision of a platform key; 0 means absent. */
using revision = std::uint64_t;

/** Limits of the record. */
struct record_settings
{
  std::chrono::milliseconds mWindow{
    240000
  }; ///< Age at which an entry is pruned; a request is accepted up to half this
     ///< age.
  std::chrono::milliseconds mMaxAhead{
    30000
  }; ///< Maximum distance of an issue time into the future.
  std::chrono::milliseconds mWriteInterval{
    100
  }; ///< Minimum time between the starts of two writes of a bucket.
  std::chrono::milliseconds mMaxWait{
    1000
  }; ///< Maximum time from the offer to the verdict.
  std::chrono::milliseconds mMaxSendDelay{
    250
  }; ///< Maximum time from the verdict to the first byte sent.
  std::size_t mMaxBytes = 900000U; ///< Maximum size of the encoded value.

  bool operator==(const record_settings&) const = default;
};

/**
 * Returns whether a request may still be recorded or sent. The other half of
 * the window allows for clock error between instances before the request's
 * entry may be pruned.
 * @param aSettings Limits of the record.
 * @param aIssuedAt The caller's issue time.
 * @param aWall Current wall-clock time.
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
