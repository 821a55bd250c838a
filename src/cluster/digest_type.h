/**
 * @file digest_type.h
 * Digests of a table by bucket, so that tables that differ in a few entries
 * exchange only the differing buckets.
 */
#ifndef MONSOONCROFT_CLUSTER_DIGEST_TYPE_H
#define MONSOONCROFT_CLUSTER_DIGEST_TYPE_H

#include <array>
#include <cstdint>

namespace monsooncroft::cluster {

constexpr std::size_t kDigestBuckets = 16;

/**
 * XOR of the entry hashes of each bucket, which does not depend on the order of
 * insertion.
 */
using bucket_digests = std::array<std::uint64_t, kDigestBuckets>;

/**
 * Returns the bucket of an entry.
 * @param aKeyHash Hash of the entry's key.
 */
constexpr std::size_t
BucketOf(std::uint64_t aKeyHash)
{
  return aKeyHash % kDigestBuckets;
}

/** Combines the digests of all buckets into one. */
constexpr std::uint64_t
CombineDigests(const bucket_digests& aBuckets)
{
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  std::uint64_t digest = 0;
  for (const auto bucket : aBuckets) {
    digest = (digest ^ bucket) * kMultiplier;
  }
  return digest;
}

} // namespace monsooncroft::cluster

#endif
