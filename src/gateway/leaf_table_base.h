/**
 * @file leaf_table_base.h
 * All leaves that this instance knows.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_TABLE_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_TABLE_BASE_H

#include "gateway/leaf_peer_base.h"
#include "serving/fleet_type.h"
#include "serving/leaf_directory_base.h"
#include "serving/recent_demand_base.h"
#include "serving/routing_config_base.h"
#include "serving/way_watch_base.h"

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

  using leaf_list = std::vector<leaf_peer_ptr>;

  void Apply(const serving::leaf_directory::changes& aChanges,
             model::instant aNow);
  /** @param aInstances That hold connections, lately lost ones included. */
  void SetShares(const serving::routing_config* aConfig,
                 const serving::fleet_size& aInstances);
  const leaf_list& Of(const std::string& aService) const;
  leaf_peer* Find(const std::string& aId);
  void OnTick(const serving::routing_config* aConfig, model::instant aNow);
  /** Leaves seen standing still or refusing, for the peers. */
  std::vector<serving::leaf_suspicion> Suspects(model::instant aNow) const;
  /** A neighbour cannot reach a data centre. @return Whether that is news. */
  bool OnWayToldLost(const std::string& aDataCentre);
  /** Another data centre cannot be reached. */
  bool AnyWayLost() const;
  std::size_t Size() const { return mById.size(); }
  /** Share of a list of services that have a leaf which answers. */
  double Reachable(const std::vector<std::string>& aServices,
                   model::instant aNow) const;
  /** Share of the demand whose routes could be served now. */
  double Servable(const serving::routing_config& aConfig,
                  const serving::recent_demand& aDemand,
                  model::instant aNow) const;

private:
  bool Answers(const std::string& aService, model::instant aNow) const;
  void Remove(const std::string& aId);
  void WatchWays(model::instant aNow);

  event_loop& mLoop;
  const header_names& mNames;
  leaf_observer& mObserver;
  std::string mSelf;
  std::string mDataCentre;
  std::map<std::string, leaf_peer_ptr> mById;
  std::unordered_map<std::string, leaf_list> mByService;
  std::map<std::string, serving::way_watch> mWays; ///< By data centre.
  std::size_t mTries = 0;
  leaf_list mRetired; ///< Until their last attempt has ended.
};

} // namespace monsooncroft::gateway

#endif
