/**
 * @file answer_rule.cpp
 * Decides when a request gets its final answer.
 */
#include "serving/answer_rule_func.h"

#include "model/time_func.h"

#include <algorithm>
#include <cmath>

namespace monsooncroft::serving {

std::size_t
RequiredShards(std::size_t aTotal, double aMinSuccessShare)
{
  // The tolerance keeps 0.75 x 20 at 15 in binary fractions.
  const double required =
    std::ceil(static_cast<double>(aTotal) * aMinSuccessShare - 1e-9);
  return std::clamp<std::size_t>(
    required < 1 ? 1 : static_cast<std::size_t>(required),
    1,
    std::max<std::size_t>(1, aTotal));
}

model::duration
PartialAnswerDelay(model::duration aTarget,
                   model::duration aCallerNetworkTime,
                   model::duration aAnswerTime,
                   const answer_timing& aTiming)
{
  if (aCallerNetworkTime.count() == 0) {
    const auto usable =
      model::ScaleDuration(aTarget, aTiming.mTargetFractionUnknownNetworkTime);
    return std::max(usable - aAnswerTime, aTarget / 2);
  }
  const auto usable = std::min<model::duration>(
    model::ScaleDuration(aTarget, aTiming.mTargetFraction),
    aTarget - aTiming.mTimerMargin);
  // A caller that is too far away cannot be answered in time; half of the
  // target latency is used all the same.
  return std::max(usable - aCallerNetworkTime - aAnswerTime, aTarget / 2);
}

answer_decision
DecideAnswer(const answer_requirements& aRequirements,
             const answer_progress& aProgress,
             model::instant aNow)
{
  const bool sufficient = aProgress.mAnswered >= aRequirements.mRequiredShards;
  if (aProgress.mPending == 0 || aNow >= aRequirements.mDeadline) {
    return sufficient ? answer_decision::Answer : answer_decision::GiveUp;
  }
  if (aProgress.mAnswered + aProgress.mPending <
      aRequirements.mRequiredShards) {
    return answer_decision::GiveUp;
  }
  return sufficient && aNow >= aRequirements.mPartialAnswerAt
           ? answer_decision::Answer
           : answer_decision::Wait;
}

} // namespace monsooncroft::serving
