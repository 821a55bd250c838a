/**
 * @file answer_rule_func.h
 * Decides when a request gets its final answer.
 */
#ifndef MONSOONCROFT_SERVING_ANSWER_RULE_FUNC_H
#define MONSOONCROFT_SERVING_ANSWER_RULE_FUNC_H

#include "model/time_type.h"

#include <cstddef>
#include <cstdint>

namespace monsooncroft::serving {

/** Shard counts and times that decide on one request's answer. */
struct answer_requirements
{
  std::size_t mTotalShards = 1;    ///< 1 for a request to a single leaf.
  std::size_t mRequiredShards = 1; ///< Shard results that an answer needs.
  /** From this time on an answer from the required shards is sent. */
  model::instant mPartialAnswerAt;
  model::instant mDeadline; ///< The request ends at this time at the latest.

  bool operator==(const answer_requirements&) const = default;
};

/** Settings that place the partial answer before the target latency. */
struct answer_timing
{
  /** Fraction of the target latency that is used, before the caller's network
   * time is subtracted. The rest covers delays of the local machine. */
  double mTargetFraction = 0.9;
  /** Least time left before the target latency; longer than timer errors. */
  std::chrono::milliseconds mTimerMargin{ 2 };
  /** Fraction that is used if the caller's network time is unknown. */
  double mTargetFractionUnknownNetworkTime = 0.84;

  bool operator==(const answer_timing&) const = default;
};

/** Shards of a request by their state. */
struct answer_progress
{
  std::size_t mAnswered = 0; ///< Shards with a successful result.
  std::size_t mPending = 0;  ///< Shards that may still return a result.

  bool operator==(const answer_progress&) const = default;
};

/** Next action for a request. */
enum class answer_decision : std::uint8_t
{
  Wait,   ///< Further shard results may arrive in time.
  Answer, ///< Answer from the shard results received so far.
  GiveUp, ///< The required shards are out of reach, or the deadline has passed.
};

/**
 * Converts the minimum fraction of successful shards to a count, as the
 * protocol defines it.
 * @return From 1 to aTotal.
 */
std::size_t
RequiredShards(std::size_t aTotal, double aMinSuccessShare);

/**
 * Callers measure from before they connect until the answer has arrived, so the
 * caller's network time is subtracted from the target latency, and the time
 * that this machine takes to merge and send the answer.
 * @param aTarget The route's target latency.
 * @param aCallerNetworkTime The caller's network time; 0 if unknown.
 * @param aAnswerTime Usual time from the decision to answer until the answer is
 * sent.
 * @return Time from the request's arrival until a partial answer may be sent.
 */
model::duration
PartialAnswerDelay(model::duration aTarget,
                   model::duration aCallerNetworkTime,
                   model::duration aAnswerTime,
                   const answer_timing& aTiming);

/**
 * Limits the wait for slow shards of a fan-out: the answer is complete if all
 * shards return in time, partial after that, and the request fails at once when
 * the required shards can no longer be reached.
 */
answer_decision
DecideAnswer(const answer_requirements& aRequirements,
             const answer_progress& aProgress,
             model::instant aNow);

} // namespace monsooncroft::serving

#endif
