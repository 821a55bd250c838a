/**
 * @file permit_issuer.cpp
 * Issues permits for leaves that limit their rate, on behalf of all instances.
 */
#include "serving/permit_issuer_base.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Permits that can accumulate, as a time at the leaf's rate. */
constexpr double kBurstSeconds = 0.5;
/** Fewest permits that can accumulate besides the next one: at low rates,
 * requests rarely arrive just when a permit becomes available. */
constexpr double kMinBurst = 1;
/** Part of them that only the most urgent requests may take. */
constexpr double kUrgentShare = 0.3;
/** Time for which a request keeps less urgent ones from the last permits. */
constexpr std::chrono::seconds kUrgentMemory{ 2 };
constexpr std::chrono::seconds kBucketRetention{ 30 };

} // namespace

double
permit_issuer::Prepare(leaf_state& aLeaf,
                       const permit_item& aItem,
                       const permit_request& aRequest,
                       double aShare,
                       model::instant aNow) const
{
  const double rate = aItem.mPerSecond * aShare;
  const double burst = std::max(kMinBurst, rate * kBurstSeconds);
  aLeaf.mBucket.Advance(rate, 1 + burst, aNow);
  aLeaf.mLastRequest = aNow;
  if (aNow >= aLeaf.mUrgentUntil ||
      aRequest.mTargetLatencyMs <= aLeaf.mUrgentLatencyMs) {
    aLeaf.mUrgentLatencyMs = aRequest.mTargetLatencyMs;
    aLeaf.mUrgentUntil = aNow + kUrgentMemory;
  }
  const bool mayTakeLast =
    aRequest.mTargetLatencyMs <= aLeaf.mUrgentLatencyMs && !aRequest.mIsHedge;
  return mayTakeLast ? 1 : 1 + burst * kUrgentShare;
}

std::vector<permit_decision>
permit_issuer::Decide(const permit_request& aRequest,
                      double aShare,
                      model::instant aNow)
{
  std::vector<permit_decision> decisions;
  std::vector<leaf_state*> leaves;
  std::vector<std::chrono::milliseconds> waits;
  for (const permit_item& item : aRequest.mLeaves) {
    leaf_state& leaf = mLeaves.try_emplace(item.mLeafId, aNow).first->second;
    const double needed = Prepare(leaf, item, aRequest, aShare, aNow);
    const bool available = leaf.mBucket.Has(needed);
    decisions.push_back({ available, leaf.mBucket.TimeUntil(needed) });
    leaves.push_back(&leaf);
    waits.push_back(decisions.back().mRetryAfter);
  }
  const auto granted = static_cast<std::size_t>(
    std::count_if(decisions.begin(), decisions.end(), [](const auto& aEach) {
      return aEach.mGranted;
    }));
  const std::size_t required = std::min(aRequest.mRequired, decisions.size());
  if (granted < required) {
    std::sort(waits.begin(), waits.end());
    for (permit_decision& decision : decisions) {
      decision = { false, std::max(decision.mRetryAfter, waits[required - 1]) };
    }
    return decisions;
  }
  for (std::size_t index = 0; index < leaves.size(); ++index) {
    if (decisions[index].mGranted) {
      leaves[index]->mBucket.Take();
    }
  }
  return decisions;
}

void
permit_issuer::OnTimer(model::instant aNow)
{
  std::erase_if(mLeaves, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastRequest > kBucketRetention;
  });
}

} // namespace monsooncroft::serving
