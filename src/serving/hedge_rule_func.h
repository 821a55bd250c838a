/**
 * @file hedge_rule_func.h
 * Decides whether a second attempt at a shard can still help its request.
 */
#ifndef MONSOONCROFT_SERVING_HEDGE_RULE_FUNC_H
#define MONSOONCROFT_SERVING_HEDGE_RULE_FUNC_H

#include "model/time_type.h"

namespace monsooncroft::serving {

struct answer_requirements;

/**
 * Until the time of a partial answer, a hedge helps if it is expected by then.
 * A request that is still open after that time lacks shards that its answer
 * needs, as when most replicas of several shards are slow or do not respond at
 * once: a late answer is better than none, so a hedge helps if it is expected
 * before the deadline.
 * @param aExpected Expected time until the answer of the hedge.
 * @param aUsual Time in which most attempts are answered. A hedge that is
 * expected within it is always useful.
 */
bool
HedgeIsUseful(const answer_requirements& aRequirements,
              model::duration aExpected,
              model::duration aUsual,
              model::instant aNow);

} // namespace monsooncroft::serving

#endif
