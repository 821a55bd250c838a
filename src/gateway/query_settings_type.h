/**
 * @file query_settings_type.h
 * Settings of how requests are answered.
 */
#ifndef MONSOONCROFT_GATEWAY_QUERY_SETTINGS_TYPE_H
#define MONSOONCROFT_GATEWAY_QUERY_SETTINGS_TYPE_H

#include "serving/answer_rule_func.h"

#include <chrono>

namespace monsooncroft::gateway {

/** Times and factors of the data path. */
struct query_settings
{
  serving::answer_timing mAnswerTiming;
  /** A hedge goes out after so many times the latency that most keep to. */
  double mHedgeFactor = 1.3;
  /** ... and at the latest at this part of the target latency. */
  double mMaxHedgeFraction = 0.4;
  std::chrono::milliseconds mMinHedgeDelay{ 4 }; ///< Above timer errors.
  /** Told to callers whose request did not run: time for a connection to be
   * made, or for a leaf to be noticed. */
  std::chrono::milliseconds mRetryAfter{ 120 };
  /** A part without a leaf looks for one again after this. */
  std::chrono::milliseconds mLeafRetryDelay{ 15 };

  bool operator==(const query_settings&) const = default;
};

} // namespace monsooncroft::gateway

#endif
