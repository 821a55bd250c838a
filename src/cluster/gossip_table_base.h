/**
 * @file gossip_table_base.h
 * Bounded table of rumours with digests for anti-entropy.
 */
#ifndef MONSOONCROFT_CLUSTER_GOSSIP_TABLE_BASE_H
#define MONSOONCROFT_CLUSTER_GOSSIP_TABLE_BASE_H

#include "cluster/digest_type.h"
#include "cluster/gossip_update_type.h"

#include <map>
#include <vector>

namespace monsooncroft::cluster {

/** What this instance has heard. */
class gossip_table
{
public:
  /** @param aLimit Entries kept; beyond it the first to expire goes. */
  explicit gossip_table(std::size_t aLimit);

  /**
   * Takes an entry in.
   * @return Whether it was news.
   */
  bool Merge(const gossip_update& aRumour, model::wall_instant aNow);
  void Expire(model::wall_instant aNow); ///< Drops what has run out.

  const gossip_update* Find(const gossip_key& aKey) const; ///< Null if unknown.
  std::vector<gossip_update> UpdatesOfKind(gossip_kind aKind) const;
  bucket_digests Buckets() const { return mBuckets; }
  std::uint64_t Digest() const { return CombineDigests(mBuckets); }
  std::vector<gossip_update> DifferingUpdates(const bucket_digests& aTheirs)
    const; ///< Entries of the buckets whose digests differ.
  std::size_t Count() const { return mEntries.size(); }

private:
  using entries = std::map<gossip_key, gossip_update>;

  void ToggleInDigest(
    const gossip_update& aRumour); ///< Adds to or removes from the digest.
  void Erase(entries::iterator aEntry);
  void EvictIfFull();

  std::size_t mLimit;
  entries mEntries;
  bucket_digests mBuckets{}; ///< XOR of the entries' hashes.
};

} // namespace monsooncroft::cluster

#endif
