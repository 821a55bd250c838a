/**
 * @file request_key_type.h
 * Hashes that identify a request and its content.
 */
#ifndef MONSOONCROFT_ONCE_REQUEST_KEY_TYPE_H
#define MONSOONCROFT_ONCE_REQUEST_KEY_TYPE_H

#include "model/answer_type.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsooncroft::once {

/** A 128-bit hash that only compares with hashes of the same @p Tag. */
template<class Tag>
struct hash128
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  bool operator==(const hash128&) const = default;
  std::strong_ordering operator<=>(const hash128&) const = default;
};

/** Identifies a request: two sends with the same hash are the same request. */
using request_hash = hash128<struct request_hash_tag>;
/** Identifies the content of a request: service, kind and body. */
using content_hash = hash128<struct content_hash_tag>;

/** Index of a bucket of the record. */
using bucket_index = std::uint32_t;

/**
 * Hashes the identity of a request: service, workspace and request id. The kind
 * and the body are left out, so that an id sent again with another body never
 * runs twice.
 */
request_hash
HashRequest(const model::query& aQuery);

/** Hashes the content of a request: service, kind and body. */
content_hash
HashContent(const model::query& aQuery);

/**
 * Returns the bucket that records a request.
 * @pre aBuckets is not 0 and the same at all instances.
 */
bucket_index
BucketOf(const request_hash& aRequest, bucket_index aBuckets);

/** Returns the platform key of a bucket's value. */
std::string
BucketKey(bucket_index aBucket);

/** Formats a hash as 32 hexadecimal digits. */
std::string
ToHex(std::uint64_t aHigh, std::uint64_t aLow);

template<class Tag>
std::string
ToHex(const hash128<Tag>& aHash)
{
  return ToHex(aHash.mHigh, aHash.mLow);
}

/** Parses a hash written by ToHex; std::nullopt for any other text. */
std::optional<request_hash>
ParseRequestHash(std::string_view aText);

} // namespace monsooncroft::once

#endif
