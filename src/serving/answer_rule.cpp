/**
 * @file answer_rule.cpp
 * When a request gets its final answer.
 */
#include "serving/answer_rule_func.h"

#include "model/time_func.h"

#include <algorithm>
#include <cmath>

namespace monsooncroft::serving {

std::size_t
RequiredShards(std::size_t aTotal, double aLeastShare)
{
  // The tolerance keeps 0.75 x 20 at 15 in binary fractions.
  const double least =
    std::ceil(static_cast<double>(aTotal) * aLeastShare - 1e-9);
  return std::clamp<std::size_t>(least < 1 ? 1
                                           : static_cast<std::size_t>(least),
                                 1,
                                 std::max<std::size_t>(1, aTotal));
}

model::duration
PartialAnswerDelay(model::duration aTarget,
                   model::duration aCallersWay,
                   const answer_timing& aTimes)
{
  if (aCallersWay.count() == 0) {
    return model::ScaleDuration(aTarget,
                                aTimes.mTargetFractionUnknownNetworkTime);
  }
  const auto own = std::min<model::duration>(
    model::ScaleDuration(aTarget, aTimes.mTargetFraction),
    aTarget - aTimes.mTimerMargin);
  // A caller that is too far away cannot be answered in time; half of the time
  // is used all the same.
  return std::max(own - aCallersWay, aTarget / 2);
}

answer_decision
DecideAnswer(const answer_requirements& aTerms,
             const answer_progress& aProgress,
             model::instant aNow)
{
  const bool enough = aProgress.mAnswered >= aTerms.mRequiredShards;
  if (aProgress.mPending == 0 || aNow >= aTerms.mDeadline) {
    return enough ? answer_decision::Answer : answer_decision::GiveUp;
  }
  if (aProgress.mAnswered + aProgress.mPending < aTerms.mRequiredShards) {
    return answer_decision::GiveUp;
  }
  return enough && aNow >= aTerms.mPartialAnswerAt ? answer_decision::Answer
                                                   : answer_decision::Wait;
}

} // namespace monsooncroft::serving
