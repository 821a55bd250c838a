/**
 * @file query_settings_type.h
 * Settings of query execution.
 */
#ifndef MONSOONCROFT_GATEWAY_QUERY_SETTINGS_TYPE_H
#define MONSOONCROFT_GATEWAY_QUERY_SETTINGS_TYPE_H

#include "serving/answer_rule_func.h"

#include <chrono>

namespace monsooncroft::gateway {

/** Times and factors of answers, hedges and retries. */
struct query_settings
{
  serving::answer_timing mAnswerTiming;
  /** Delay of a hedge as a multiple of route_latency::High(). */
  double mHedgeFactor = 1.3;
  /** Maximum delay of a hedge as a fraction of the target latency. */
  double mMaxHedgeFraction = 0.4;
  std::chrono::milliseconds mMinHedgeDelay{ 4 }; ///< Above the timer's error.
  /** Retry-After of answers to requests that did not run: time to establish a
   * connection or to discover a leaf. */
  std::chrono::milliseconds mRetryAfter{ 120 };
  /** Delay before a shard without a usable leaf selects one again. */
  std::chrono::milliseconds mLeafRetryDelay{ 15 };
  /** Longest pause that a leaf may ask for; a longer one is cut to it. */
  std::chrono::milliseconds mMaxLeafPause{ 120'000 };

  bool operator==(const query_settings&) const = default;
};

} // namespace monsooncroft::gateway

#endif
