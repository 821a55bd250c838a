/**
 * @file shard_omission.cpp
 * Chooses the shards to which a fan-out sends no request.
 */
#include "serving/shard_omission_func.h"

#include "model/time_func.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** A shard counts as slow above this multiple of the usual expected latency. */
constexpr int kSlowFactor = 2;

/** Lower quartile: as long as a quarter of the shards is not slow, the slow
 * ones do not change it. */
model::duration
UsualLatency(std::vector<model::duration> aExpected)
{
  const auto quartile =
    aExpected.begin() + static_cast<std::ptrdiff_t>(aExpected.size() / 4);
  std::nth_element(aExpected.begin(), quartile, aExpected.end());
  return *quartile;
}

} // namespace

std::vector<std::size_t>
ChooseOmittedShards(const std::vector<model::duration>& aExpected,
                    model::duration aTimeLimit,
                    std::size_t aMaxOmitted)
{
  if (aExpected.empty() || aMaxOmitted == 0) {
    return {};
  }
  const auto usual = UsualLatency(aExpected);
  const auto lateAbove =
    std::max(model::ScaleDuration(aTimeLimit, kLateFraction),
             std::min(usual, aTimeLimit) * kSlowFactor);
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
