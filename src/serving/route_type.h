/**
 * @file route_type.h
 * Routes and limits of the routing configuration.
 */
#ifndef MONSOONCROFT_SERVING_ROUTE_TYPE_H
#define MONSOONCROFT_SERVING_ROUTE_TYPE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/** Whether a request may run more than once. */
enum class repeatability : std::uint8_t
{
  Idempotent, ///< May be retried, within the retry budget.
  RunOnce,    ///< Retried only after proof that it did not run.
};

/** A service that receives a share of a route's requests. */
struct weighted_service
{
  std::string mService;
  double mWeight = 1;

  bool operator==(const weighted_service&) const = default;
};

/** One route of the routing configuration. */
struct route
{
  std::string mName;
  std::string mHost;   ///< Lower case, without a port.
  std::string mPrefix; ///< Begins and ends with a slash.
  repeatability mRepeatability = repeatability::RunOnce;
  std::chrono::milliseconds mTimeout{ 0 };       ///< Maximum wait of a caller.
  std::chrono::milliseconds mTargetLatency{ 0 }; ///< Answers up to this latency
                                                 ///< have their full value.
  int mPriority = 0;    ///< Routes of priority 0 are served first.
  int mMaxAttempts = 1; ///< Leaves that a request (per shard) may be sent to.
  std::vector<weighted_service> mTargets; ///< Empty for a fan-out.
  std::vector<std::string> mShards;       ///< Services of a fan-out.
  std::size_t mTopRecords = 0;            ///< Records of a merged answer.
  double mMinSuccessShare = 1;     ///< Fraction of shards that an answer needs.
  bool mPublic = true;             ///< Requests need no API key.
  std::vector<std::string> mHomes; ///< Regions; empty: any region.

  bool IsFanOut() const { return !mShards.empty(); }
  bool operator==(const route&) const = default;
};

/** Limits of one service. */
struct service_limits
{
  int mMaxConnections = 1; ///< One leaf accepts these from all instances.
  /** Requests per second that a cold leaf accepts from all instances; 0: no
   * limit. */
  double mColdPerSecond = 0;
  /** Time for which a leaf that starts during traffic is cold. */
  std::chrono::milliseconds mColdPeriod{ 0 };

  bool operator==(const service_limits&) const = default;
};

/** Sizes of callers' requests and timeouts of their connections. */
struct caller_limits
{
  std::size_t mMaxHeaderBytes = 16'384;
  std::size_t mMaxBodyBytes = 262'144;
  std::chrono::milliseconds mHeaderTimeout{ 3'000 };
  std::chrono::milliseconds mIdleTimeout{ 15'000 };

  bool operator==(const caller_limits&) const = default;
};

} // namespace monsooncroft::serving

#endif
