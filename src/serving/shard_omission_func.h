/**
 * @file shard_omission_func.h
 * Chooses the shards to which a fan-out sends no request.
 */
#ifndef MONSOONCROFT_SERVING_SHARD_OMISSION_FUNC_H
#define MONSOONCROFT_SERVING_SHARD_OMISSION_FUNC_H

#include "model/time_type.h"

#include <cstddef>
#include <vector>

namespace monsooncroft::serving {

/** Fraction of the time limit above which a shard's expected latency counts as
 * late: single answers vary by about the remaining fraction. */
constexpr double kLateFraction = 0.8;

/**
 * Omits slow shards when replicas are slow in several shards at once. With one
 * of two replicas slow, the demand on a shard exceeds its remaining capacity,
 * every fan-out waits for the same few shards, and all answers are late. An
 * answer needs only a minimum share of the shards, so each fan-out omits the
 * shards that are expected to be late, the slowest first, as far as the answer
 * allows. The demand on the slow shards falls below their capacity, and since
 * each fan-out omits the slowest ones of the moment, the omissions are spread
 * over them.
 * A shard that is as fast as most others is kept even if it is late: what
 * delays all of them, such as this machine's own load, is not shortened by
 * omissions, and the answer needs spare shards for leaves that pause.
 * @param aExpected Expected latency of each shard.
 * @param aTimeLimit Time within which a shard's answer is useful.
 * @param aMaxOmitted Shards that the answer may lack.
 * @return Indices of the shards to omit.
 */
std::vector<std::size_t>
ChooseOmittedShards(const std::vector<model::duration>& aExpected,
                    model::duration aTimeLimit,
                    std::size_t aMaxOmitted);

} // namespace monsooncroft::serving

#endif
