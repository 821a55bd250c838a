/**
 * @file gossip_table.cpp
 * Merging, expiry and digests of rumours.
 */
#include "cluster/gossip_table_base.h"

#include "cluster/rendezvous_func.h"

#include <algorithm>

namespace monsooncroft::cluster {

namespace {

std::uint64_t
HashOfKey(const gossip_key& aKey)
{
  return HashOf(std::to_string(static_cast<int>(aKey.mKind)) + "/" +
                aKey.mName);
}

std::uint64_t
HashOfEntry(const gossip_update& aRumour)
{
  const auto expires = aRumour.mExpires.time_since_epoch().count();
  const auto order =
    std::to_string(aRumour.mVersion) + "/" + std::to_string(expires) + "/";
  return RendezvousWeight(HashOfKey(aRumour.mKey),
                          HashOf(order + aRumour.mPayload));
}

} // namespace

gossip_table::gossip_table(std::size_t aLimit)
  : mLimit(aLimit)
{
}

bool
gossip_table::Merge(const gossip_update& aRumour, model::wall_instant aNow)
{
  const auto size = aRumour.mKey.mName.size() + aRumour.mPayload.size();
  if (aRumour.mExpires <= aNow || size > kMaxUpdateBytes) {
    return false;
  }
  const auto found = mEntries.find(aRumour.mKey);
  if (found != mEntries.end()) {
    if (!Supersedes(aRumour, found->second)) {
      return false;
    }
    ToggleInDigest(found->second);
    found->second = aRumour;
    ToggleInDigest(aRumour);
    return true;
  }
  mEntries.emplace(aRumour.mKey, aRumour);
  ToggleInDigest(aRumour);
  EvictIfFull();
  return mEntries.count(aRumour.mKey) != 0;
}

void
gossip_table::EvictIfFull()
{
  if (mEntries.size() <= mLimit) {
    return;
  }
  const auto first =
    std::min_element(mEntries.begin(),
                     mEntries.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.mExpires < aRight.second.mExpires;
                     });
  Erase(first);
}

void
gossip_table::Expire(model::wall_instant aNow)
{
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    const auto current = entry++;
    if (current->second.mExpires <= aNow) {
      Erase(current);
    }
  }
}

void
gossip_table::Erase(entries::iterator aEntry)
{
  ToggleInDigest(aEntry->second);
  mEntries.erase(aEntry);
}

void
gossip_table::ToggleInDigest(const gossip_update& aRumour)
{
  mBuckets[BucketOf(HashOfKey(aRumour.mKey))] ^= HashOfEntry(aRumour);
}

const gossip_update*
gossip_table::Find(const gossip_key& aKey) const
{
  const auto found = mEntries.find(aKey);
  return found == mEntries.end() ? nullptr : &found->second;
}

std::vector<gossip_update>
gossip_table::UpdatesOfKind(gossip_kind aKind) const
{
  std::vector<gossip_update> found;
  for (const auto& [key, entry] : mEntries) {
    if (key.mKind == aKind) {
      found.push_back(entry);
    }
  }
  return found;
}

std::vector<gossip_update>
gossip_table::DifferingUpdates(const bucket_digests& aTheirs) const
{
  std::vector<gossip_update> found;
  for (const auto& [key, entry] : mEntries) {
    const auto bucket = BucketOf(HashOfKey(key));
    if (mBuckets[bucket] != aTheirs[bucket]) {
      found.push_back(entry);
    }
  }
  return found;
}

} // namespace monsooncroft::cluster
