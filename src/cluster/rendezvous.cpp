/**
 * @file rendezvous.cpp
 * Rendezvous hashing over the members.
 */
#include "cluster/rendezvous_func.h"

#include <algorithm>
#include <string>
#include <utility>
#include <xxhash.h>

namespace monsooncroft::cluster {

namespace {

using weighted = std::pair<std::uint64_t, const member*>;

/**
 * Orders by descending weight. Equal weights are ordered by id, so that all
 * instances agree.
 */
bool
GoesFirst(const weighted& aLeft, const weighted& aRight)
{
  if (aLeft.first != aRight.first) {
    return aLeft.first > aRight.first;
  }
  return aLeft.second->mId < aRight.second->mId;
}

} // namespace

std::uint64_t
HashOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::uint64_t
RendezvousWeight(std::uint64_t aKeyHash, std::uint64_t aMemberHash)
{
  return XXH3_64bits_withSeed(&aMemberHash, sizeof(aMemberHash), aKeyHash);
}

std::vector<model::instance_id>
RankByRendezvous(std::string_view aKey,
                 const member_list& aMembers,
                 std::size_t aCount)
{
  const auto key = HashOf(aKey);
  std::vector<weighted> ranked;
  ranked.reserve(aMembers.size());
  for (const auto& candidate : aMembers) {
    if (TakesWork(candidate)) {
      const auto hash = HashOf(candidate.mId.Value());
      ranked.emplace_back(RendezvousWeight(key, hash), &candidate);
    }
  }
  const auto count = std::min(aCount, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), end, ranked.end(), GoesFirst);
  std::vector<model::instance_id> best;
  best.reserve(count);
  for (auto entry = ranked.begin(); entry != end; ++entry) {
    best.push_back(entry->second->mId);
  }
  return best;
}

std::vector<model::instance_id>
HeadWatchers(const model::data_centre_id& aDataCentre,
             const member_list& aMembers)
{
  return RankByRendezvous(
    "listener/" + aDataCentre.Value(), aMembers, kHeadWatchersPerDataCentre);
}

model::instance_id
HomeOf(std::string_view aBucket, const member_list& aMembers)
{
  const auto best =
    RankByRendezvous("bucket/" + std::string(aBucket), aMembers, 1);
  return best.empty() ? model::instance_id() : best.front();
}

} // namespace monsooncroft::cluster
