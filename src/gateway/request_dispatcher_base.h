/**
 * @file request_dispatcher_base.h
 * Takes callers' requests and starts their runs.
 */
#ifndef MONSOONCROFT_GATEWAY_REQUEST_DISPATCHER_BASE_H
#define MONSOONCROFT_GATEWAY_REQUEST_DISPATCHER_BASE_H

#include "gateway/exchange_base.h"
#include "gateway/header_names_type.h"
#include "gateway/query_settings_type.h"
#include "once/quarantine_base.h"
#include "serving/recent_demand_base.h"
#include "serving/retry_budget_base.h"
#include "serving/route_latency_type.h"
#include "serving/routing_config_base.h"
#include "serving/weighted_split_base.h"

#include <unordered_map>

namespace monsooncroft::ops {
class log;
class metrics;
}

namespace monsooncroft::gateway {

class event_loop;
class leaf_table;

/** What every run of a request uses. */
struct query_context
{
  event_loop& mLoop;
  const header_names& mHeaderNames;
  leaf_table& mLeaves;
  serving::retry_budget& mRetryBudget;
  const once::quarantine& mQuarantine;
  const query_settings& mSettings;
  const ops::log& mLog;
  ops::metrics& mMetrics;
};

/** Matches requests to routes and refuses what cannot be served. */
class request_dispatcher : public request_handler
{
public:
  /** @param aOffset Of this instance, from 0 to 1, see weighted_split. */
  request_dispatcher(const query_context& aContext, double aOffset);

  void SetConfig(serving::routing_config_ptr aConfig);
  const serving::routing_config_ptr& Config() const { return mConfig; }
  /** Whether an unknown path may be refused for good: no newer configuration
   * can be in force that this instance does not know. */
  void SetConfigCurrent(bool aCertain) { mConfigCurrent = aCertain; }
  const serving::recent_demand& Demand() const { return mDemand; }
  void OnRequest(const exchange_ptr& aExchange) override;

private:
  void Refuse(const exchange_ptr& aExchange,
              int aStatus,
              const char* aReason) const;
  /** Whether a request that looks like this one has killed leaves. */
  once::screening_permit CheckQuarantine(const http_message& aRequest,
                                         const std::string& aHost) const;
  const std::shared_ptr<serving::route_latency>& LatencyOf(
    const serving::route& aRoute);

  query_context mContext;
  serving::routing_config_ptr mConfig;
  serving::weighted_split mTrafficSplit;
  serving::recent_demand mDemand;
  bool mConfigCurrent = true;
  std::unordered_map<std::string, std::shared_ptr<serving::route_latency>>
    mLatencies; ///< By route.
};

} // namespace monsooncroft::gateway

#endif
