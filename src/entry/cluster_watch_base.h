/**
 * @file cluster_watch_base.h
 * Takes over what the cluster says: manifests, members, drain marks.
 */
#ifndef MONSOONCROFT_ENTRY_CLUSTER_WATCH_BASE_H
#define MONSOONCROFT_ENTRY_CLUSTER_WATCH_BASE_H

#include "entry/manifest_assembler_base.h"
#include "entry/ranked_mutex_base.h"
#include "model/identifier_type.h"
#include "peer/cluster_node_base.h"

#include <functional>
#include <set>

namespace monsooncroft::ops {
class log;
}

namespace monsooncroft::entry {

class alarm_board;
class leaf_table;
class manifest_table;
class quarantine_desk;
class root_service;

/** What changes are handed to; all outlives the watch. */
struct watch_parts
{
  manifest_table& mManifests;
  leaf_table& mLeaves;
  root_service& mRoot;
  quarantine_desk& mQuarantine;
  const ops::log& mLog;
  alarm_board& mAlarms;
  model::instance_id mSelf;
  model::data_centre_id mDataCentre;
};

/** Thread safe; lock rank Tables. */
class cluster_watch : public peer::cluster_listener
{
public:
  /** @param aOwnersPerGroup Owners of each group; 0: every instance. */
  cluster_watch(watch_parts aParts, int aOwnersPerGroup);

  bool OnManifest(const cluster::manifest_head& aHead,
                  const std::vector<cluster::chunk>& aChunks) override;
  void OnMembers(const cluster::member_view_ptr& aView) override;
  void OnGossipUpdate(const cluster::gossip_update& aRumour) override;
  void OnAlarm(cluster::alarm_kind aKind, const std::string& aText) override;
  void OnPause(model::duration aGap) override;

  /** Called after each change of manifest or members. @pre Before any. */
  void SetChanged(std::function<void()> aChanged);

  /** Leaves that this instance owns; all of them when it is direct. */
  std::set<model::leaf_id> OwnedLeaves() const;

private:
  void ShareConnections();

  watch_parts mParts;
  manifest_assembler mAssembler; ///< Used by the node's one thread.
  int mOwnersPerGroup;
  std::function<void()> mChanged;
};

} // namespace monsooncroft::entry

#endif
