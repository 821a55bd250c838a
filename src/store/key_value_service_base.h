/**
 * @file key_value_service_base.h
 * The platform's key-value service.
 */
#ifndef MONSOONCROFT_STORE_KEY_VALUE_SERVICE_BASE_H
#define MONSOONCROFT_STORE_KEY_VALUE_SERVICE_BASE_H

#include "store/store_type.h"

#include <chrono>
#include <string>

namespace monsooncroft::store {

/** Longest value that the service holds. */
constexpr std::size_t kMaxValueBytes = 1'000'000;

/**
 * Blocking calls; none is repeated inside, and each ends within the
 * service's timeout. Thread safe.
 */
class key_value_service
{
public:
  virtual ~key_value_service() = default;

  /** Reads a key; the answer may lag behind. */
  virtual read_outcome Get(const std::string& aKey) = 0;

  /**
   * Writes a key if it is at a revision.
   * @param aKey The key.
   * @param aExpect Revision it must be at; 0: absent.
   * @param aValue The new value, at most kMaxValueBytes.
   * @param aLease The key goes when this lease ends; empty: it stays.
   */
  virtual write_outcome CompareAndSwap(const std::string& aKey,
                                       revision aExpect,
                                       const std::string& aValue,
                                       const lease_id& aLease) = 0;

  /** Deletes a key if it is at a revision. */
  virtual write_outcome Delete(const std::string& aKey, revision aExpect) = 0;

  /**
   * Waits for a change.
   * @param aKey The key.
   * @param aAfter Returns at once if the revision is higher.
   * @param aWait Longest wait; the unchanged key is returned then.
   */
  virtual read_outcome Watch(const std::string& aKey,
                             revision aAfter,
                             std::chrono::milliseconds aWait) = 0;

  virtual lease_outcome GrantLease(
    std::chrono::milliseconds aTimeToLive) = 0; ///< A new lease.
  virtual write_outcome KeepAlive(
    const lease_id& aLease) = 0; ///< NotFound: it has lapsed.
  virtual write_outcome Revoke(const lease_id& aLease) = 0; ///< Ends a lease.
};

} // namespace monsooncroft::store

#endif
