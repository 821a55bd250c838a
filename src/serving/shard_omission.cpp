/**
 * @file shard_omission.cpp
 * Which shards a fan-out leaves out from the beginning.
 */
#include "serving/shard_omission_func.h"

#include "model/time_func.h"

#include <algorithm>

namespace monsooncroft::serving {

std::vector<std::size_t>
ChooseOmittedShards(const std::vector<model::duration>& aExpected,
                    model::duration aTime,
                    std::size_t aMost)
{
  const auto most = model::ScaleDuration(aTime, kLateFraction);
  std::vector<std::size_t> late;
  for (std::size_t place = 0; place < aExpected.size(); ++place) {
    if (aExpected[place] > most) {
      late.push_back(place);
    }
  }
  std::sort(
    late.begin(), late.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aExpected[aLeft] > aExpected[aRight];
    });
  late.resize(std::min(late.size(), aMost));
  return late;
}

} // namespace monsooncroft::serving
