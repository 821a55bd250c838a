/**
 * @file leaf_table_base.h
 * All leaves that this instance knows.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_TABLE_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_TABLE_BASE_H

#include "gateway/leaf_endpoint_base.h"
#include "serving/data_centre_reachability_base.h"
#include "serving/fleet_type.h"
#include "serving/leaf_directory_base.h"
#include "serving/recent_demand_base.h"
#include "serving/routing_config_base.h"

#include <map>
#include <unordered_map>

namespace monsooncroft::gateway {

/** Leaves by id and by service, with their share of connections. */
class leaf_table
{
public:
  /**
   * @param aSelf Name of this instance, for its choice of leaves.
   * @param aDataCentre Its data centre.
   */
  leaf_table(event_loop& aLoop,
             const header_names& aNames,
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
  /** @param aInstances That hold connections, lately lost ones included. */
  void AllocateConnections(const serving::routing_config* aConfig,
                           const serving::fleet_size& aInstances);
  const leaf_list& LeavesOf(const std::string& aService) const;
  leaf_endpoint* Find(const std::string& aId);
  void OnTick(const serving::routing_config* aConfig, model::instant aNow);
  /** Leaves seen standing still or refusing, for the peers. */
  std::vector<serving::leaf_suspicion> SuspectedLeaves(
    model::instant aNow) const;
  /** A neighbour cannot reach a data centre. @return Whether that is news. */
  bool OnReportedUnreachable(const std::string& aDataCentre);
  /** Another data centre cannot be reached. */
  bool AnyDataCentreUnreachable() const;
  std::size_t Size() const { return mById.size(); }
  /** Share of a list of services that have a leaf which answers. */
  double ReachableFraction(const std::vector<std::string>& aServices,
                           model::instant aNow) const;
  /** Share of the demand whose routes could be served now. */
  double ServableFraction(const serving::routing_config& aConfig,
                          const serving::recent_demand& aDemand,
                          model::instant aNow) const;

private:
  bool HasAnsweringLeaf(const std::string& aService, model::instant aNow) const;
  void Remove(const std::string& aId);
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
  leaf_list mRetired; ///< Until their last attempt has ended.
};

} // namespace monsooncroft::gateway

#endif
