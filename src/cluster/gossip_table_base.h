/**
 * @file gossip_table_base.h
 * Bounded table of gossip updates with digests for anti-entropy.
 */
#ifndef MONSOONCROFT_CLUSTER_GOSSIP_TABLE_BASE_H
#define MONSOONCROFT_CLUSTER_GOSSIP_TABLE_BASE_H

#include "cluster/digest_type.h"
#include "cluster/gossip_update_type.h"

#include <map>
#include <vector>

namespace monsooncroft::cluster {

/** The newest gossip update for each key. */
class gossip_table
{
public:
  /**
   * @param aLimit Most entries; beyond it the entry that expires first is
   * evicted.
   */
  explicit gossip_table(std::size_t aLimit);

  /**
   * Merges an update.
   * @return Whether the update changed the table.
   */
  bool Merge(const gossip_update& aUpdate, model::wall_instant aNow);
  void Expire(model::wall_instant aNow); ///< Drops expired entries.

  const gossip_update* Find(const gossip_key& aKey) const; ///< Null if unknown.
  std::vector<gossip_update> UpdatesOfKind(gossip_kind aKind) const;
  bucket_digests Buckets() const { return mBuckets; }
  std::uint64_t Digest() const { return CombineDigests(mBuckets); }
  std::vector<gossip_update> DifferingUpdates(const bucket_digests& aTheirs)
    const; ///< Entries in the buckets whose digests differ.
  std::size_t Count() const { return mEntries.size(); }

private:
  using entries = std::map<gossip_key, gossip_update>;

  void ToggleInDigest(
    const gossip_update& aUpdate); ///< Adds an entry to its bucket's digest or
                                   ///< removes it.
  void Erase(entries::iterator aEntry);
  void EvictIfFull();

  std::size_t mLimit;
  entries mEntries;
  bucket_digests mBuckets{}; ///< XOR of the entry hashes of each bucket.
};

} // namespace monsooncroft::cluster

#endif
