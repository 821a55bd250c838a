/**
 * @file gossip_table.cpp
 * Merging, expiry and digests of gossip updates.
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
HashOfEntry(const gossip_update& aUpdate)
{
  const auto expires = aUpdate.mExpires.time_since_epoch().count();
  const auto order =
    std::to_string(aUpdate.mVersion) + "/" + std::to_string(expires) + "/";
  return RendezvousWeight(HashOfKey(aUpdate.mKey),
                          HashOf(order + aUpdate.mPayload));
}

} // namespace

gossip_table::gossip_table(std::size_t aLimit)
  : mLimit(aLimit)
{
}

bool
gossip_table::Merge(const gossip_update& aUpdate, model::wall_instant aNow)
{
  const auto size = aUpdate.mKey.mName.size() + aUpdate.mPayload.size();
  if (aUpdate.mExpires <= aNow || size > kMaxUpdateBytes) {
    return false;
  }
  const auto found = mEntries.find(aUpdate.mKey);
  if (found != mEntries.end()) {
    if (!Supersedes(aUpdate, found->second)) {
      return false;
    }
    ToggleInDigest(found->second);
    found->second = aUpdate;
    ToggleInDigest(aUpdate);
    return true;
  }
  mEntries.emplace(aUpdate.mKey, aUpdate);
  ToggleInDigest(aUpdate);
  EvictIfFull();
  return mEntries.count(aUpdate.mKey) != 0;
}

void
gossip_table::EvictIfFull()
{
  if (mEntries.size() <= mLimit) {
    return;
  }
  const auto earliest =
    std::min_element(mEntries.begin(),
                     mEntries.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.mExpires < aRight.second.mExpires;
                     });
  Erase(earliest);
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
gossip_table::ToggleInDigest(const gossip_update& aUpdate)
{
  mBuckets[BucketOf(HashOfKey(aUpdate.mKey))] ^= HashOfEntry(aUpdate);
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
  std::vector<gossip_update> updates;
  for (const auto& [key, entry] : mEntries) {
    if (key.mKind == aKind) {
      updates.push_back(entry);
    }
  }
  return updates;
}

std::vector<gossip_update>
gossip_table::DifferingUpdates(const bucket_digests& aTheirs) const
{
  std::vector<gossip_update> differing;
  for (const auto& [key, entry] : mEntries) {
    const auto bucket = BucketOf(HashOfKey(key));
    if (mBuckets[bucket] != aTheirs[bucket]) {
      differing.push_back(entry);
    }
  }
  return differing;
}

} // namespace monsooncroft::cluster
