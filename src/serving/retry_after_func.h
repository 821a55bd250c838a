/**
 * @file retry_after_func.h
 * Times after which requests may be sent again.
 */
#ifndef MONSOONCROFT_SERVING_RETRY_AFTER_FUNC_H
#define MONSOONCROFT_SERVING_RETRY_AFTER_FUNC_H

#include "model/time_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace monsooncroft::serving {

/** A pause that a leaf asked for. */
struct requested_pause
{
  model::duration mDuration{ 0 };
  bool mIsCut = false; ///< The leaf asked for more than the maximum.

  bool operator==(const requested_pause&) const = default;
};

/**
 * Parses a Retry-After value in seconds, which may have a fraction.
 * @return Nothing if it is not a number or negative.
 */
std::optional<requested_pause>
ParseRetryAfter(std::string_view aValue, model::duration aMax);

/**
 * Time until enough shards can be queried.
 * @param aShardDelays Time until each shard can be queried; 0 for now.
 * @param aRequiredShards Number of shards that an answer needs.
 */
model::duration
ReturnDelay(std::vector<model::duration> aShardDelays,
            std::size_t aRequiredShards);

} // namespace monsooncroft::serving

#endif
