/**
 * @file rumour_table.cpp
 * Merging, expiry and digests of rumours.
 */
#include "cluster/rumour_table_base.h"

#include "cluster/rendezvous_func.h"

#include <algorithm>

namespace monsooncroft::cluster {

namespace {

std::uint64_t
HashOfKey(const rumour_key& aKey)
{
  return HashOf(std::to_string(static_cast<int>(aKey.mKind)) + "/" +
                aKey.mName);
}

std::uint64_t
HashOfEntry(const rumour& aRumour)
{
  const auto expires = aRumour.mExpires.time_since_epoch().count();
  const auto order =
    std::to_string(aRumour.mVersion) + "/" + std::to_string(expires) + "/";
  return RendezvousWeight(HashOfKey(aRumour.mKey),
                          HashOf(order + aRumour.mPayload));
}

} // namespace

rumour_table::rumour_table(std::size_t aLimit)
  : mLimit(aLimit)
{
}

bool
rumour_table::Merge(const rumour& aRumour, model::wall_instant aNow)
{
  const auto size = aRumour.mKey.mName.size() + aRumour.mPayload.size();
  if (aRumour.mExpires <= aNow || size > kMaxRumourBytes) {
    return false;
  }
  const auto found = mEntries.find(aRumour.mKey);
  if (found != mEntries.end()) {
    if (!Supersedes(aRumour, found->second)) {
      return false;
    }
    Toggle(found->second);
    found->second = aRumour;
    Toggle(aRumour);
    return true;
  }
  mEntries.emplace(aRumour.mKey, aRumour);
  Toggle(aRumour);
  EvictOne();
  return mEntries.count(aRumour.mKey) != 0;
}

void
rumour_table::EvictOne()
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
rumour_table::Expire(model::wall_instant aNow)
{
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    const auto current = entry++;
    if (current->second.mExpires <= aNow) {
      Erase(current);
    }
  }
}

void
rumour_table::Erase(entries::iterator aEntry)
{
  Toggle(aEntry->second);
  mEntries.erase(aEntry);
}

void
rumour_table::Toggle(const rumour& aRumour)
{
  mBuckets[BucketOf(HashOfKey(aRumour.mKey))] ^= HashOfEntry(aRumour);
}

const rumour*
rumour_table::Find(const rumour_key& aKey) const
{
  const auto found = mEntries.find(aKey);
  return found == mEntries.end() ? nullptr : &found->second;
}

std::vector<rumour>
rumour_table::OfKind(rumour_kind aKind) const
{
  std::vector<rumour> found;
  for (const auto& [key, entry] : mEntries) {
    if (key.mKind == aKind) {
      found.push_back(entry);
    }
  }
  return found;
}

std::vector<rumour>
rumour_table::Differing(const bucket_digests& aTheirs) const
{
  std::vector<rumour> found;
  for (const auto& [key, entry] : mEntries) {
    const auto bucket = BucketOf(HashOfKey(key));
    if (mBuckets[bucket] != aTheirs[bucket]) {
      found.push_back(entry);
    }
  }
  return found;
}

} // namespace monsooncroft::cluster
