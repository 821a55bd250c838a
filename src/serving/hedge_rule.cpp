/**
 * @file hedge_rule.cpp
 * Decides whether a second attempt at a shard can still help its request.
 */
#include "serving/hedge_rule_func.h"

#include "serving/answer_rule_func.h"

#include <algorithm>

namespace monsooncroft::serving {

bool
HedgeIsUseful(const answer_requirements& aRequirements,
              model::duration aExpected,
              model::duration aUsual,
              model::instant aNow)
{
  const bool partialIsDue = aNow >= aRequirements.mPartialAnswerAt;
  const model::instant neededBy =
    partialIsDue ? aRequirements.mDeadline : aRequirements.mPartialAnswerAt;
  return aExpected <= std::max(aUsual, neededBy - aNow);
}

} // namespace monsooncroft::serving
