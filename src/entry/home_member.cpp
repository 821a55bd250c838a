/**
 * @file home_member.cpp
 * Choosing a key's home.
 */
#include "entry/home_member_func.h"

#include "once/home_instance_func.h"

#include <algorithm>

namespace monsooncroft::entry {

cluster::member
HomeMember(const std::string& aKey,
           const cluster::member_view_ptr& aView,
           const model::instance_id& aSelf,
           const std::vector<model::instance_id>& aExcept)
{
  cluster::member self;
  self.mId = aSelf;
  if (!aView) {
    return self;
  }
  std::vector<model::instance_id> live;
  for (const auto& [dataCentre, members] : aView->Lists()) {
    for (const cluster::member& member : *members) {
      const bool reachable =
        std::find(aExcept.begin(), aExcept.end(), member.mId) == aExcept.end();
      if (reachable && member.mState == cluster::member_state::Alive) {
        live.push_back(member.mId);
      }
    }
  }
  const model::instance_id* home = once::HomeInstance(aKey, live);
  const cluster::member* found = home == nullptr ? nullptr : aView->Find(*home);
  return found == nullptr ? self : *found;
}

} // namespace monsooncroft::entry
