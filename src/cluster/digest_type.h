/**
 * @file digest_type.h
 * Digests of a table in buckets, so that a difference costs a few entries.
 */
#ifndef MONSOONCROFT_CLUSTER_DIGEST_TYPE_H
#define MONSOONCROFT_CLUSTER_DIGEST_TYPE_H

#include <array>
#include <cstdint>

namespace monsooncroft::cluster {

constexpr std::size_t kDigestBuckets = 16;

/** XOR of entry hashes for each bucket; order of insertion does not matter. */
using bucket_digests = std::array<std::uint64_t, kDigestBuckets>;

/** Bucket of an entry by the hash of its key. */
constexpr std::size_t
BucketOf(std::uint64_t aKeyHash)
{
  return aKeyHash % kDigestBuckets;
}

/** One number for all buckets. */
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
