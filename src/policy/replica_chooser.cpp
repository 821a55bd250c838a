/**
 * @file replica_chooser.cpp
 * Ranks and order of a shard's candidates.
 */
#include "policy/replica_chooser_base.h"

#include <map>

namespace monsooncroft::policy {

namespace {

constexpr int kSuspectedRank = 4; ///< Behind all usable candidates.
constexpr int kRemoteRank = 2;
constexpr int kStartingRank = 1;

} // namespace

int
replica_chooser::Rank(const replica_state& aReplica)
{
  int rank = aReplica.mSuspected ? kSuspectedRank : 0;
  rank += aReplica.mLocal ? 0 : kRemoteRank;
  if (aReplica.mLoadShare < 1) {
    std::uniform_real_distribution<double> draw(0, 1);
    rank += draw(mRandom) < aReplica.mLoadShare ? 0 : kStartingRank;
  }
  return rank;
}

std::size_t
replica_chooser::RandomIndex(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
}

std::vector<target_id>
replica_chooser::Order(const std::vector<replica_state>& aReplicas)
{
  std::map<int, std::vector<const replica_state*>> ranks;
  for (const replica_state& each : aReplicas) {
    if (!each.mLeaving) {
      ranks[Rank(each)].push_back(&each);
    }
  }
  std::vector<target_id> out;
  for (auto& [rank, remaining] : ranks) {
    while (!remaining.empty()) {
      const std::size_t first = RandomIndex(remaining.size());
      const std::size_t offset =
        remaining.size() > 1 ? RandomIndex(remaining.size() - 1) + 1 : 0;
      const std::size_t second = (first + offset) % remaining.size();
      const bool secondIsShorter =
        remaining[second]->mEstimatedWait < remaining[first]->mEstimatedWait;
      const std::size_t best = secondIsShorter ? second : first;
      out.push_back(remaining[best]->mTarget);
      remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(best));
    }
  }
  return out;
}

} // namespace monsooncroft::policy
