/**
 * @file member_table.cpp
 * Merging of claims, and the digests and views of the members.
 */
#include "cluster/member_table_base.h"

#include "cluster/rendezvous_func.h"

#include <utility>

namespace monsooncroft::cluster {

namespace {

std::uint64_t
HashOfClaim(const member& aMember)
{
  const bool leaving = aMember.mState == member_state::Leaving;
  const auto text = aMember.mPeer.ToString() + "/" +
                    std::to_string(aMember.mIncarnation) +
                    (leaving ? "/leaving" : "");
  return RendezvousWeight(HashOf(aMember.mId.Value()), HashOf(text));
}

} // namespace

bool
member_table::Merge(const member& aClaim)
{
  const auto found = mMembers.find(aClaim.mId);
  if (found == mMembers.end()) {
    mMembers.emplace(aClaim.mId, aClaim);
    ToggleInDigest(aClaim);
    MarkChanged(aClaim.mDataCentre);
    return true;
  }
  if (!Supersedes(aClaim, found->second)) {
    return false;
  }
  ToggleInDigest(found->second);
  MarkChanged(found->second.mDataCentre);
  found->second = aClaim;
  ToggleInDigest(aClaim);
  MarkChanged(aClaim.mDataCentre);
  return true;
}

void
member_table::Erase(const model::instance_id& aId)
{
  const auto found = mMembers.find(aId);
  if (found == mMembers.end()) {
    return;
  }
  ToggleInDigest(found->second);
  MarkChanged(found->second.mDataCentre);
  mMembers.erase(found);
}

const member*
member_table::Find(const model::instance_id& aId) const
{
  const auto found = mMembers.find(aId);
  return found == mMembers.end() ? nullptr : &found->second;
}

void
member_table::ToggleInDigest(const member& aMember)
{
  if (aMember.mState == member_state::Dead) {
    return;
  }
  auto& buckets = mDigests[aMember.mDataCentre];
  buckets[BucketOf(HashOf(aMember.mId.Value()))] ^= HashOfClaim(aMember);
}

void
member_table::MarkChanged(const model::data_centre_id& aDataCentre)
{
  ++mEpoch;
  mChangedDataCentres.insert(aDataCentre);
}

member_view_ptr
member_table::View() const
{
  if (mView && mChangedDataCentres.empty()) {
    return mView;
  }
  auto lists = mView ? mView->Lists() : member_view::lists();
  std::map<model::data_centre_id, member_list> rebuilt;
  for (const auto& [id, entry] : mMembers) {
    const bool changed = mChangedDataCentres.count(entry.mDataCentre) != 0;
    if (changed && entry.mState != member_state::Dead) {
      rebuilt[entry.mDataCentre].push_back(entry);
    }
  }
  for (const auto& dataCentre : mChangedDataCentres) {
    lists.erase(dataCentre);
  }
  for (auto& [dataCentre, list] : rebuilt) {
    lists[dataCentre] = std::make_shared<const member_list>(std::move(list));
  }
  mChangedDataCentres.clear();
  mView = std::make_shared<const member_view>(mEpoch, std::move(lists));
  return mView;
}

std::vector<member>
member_table::DifferingMembers(const model::data_centre_id& aDataCentre,
                               const bucket_digests& aTheirs) const
{
  std::vector<member> differing;
  const auto digests = mDigests.find(aDataCentre);
  const auto ours =
    digests == mDigests.end() ? bucket_digests{} : digests->second;
  for (const auto& [id, entry] : mMembers) {
    const auto bucket = BucketOf(HashOf(id.Value()));
    const bool differs = ours[bucket] != aTheirs[bucket];
    if (entry.mDataCentre == aDataCentre && differs) {
      differing.push_back(entry);
    }
  }
  return differing;
}

} // namespace monsooncroft::cluster
