/**
 * @file list_watch.cpp
 * Reading the instance list, and telling marks to the other instances.
 */
#include "entry/list_watch_base.h"

#include "cluster/rendezvous_func.h"
#include "entry/clock_func.h"
#include "entry/drain_rumour_func.h"
#include "entry/leaf_table_base.h"
#include "ops/log_base.h"
#include "peer/cluster_node_base.h"
#include "store/instance_list_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::entry {

namespace {

/** Between two readings by an instance that is no listener. */
constexpr std::chrono::seconds kSeldom{ 30 };
/** A mark that stands is told again after this, before it expires. */
constexpr std::chrono::seconds kTellAgain{ 10 };
/** The first seconds, in which peers are not known yet, count as listening. */
constexpr std::size_t kFewMembers = 2;

bool
IsListener(const peer::cluster_node& aNode, const list_parts& aParts)
{
  const cluster::member_list_ptr members =
    aNode.View()->MembersIn(aParts.mDataCentre);
  if (members->size() < kFewMembers) {
    return true;
  }
  const auto listeners = cluster::HeadWatchers(aParts.mDataCentre, *members);
  return std::find(listeners.begin(), listeners.end(), aParts.mSelf) !=
         listeners.end();
}

} // namespace

list_watch::list_watch(list_parts aParts)
  : mParts(std::move(aParts))
{
}

void
list_watch::Poll(peer::cluster_node& aNode, model::instant aNow)
{
  const bool listener = IsListener(aNode, mParts);
  const bool due = listener || !mRead || aNow - *mRead >= kSeldom;
  if (due) {
    mRead = aNow;
    Read(aNode, listener);
  }
  TellOwn(aNode, aNow);
}

void
list_watch::Read(peer::cluster_node& aNode, bool aListener)
{
  const store::instances_outcome outcome = mParts.mList.List();
  if (outcome.mStatus != store::store_status::Ok) {
    mParts.mLog.Write(
      ops::log_level::Debug,
      "list_unavailable",
      { { "reason", std::string(store::ToString(outcome.mStatus)) } });
    return;
  }
  std::vector<cluster::listed_instance> entries;
  std::set<model::leaf_id> leaving;
  std::set<model::leaf_id> live;
  for (const store::listed_instance& listed : outcome.mInstances) {
    if (listed.mRole == store::instance_role::Entry) {
      entries.push_back({ model::instance_id(listed.mId),
                          listed.mDataCentre,
                          listed.mAddress,
                          listed.mLeaving });
    } else {
      (listed.mLeaving ? leaving : live).insert(model::leaf_id(listed.mId));
    }
  }
  aNode.OnInstanceList(entries);
  mParts.mLeaves.OnList(leaving, live);
  if (aListener) {
    TellListed(aNode, leaving);
  }
}

void
list_watch::TellListed(peer::cluster_node& aNode,
                       const std::set<model::leaf_id>& aLeaving)
{
  const model::wall_instant wall = WallNow();
  for (const model::leaf_id& leaf : aLeaving) {
    const mark_name name{ leaf, policy::drain_signal::List };
    const auto told = mTold.find(name);
    if (told != mTold.end() && Now() - told->second < kTellAgain) {
      continue;
    }
    mTold[name] = Now();
    told_mark mark;
    mark.mMark.mLeaf = leaf;
    mark.mListed = true;
    aNode.Publish(WriteDrainRumour(mark, wall));
  }
  for (const model::leaf_id& leaf : mListed) {
    if (aLeaving.count(leaf) > 0) {
      continue;
    }
    mTold.erase({ leaf, policy::drain_signal::List });
    told_mark mark;
    mark.mMark.mLeaf = leaf;
    mark.mListed = true;
    mark.mLifted = true;
    aNode.Publish(WriteDrainRumour(mark, wall));
  }
  mListed = aLeaving;
}

void
list_watch::TellOwn(peer::cluster_node& aNode, model::instant aNow)
{
  for (const policy::drain_mark& mark : mParts.mLeaves.Marks()) {
    if (mark.mSignal == policy::drain_signal::List) {
      continue;
    }
    const mark_name name{ mark.mLeaf, mark.mSignal };
    const auto told = mTold.find(name);
    // A mark that came from elsewhere is older than its telling here.
    const bool fresh = mark.mAge < kTellAgain;
    if (!fresh || (told != mTold.end() && aNow - told->second < kTellAgain)) {
      continue;
    }
    mTold[name] = aNow;
    aNode.Publish(WriteDrainRumour({ mark, false, false }, WallNow()));
  }
}

} // namespace monsooncroft::entry
