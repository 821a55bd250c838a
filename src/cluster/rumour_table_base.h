/**
 * @file rumour_table_base.h
 * Bounded table of rumours with digests for anti-entropy.
 */
#ifndef MONSOONCROFT_CLUSTER_RUMOUR_TABLE_BASE_H
#define MONSOONCROFT_CLUSTER_RUMOUR_TABLE_BASE_H

#include "cluster/digest_type.h"
#include "cluster/rumour_type.h"

#include <map>
#include <vector>

namespace monsooncroft::cluster {

/** What this instance has heard. */
class rumour_table
{
public:
  /** @param aLimit Entries kept; beyond it the first to expire goes. */
  explicit rumour_table(std::size_t aLimit);

  /**
   * Takes an entry in.
   * @return Whether it was news.
   */
  bool Merge(const rumour& aRumour, model::wall_instant aNow);
  void Expire(model::wall_instant aNow); ///< Drops what has run out.

  const rumour* Find(const rumour_key& aKey) const; ///< Null if unknown.
  std::vector<rumour> OfKind(rumour_kind aKind) const;
  bucket_digests Buckets() const { return mBuckets; }
  std::uint64_t Digest() const { return Combine(mBuckets); }
  std::vector<rumour> Differing(const bucket_digests& aTheirs)
    const; ///< Entries of the buckets whose digests differ.
  std::size_t Count() const { return mEntries.size(); }

private:
  using entries = std::map<rumour_key, rumour>;

  void Toggle(const rumour& aRumour); ///< Adds to or removes from the digest.
  void Erase(entries::iterator aEntry);
  void EvictOne();

  std::size_t mLimit;
  entries mEntries;
  bucket_digests mBuckets{}; ///< XOR of the entries' hashes.
};

} // namespace monsooncroft::cluster

#endif
