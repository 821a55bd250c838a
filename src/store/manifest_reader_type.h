/**
 * @file manifest_reader_type.h
 * What an instance makes of the heads that it is told of.
 */
#ifndef MONSOONCROFT_STORE_MANIFEST_READER_TYPE_H
#define MONSOONCROFT_STORE_MANIFEST_READER_TYPE_H

#include "model/manifest_base.h"

#include <string>

namespace monsooncroft::store {

/** Where a head came from. */
enum class head_source
{
  Platform, ///< Read from the platform.
  Peer,     ///< Told by another entry instance, which may be behind.
};

/** What became of a head or a chunk. */
enum class reader_step
{
  Ignored,  ///< Nothing new.
  Refused,  ///< Wrong; see the alarms.
  Fetching, ///< A newer manifest; chunks are missing.
  Adopted,  ///< A newer manifest is in force.
};

/** What is wrong with what was read. */
enum class alarm_kind
{
  LowerVersion,    ///< The platform holds a lower version than the one in
                   ///< force.
  DivergedHead,    ///< Another change claims the version that is in force.
  InvalidHead,     ///< A head that cannot be read.
  InvalidManifest, ///< A newer manifest with faults; the old one stays.
  WrongChunk,      ///< A chunk whose text does not match its hash.
};

/** One standing alarm. */
struct manifest_alarm
{
  alarm_kind mKind = alarm_kind::InvalidHead;
  model::manifest_version mVersion = 0; ///< Version at fault, if known.
  std::string mText;                    ///< For people.

  bool operator==(const manifest_alarm&) const = default;
};

/** Word of an alarm, for status pages. */
const char*
ToString(alarm_kind aKind);

} // namespace monsooncroft::store

#endif
