/**
 * @file home_instance.cpp
 * Rendezvous hash of keys over instances.
 */
#include "once/home_instance_func.h"

#include <xxhash.h>

namespace monsooncroft::once {

const model::instance_id*
HomeInstance(std::string_view aKey,
             const std::vector<model::instance_id>& aLive)
{
  const std::uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  const model::instance_id* best = nullptr;
  std::uint64_t bestScore = 0;
  for (const model::instance_id& instance : aLive) {
    const std::string& name = instance.Value();
    const std::uint64_t score =
      XXH3_64bits_withSeed(name.data(), name.size(), seed);
    const bool tie = score == bestScore && best != nullptr;
    if (best == nullptr || score > bestScore || (tie && instance < *best)) {
      best = &instance;
      bestScore = score;
    }
  }
  return best;
}

} // namespace monsooncroft::once
