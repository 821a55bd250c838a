/**
 * @file member_view.cpp
 * Look-ups in a view of the members.
 */
#include "cluster/member_view_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::cluster {

member_view::member_view(std::uint64_t aEpoch, lists aLists)
  : mEpoch(aEpoch)
  , mLists(std::move(aLists))
{
}

member_list_ptr
member_view::MembersIn(const model::data_centre_id& aDataCentre) const
{
  static const auto kNoMembers = std::make_shared<const member_list>();
  const auto found = mLists.find(aDataCentre);
  return found == mLists.end() ? kNoMembers : found->second;
}

const member*
member_view::Find(const model::instance_id& aId) const
{
  for (const auto& [dataCentre, list] : mLists) {
    const auto found = std::lower_bound(
      list->begin(),
      list->end(),
      aId,
      [](const member& aMember, const model::instance_id& aKey) {
        return aMember.mId < aKey;
      });
    if (found != list->end() && found->mId == aId) {
      return &*found;
    }
  }
  return nullptr;
}

std::size_t
member_view::Count() const
{
  std::size_t count = 0;
  for (const auto& [dataCentre, list] : mLists) {
    count += list->size();
  }
  return count;
}

} // namespace monsooncroft::cluster
