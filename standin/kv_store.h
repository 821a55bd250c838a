/**
 * @file kv_store.h
 * Keys with revisions, a short history and leases.
 */
#ifndef MONSOONCROFT_STANDIN_KV_STORE_H
#define MONSOONCROFT_STANDIN_KV_STORE_H

#include "model/time_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsooncroft::standin {

using revision = std::uint64_t;

/** What a key holds at one revision; revision 0 means absent. */
struct kv_value
{
  revision mRevision = 0;
  std::string mValue;

  bool operator==(const kv_value&) const = default;
};

/** The end of a conditional write. */
struct kv_write
{
  bool mOk = false;
  revision mRevision = 0; ///< The new one, or the one that is there.

  bool operator==(const kv_write&) const = default;
};

/** The key-value table. Not thread safe. */
class kv_store
{
public:
  /**
   * Reads a key.
   * @param aKey The key.
   * @param aBack How many changes of the key to look back.
   */
  kv_value Get(const std::string& aKey, std::size_t aBack = 0) const;

  /**
   * Writes if the key is still at the expected revision.
   * @param aExpect Revision, 0: absent.
   * @param aLease Lease that the key goes with; empty: none.
   * @return Not ok also if the lease is unknown.
   */
  kv_write Cas(const std::string& aKey,
               revision aExpect,
               const std::string& aValue,
               const std::string& aLease);

  /** Deletes if the key is still at the expected revision. */
  kv_write Delete(const std::string& aKey, revision aExpect);

  /** Grants a lease that ends @p aTtl after now. */
  std::string Grant(model::duration aTtl, model::instant aNow);

  /** Renews a lease. @return False if it has ended. */
  bool KeepAlive(const std::string& aLease, model::instant aNow);

  /**
   * Ends a lease and deletes its keys.
   * @param aChanged Takes the deleted keys.
   * @return False if it had ended before.
   */
  bool Revoke(const std::string& aLease, std::vector<std::string>& aChanged);

  /** Ends the leases that have run out. @return The deleted keys. */
  std::vector<std::string> Expire(model::instant aNow);

private:
  struct entry
  {
    revision mLast = 0;            ///< The highest revision ever given.
    std::deque<kv_value> mHistory; ///< Oldest first, the last is in force.
    std::string mLease;
  };
  struct lease
  {
    model::duration mTtl{};
    model::instant mEnds;
    std::set<std::string> mKeys;
  };

  void Change(entry& aEntry, const kv_value& aValue);
  void Detach(const std::string& aKey, entry& aEntry);

  std::map<std::string, entry> mEntries;
  std::map<std::string, lease> mLeases;
  std::uint64_t mNextLease = 1;
};

} // namespace monsooncroft::standin

#endif
