/**
 * @file permit_type.h
 * Permits to send requests to leaves that limit their rate.
 */
#ifndef MONSOONCROFT_SERVING_PERMIT_TYPE_H
#define MONSOONCROFT_SERVING_PERMIT_TYPE_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** One leaf of a permit_request. */
struct permit_item
{
  std::string mLeafId;
  double mPerSecond = 0; ///< The leaf's limit, as the requester knows it.

  bool operator==(const permit_item&) const = default;
};

/** Asks for one request to each of some leaves, all for one query. */
struct permit_request
{
  std::uint64_t mId = 0;     ///< Number of the request; repeated in the reply.
  std::string mServiceGroup; ///< See routing_config::GroupOf().
  int mTargetLatencyMs = 0;  ///< Of the route; the lowest is served first.
  /** A hedge: the query has another attempt running. */
  bool mIsHedge = false;
  /** Permits without which the query fails, so that fewer are of no use. */
  std::size_t mRequired = 0;
  std::vector<permit_item> mLeaves;

  bool operator==(const permit_request&) const = default;
};

/** Decision on one leaf of a request. */
struct permit_decision
{
  bool mGranted = false;
  /** Time until a permit will be available, if none was granted. */
  std::chrono::milliseconds mRetryAfter{ 0 };

  bool operator==(const permit_decision&) const = default;
};

/** Answer to a permit_request. */
struct permit_reply
{
  std::uint64_t mId = 0;
  /** In the order of the request; empty if another instance issues the permits
   * of that group. */
  std::vector<permit_decision> mDecisions;

  bool operator==(const permit_reply&) const = default;
};

} // namespace monsooncroft::serving

#endif
