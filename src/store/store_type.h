/**
 * @file store_type.h
 * What calls to the platform's key-value service end in.
 */
#ifndef MONSOONCROFT_STORE_STORE_TYPE_H
#define MONSOONCROFT_STORE_STORE_TYPE_H

#include <cstdint>
#include <string>

namespace monsooncroft::store {

/** Revision of a key; only grows; 0: the key is absent. */
using revision = std::uint64_t;
/** A lease granted by the platform; empty: none. */
using lease_id = std::string;

/** How a call ended. */
enum class store_status
{
  Ok,
  NotFound,    ///< The key is absent.
  Conflict,    ///< The key is at another revision; nothing was written.
  Throttled,   ///< Over a rate; nothing was written.
  Unavailable, ///< No answer; nothing was written.
  Ambiguous,   ///< No answer to a write that may take effect, now or later.
};

/** Whether a write with this status was certainly not carried out. */
constexpr bool
NotApplied(store_status aStatus)
{
  return aStatus == store_status::Conflict ||
         aStatus == store_status::NotFound ||
         aStatus == store_status::Throttled ||
         aStatus == store_status::Unavailable;
}

/** The end of a read; may be older than the latest write. */
struct read_outcome
{
  store_status mStatus = store_status::Unavailable;
  revision mRevision = 0; ///< Revision that was read; 0 if absent.
  std::string mValue;     ///< Only when Ok.

  bool operator==(const read_outcome&) const = default;
};

/** The end of a write. */
struct write_outcome
{
  store_status mStatus = store_status::Ambiguous;
  revision mRevision = 0; ///< Ok: the new one; Conflict: the one there.

  bool operator==(const write_outcome&) const = default;
};

/** The end of a lease grant. */
struct lease_outcome
{
  store_status mStatus = store_status::Unavailable;
  lease_id mLease; ///< Only when Ok.

  bool operator==(const lease_outcome&) const = default;
};

/** Word of a status, for logs. */
const char*
ToString(store_status aStatus);

} // namespace monsooncroft::store

#endif
