/**
 * @file answer_rule_func.h
 * When a request gets its final answer.
 */
#ifndef MONSOONCROFT_SERVING_ANSWER_RULE_FUNC_H
#define MONSOONCROFT_SERVING_ANSWER_RULE_FUNC_H

#include "model/time_type.h"

#include <cstddef>
#include <cstdint>

namespace monsooncroft::serving {

/** What a request's answer needs. */
struct answer_requirements
{
  std::size_t mTotalShards = 1;    ///< Shards; 1 for a request to one leaf.
  std::size_t mRequiredShards = 1; ///< Shards that an answer needs.
  model::instant mPartialAnswerAt; ///< From then on the least is enough.
  model::instant mDeadline;        ///< Nobody waits any longer.

  bool operator==(const answer_requirements&) const = default;
};

/** When the least share begins to be enough. */
struct answer_timing
{
  /** Part of the target latency, less the caller's own way. The rest is for
   * delays of this machine. */
  double mTargetFraction = 0.9;
  /** ... at the latest so long before the target: above timer errors. */
  std::chrono::milliseconds mTimerMargin{ 2 };
  /** The part where the caller's way is not known. */
  double mTargetFractionUnknownNetworkTime = 0.84;

  bool operator==(const answer_timing&) const = default;
};

/** How far a request has come. */
struct answer_progress
{
  std::size_t mAnswered = 0; ///< Shards with a good answer.
  std::size_t mPending = 0;  ///< Shards that may still answer.

  bool operator==(const answer_progress&) const = default;
};

/** What to do now. */
enum class answer_decision : std::uint8_t
{
  Wait,   ///< More may come in time.
  Answer, ///< Enough is there.
  GiveUp, ///< The least cannot be reached, or the time is over.
};

/** The least number of shards for a share of them, by protocol. */
std::size_t
RequiredShards(std::size_t aTotal, double aLeastShare);

/**
 * Callers count from before their connection until the answer is there, so the
 * way of a far one is not ours to spend.
 * @param aTarget The route's target latency.
 * @param aCallersWay What the caller waits besides; 0 if not known.
 * @return Time from the request's arrival to where its least share is enough.
 */
model::duration
PartialAnswerDelay(model::duration aTarget,
                   model::duration aCallersWay,
                   const answer_timing& aTimes);

/**
 * Answers the load of a fan-out with stragglers: complete as long as that is
 * in time, then the least share, and a failure at once when even that is lost.
 */
answer_decision
DecideAnswer(const answer_requirements& aTerms,
             const answer_progress& aProgress,
             model::instant aNow);

} // namespace monsooncroft::serving

#endif
