/**
 * @file local_permits.cpp
 * This instance's own share of leaves' rate limits.
 */
#include "serving/local_permits_base.h"

namespace monsooncroft::serving {

namespace {

constexpr std::chrono::minutes kBucketRetention{ 2 };

} // namespace

permit_decision
local_permits::Decide(const permit_item& aItem,
                      std::size_t aInstances,
                      model::instant aNow)
{
  auto found = mLeaves.find(aItem.mLeafId);
  if (found == mLeaves.end()) {
    const double level = std::uniform_real_distribution<double>(0, 1)(mRandom);
    found =
      mLeaves
        .emplace(aItem.mLeafId, leaf_state{ token_bucket(level, aNow), aNow })
        .first;
  }
  leaf_state& leaf = found->second;
  leaf.mLastRequest = aNow;
  leaf.mBucket.Advance(
    aItem.mPerSecond /
      static_cast<double>(std::max<std::size_t>(1, aInstances)),
    1,
    aNow);
  if (!leaf.mBucket.Has(1)) {
    return { false, leaf.mBucket.TimeUntil(1) };
  }
  leaf.mBucket.Take();
  return { true, {} };
}

void
local_permits::OnTimer(model::instant aNow)
{
  std::erase_if(mLeaves, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastRequest > kBucketRetention;
  });
}

} // namespace monsooncroft::serving
