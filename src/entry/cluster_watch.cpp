/**
 * @file cluster_watch.cpp
 * From the cluster's news to this instance's tables.
 */
#include "entry/cluster_watch_base.h"

#include "entry/alarm_board_base.h"
#include "entry/drain_rumour_func.h"
#include "entry/leaf_table_base.h"
#include "entry/manifest_table_base.h"
#include "entry/quarantine_desk_base.h"
#include "entry/root_service_base.h"
#include "ops/log_base.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::entry {

namespace {

const char*
WordOf(cluster::alarm_kind aKind)
{
  switch (aKind) {
    case cluster::alarm_kind::LowerHead:
      return "lower_head";
    case cluster::alarm_kind::ForkedHead:
      return "forked_head";
    case cluster::alarm_kind::MalformedHead:
      return "malformed_head";
    case cluster::alarm_kind::WrongHash:
      return "wrong_hash";
    case cluster::alarm_kind::InvalidManifest:
      return "manifest_refused";
  }
  return "unknown";
}

} // namespace

cluster_watch::cluster_watch(watch_parts aParts, int aOwnersPerGroup)
  : mParts(std::move(aParts))
  , mOwnersPerGroup(aOwnersPerGroup)
{
}

void
cluster_watch::SetChanged(std::function<void()> aChanged)
{
  mChanged = std::move(aChanged);
}

bool
cluster_watch::OnManifest(const cluster::manifest_head& aHead,
                          const std::vector<cluster::chunk>& aChunks)
{
  auto assembled = mAssembler.Assemble(aHead, aChunks);
  if (!assembled) {
    for (const config::config_error& error : assembled.error()) {
      mParts.mAlarms.Raise("manifest_refused", config::ToString(error));
    }
    return false;
  }
  const auto manifest =
    std::make_shared<const model::manifest>(std::move(assembled.value()));
  if (!mParts.mManifests.Adopt(manifest)) {
    return true;
  }
  ShareConnections();
  mParts.mRoot.OnManifest(*manifest);
  mParts.mLog.Write(ops::log_level::Info,
                    "manifest_in_force",
                    { { "manifest", static_cast<long>(aHead.mVersion) } });
  return true;
}

void
cluster_watch::OnMembers(const cluster::member_view_ptr& aView)
{
  mParts.mManifests.SetView(aView);
  mParts.mRoot.OnMembers(static_cast<int>(aView->Count()));
  ShareConnections();
  mParts.mLog.Write(ops::log_level::Info,
                    "members_changed",
                    { { "members", static_cast<long>(aView->Count()) } });
}

/** How many instances may hold connections to one leaf at a time. */
void
cluster_watch::ShareConnections()
{
  const model::manifest_ptr manifest = mParts.mManifests.Current();
  if (!manifest) {
    return;
  }
  int owners = mOwnersPerGroup;
  if (owners == 0) {
    const cluster::member_view_ptr view = mParts.mManifests.View();
    owners = view ? static_cast<int>(view->Count()) : 1;
  }
  mParts.mLeaves.Adopt(*manifest, std::max(1, owners));
  mChanged();
}

void
cluster_watch::OnGossipUpdate(const cluster::gossip_update& aRumour)
{
  mParts.mQuarantine.OnRumour(aRumour);
  if (const auto mark = ReadDrainRumour(aRumour)) {
    if (mark->mListed) {
      const std::set<model::leaf_id> leaf{ mark->mMark.mLeaf };
      const std::set<model::leaf_id> none;
      mParts.mLeaves.OnList(mark->mLifted ? none : leaf,
                            mark->mLifted ? leaf : none);
    } else {
      mParts.mLeaves.OnMark(mark->mMark);
    }
  }
}

void
cluster_watch::OnAlarm(cluster::alarm_kind aKind, const std::string& aText)
{
  mParts.mAlarms.Raise(WordOf(aKind), aText);
}

void
cluster_watch::OnPause(model::duration aGap)
{
  mParts.mLog.Write(ops::log_level::Warning,
                    "paused",
                    { { "gap_ms", static_cast<long>(aGap.count() / 1000) } });
}

std::set<model::leaf_id>
cluster_watch::OwnedLeaves() const
{
  std::set<model::leaf_id> owned;
  const cluster::ownership_ptr owners = mParts.mManifests.Owners();
  if (!owners) {
    return owned;
  }
  for (const model::service& service : owners->Manifest()->Services()) {
    for (const cluster::leaf_group& group : owners->GroupsOf(service.mId)) {
      if (mOwnersPerGroup == 0 || owners->Owns(mParts.mSelf, group)) {
        owned.insert(group.mLeaves.begin(), group.mLeaves.end());
      }
    }
  }
  return owned;
}

} // namespace monsooncroft::entry
