/**
 * @file shard_omission.cpp
 * Chooses the shards to which a fan-out sends no request.
 */
#include "serving/shard_omission_func.h"

#include "model/time_func.h"

#include <algorithm>

namespace monsooncroft::serving {

std::vector<std::size_t>
ChooseOmittedShards(const std::vector<model::duration>& aExpected,
                    model::duration aTimeLimit,
                    std::size_t aMaxOmitted)
{
  const auto lateAbove = model::ScaleDuration(aTimeLimit, kLateFraction);
  std::vector<std::size_t> late;
  for (std::size_t shard = 0; shard < aExpected.size(); ++shard) {
    if (aExpected[shard] > lateAbove) {
      late.push_back(shard);
    }
  }
  std::sort(
    late.begin(), late.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aExpected[aLeft] > aExpected[aRight];
    });
  late.resize(std::min(late.size(), aMaxOmitted));
  return late;
}

} // namespace monsooncroft::serving
