/**
 * @file request_dispatcher_base.h
 * Validates and routes callers' requests and starts their execution.
 */
#ifndef MONSOONCROFT_GATEWAY_REQUEST_DISPATCHER_BASE_H
#define MONSOONCROFT_GATEWAY_REQUEST_DISPATCHER_BASE_H

#include "gateway/exchange_base.h"
#include "gateway/header_names_type.h"
#include "gateway/query_context_type.h"
#include "gateway/query_settings_type.h"
#include "once/quarantine_base.h"
#include "serving/recent_demand_base.h"
#include "serving/retry_budget_base.h"
#include "serving/route_latency_type.h"
#include "serving/routing_config_base.h"
#include "serving/weighted_split_base.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace monsooncroft::gateway {

struct query_plan;

/** Matches requests to routes and refuses those that cannot be served. */
class request_dispatcher : public request_handler
{
public:
  /** @param aOffset Offset of this instance from 0 to 1, see weighted_split. */
  request_dispatcher(const query_context& aContext, double aOffset);

  void SetConfig(serving::routing_config_ptr aConfig);
  const serving::routing_config_ptr& Config() const { return mConfig; }
  /** Sets whether the configuration is known to be current: an unknown path is
   * then refused with 404, since no newer configuration can be in force. */
  void SetConfigCurrent(bool aCurrent) { mConfigCurrent = aCurrent; }
  const serving::recent_demand& Demand() const { return mDemand; }
  /** Sets whether fan-outs are handed to roots. */
  void SetUsesRelay(bool aUses) { mUsesRelay = aUses; }
  void OnRequest(const exchange_ptr& aExchange) override;
  /** A query that another instance has handed to this one. */
  void OnRelayedRequest(const exchange_ptr& aExchange);
  /** Tells another instance that its query is not executed. */
  void RefuseRelayed(const exchange_ptr& aExchange, const char* aReason) const;

private:
  /** Time that the caller waits, of the route and of the request; nothing if
   * the field cannot be read. */
  std::optional<std::chrono::milliseconds> Timeout(
    const http_message& aRequest,
    const serving::route& aRoute) const;
  /** The configuration of this version, or the newest one if it is not known
   * any more. */
  serving::routing_config_ptr ConfigOfVersion(std::uint64_t aVersion) const;
  void Relay(const exchange_ptr& aExchange, const query_plan& aPlan);
  void Execute(const exchange_ptr& aExchange, query_plan aPlan);
  void Refuse(const exchange_ptr& aExchange,
              int aStatus,
              const char* aReason) const;
  /** Returns how a request may go to leaves, given the crashes that requests of
   * the same content have caused. */
  once::screening_permit CheckQuarantine(const http_message& aRequest,
                                         const std::string& aHost) const;
  const std::shared_ptr<serving::route_latency>& LatencyOf(
    const serving::route& aRoute);

  query_context mContext;
  serving::routing_config_ptr mConfig;
  serving::weighted_split mTrafficSplit;
  serving::recent_demand mDemand;
  /** Replaced configurations that queries of other instances may need, newest
   * first. */
  std::deque<serving::routing_config_ptr> mEarlierConfigs;
  bool mConfigCurrent = true;
  bool mUsesRelay = false;
  std::unordered_map<std::string, std::shared_ptr<serving::route_latency>>
    mLatencies; ///< By name of the route.
};

} // namespace monsooncroft::gateway

#endif
