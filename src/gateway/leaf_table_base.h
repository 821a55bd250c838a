/**
 * @file leaf_table_base.h
 * All leaves known to this instance.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_TABLE_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_TABLE_BASE_H

#include "gateway/leaf_endpoint_base.h"
#include "serving/data_centre_reachability_base.h"
#include "serving/fleet_type.h"
#include "serving/leaf_directory_base.h"
#include "serving/leaf_notice_table_base.h"
#include "serving/recent_demand_base.h"
#include "serving/routing_config_base.h"

#include <map>
#include <set>
#include <unordered_map>

namespace monsooncroft::gateway {

/** Leaves by id and by service, with this instance's connections to them. */
class leaf_table
{
public:
  /**
   * @param aSelf Name of this instance, which decides its allocation of
   * connections.
   * @param aDataCentre Data centre of this instance.
   */
  leaf_table(event_loop& aLoop,
             const header_names& aHeaderNames,
             leaf_observer& aObserver,
             std::string aSelf,
             std::string aDataCentre);
  ~leaf_table();
  leaf_table(const leaf_table&) = delete;
  leaf_table& operator=(const leaf_table&) = delete;
  leaf_table(leaf_table&&) = delete;
  leaf_table& operator=(leaf_table&&) = delete;

  using leaf_list = std::vector<leaf_endpoint_ptr>;

  void Apply(const serving::leaf_directory::changes& aChanges,
             model::instant aNow);
  /**
   * @param aInstances Number of instances that hold connections, including
   * recently lost ones.
   * @param aShardInstances Number of instances that keep connections to leaves
   * of shards, if this is one of them; nothing if it keeps none.
   */
  void AllocateConnections(
    const serving::routing_config* aConfig,
    const serving::fleet_size& aInstances,
    const std::optional<serving::fleet_size>& aShardInstances);
  /** Data centres that have leaves of any of the services. */
  std::set<std::string> DataCentresOf(
    const std::vector<std::string>& aServices) const;
  /** A leaf said in an answer that it is leaving. @return Whether this was not
   * known. */
  bool OnLeaving(const serving::leaf_registration& aLeaf,
                 model::instant aNow,
                 model::wall_instant aWallNow);
  /** A peer has got such an answer. @return Whether a leaf in use is leaving
   * that was not known to. */
  bool OnPeerReport(const serving::leaf_departure& aReport,
                    model::instant aNow);
  /** A leaf asked this instance for a pause. @return Whether it was not paused
   * before. */
  bool OnPause(const serving::leaf_registration& aLeaf,
               model::duration aPause,
               model::instant aNow,
               model::wall_instant aWallNow);
  /** Leaves that are leaving but registered as in use, for peers. Successive
   * calls return each of them in turn. */
  std::vector<serving::leaf_departure> NextDepartures(std::size_t aMaxCount);
  /** Forgets what leaves said that are gone for long. */
  void ForgetOldNotices(model::instant aNow);
  const leaf_list& LeavesOf(const std::string& aService) const;
  leaf_endpoint* Find(const std::string& aId);
  void OnTick(const serving::routing_config* aConfig, model::instant aNow);
  /** Leaves that this instance sees as unresponsive or refusing, to be sent to
   * peers. */
  std::vector<serving::leaf_suspicion> SuspectedLeaves(
    model::instant aNow) const;
  /** Handles a peer's report that a data centre is unreachable. @return Whether
   * this changes the state. */
  bool OnReportedUnreachable(const std::string& aDataCentre);
  /** Whether another data centre is unreachable. */
  bool AnyDataCentreUnreachable() const;
  std::size_t Size() const { return mById.size(); }
  /** Fraction of the services that have a responding leaf, from 0 to 1. */
  double ReachableFraction(const std::vector<std::string>& aServices,
                           model::instant aNow) const;
  /** Fraction of the recent demand that can be served now, from 0 to 1.
   * @param aHasRoot Whether another instance executes the fan-outs. */
  double ServableFraction(const serving::routing_config& aConfig,
                          const serving::recent_demand& aDemand,
                          bool aHasRoot,
                          model::instant aNow) const;

private:
  bool HasAnsweringLeaf(const std::string& aService, model::instant aNow) const;
  void Remove(const std::string& aId);
  void ApplyNotices(const std::string& aId, model::instant aNow);
  void UpdateReachability(model::instant aNow);

  event_loop& mLoop;
  const header_names& mHeaderNames;
  leaf_observer& mObserver;
  std::string mSelf;
  std::string mDataCentre;
  std::map<std::string, leaf_endpoint_ptr> mById;
  std::unordered_map<std::string, leaf_list> mByService;
  std::map<std::string, serving::data_centre_reachability>
    mReachability; ///< By data centre.
  std::size_t mProbeCount = 0;
  serving::leaf_notice_table mNotices;
  leaf_list mRetired; ///< Removed leaves, until their last attempt has ended.
};

} // namespace monsooncroft::gateway

#endif
