/**
 * @file shard_omission_func.h
 * Which shards a fan-out leaves out from the beginning.
 */
#ifndef MONSOONCROFT_SERVING_SHARD_OMISSION_FUNC_H
#define MONSOONCROFT_SERVING_SHARD_OMISSION_FUNC_H

#include "model/time_type.h"

#include <cstddef>
#include <vector>

namespace monsooncroft::serving {

/** A shard whose expected latency takes more than this part of the time is
 * late often enough: single answers spread about as widely as that. */
constexpr double kLateFraction = 0.8;

/**
 * Answers the load of replicas that are slow in several shards at once: with
 * one of two replicas slow, a shard's demand exceeds what is left, every
 * fan-out waits for the same few shards, and all come late. An answer needs
 * only its least share, so each fan-out leaves out the shards that are expected
 * to come too late, the latest first, up to what the answer may lack. The
 * demand on the slow shards falls below what they can serve, and since each
 * fan-out picks the worst ones of the moment, the cut is spread over them.
 * @param aExpected Expected latency of each shard.
 * @param aTime Time in which a shard's answer is of use.
 * @param aMost Shards that the answer may lack.
 * @return Places of the shards to leave out.
 */
std::vector<std::size_t>
ChooseOmittedShards(const std::vector<model::duration>& aExpected,
                    model::duration aTime,
                    std::size_t aMost);

} // namespace monsooncroft::serving

#endif
