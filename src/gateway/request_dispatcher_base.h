/**
 * @file request_dispatcher_base.h
 * Validates and routes callers' requests and starts their execution.
 */
#ifndef MONSOONCROFT_GATEWAY_REQUEST_DISPATCHER_BASE_H
#define MONSOONCROFT_GATEWAY_REQUEST_DISPATCHER_BASE_H

#include "gateway/exchange_base.h"
#include "gateway/header_names_type.h"
#include "gateway/key_wait_list_base.h"
#include "gateway/query_context_type.h"
#include "gateway/query_settings_type.h"
#include "once/quarantine_base.h"
#include "serving/recent_demand_base.h"
#include "serving/retry_budget_base.h"
#include "serving/route_latency_type.h"
#include "serving/routing_config_base.h"
#include "serving/unknown_key_policy_base.h"
#include "serving/weighted_split_base.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace monsooncroft::gateway {

struct admission_decision;
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
  /** Sets a function that reads the newest configuration from the store.
   * @param aReader Returns whether it has started a read. */
  void SetConfigReader(std::function<bool()> aReader)
  {
    mReadConfig = std::move(aReader);
  }
  /** The store had no newer configuration at that time. */
  void OnConfigConfirmed(model::instant aAt);
  /** The process or its machine was suspended: keys may have been withdrawn
   * since. Requests with known keys wait, as others do, until the configuration
   * has been confirmed. */
  void OnResume(model::instant aNow);
  /** Sets the quotas of workspaces; null: requests are not charged. */
  void SetAdmission(workspace_admission* aAdmission)
  {
    mContext.mAdmission = aAdmission;
  }
  const serving::recent_demand& Demand() const { return mDemand; }
  /** Sets whether fan-outs are handed to roots. */
  void SetUsesRelay(bool aUses) { mUsesRelay = aUses; }
  void OnRequest(const exchange_ptr& aExchange) override;
  void RefuseAtStop(const exchange_ptr& aExchange) override;
  /** A query that another instance has handed to this one. */
  void OnRelayedRequest(const exchange_ptr& aExchange);
  /** Tells another instance that its query is not executed. */
  void RefuseRelayed(const exchange_ptr& aExchange, const char* aReason) const;

private:
  /** What has been decided on a request that waits or has waited. */
  struct progress
  {
    /** End of the wait for a configuration with its key. */
    std::optional<model::instant> mKeyWaitEnd;
    /** Name of the workspace that it has been charged to. */
    std::optional<std::string> mChargedTo;
  };
  struct quota_wait;
  /** Why a request is refused. */
  struct refusal
  {
    int mStatus;
    const char* mReason;
    const serving::workspace* mWorkspace = nullptr; ///< If it is known.
    /** Nothing: the usual time. */
    std::optional<std::chrono::milliseconds> mRetryAfter{};
  };

  /** Validates a request with the configuration in force and starts it. Called
   * again after each wait, since the configuration may have changed. */
  void Dispatch(const exchange_ptr& aExchange, const progress& aProgress);
  /** Whether the request needs a key. */
  bool NeedsKey(const serving::route& aRoute) const
  {
    return mConfig->UsesWorkspaces() && !aRoute.mPublic;
  }
  /** Finds the workspace of the request's key. If there is none, the request is
   * refused or waits for a newer configuration. */
  const serving::workspace* Authenticate(const exchange_ptr& aExchange,
                                         model::instant aDeadline,
                                         const progress& aProgress);
  void RefuseKey(const exchange_ptr& aExchange);
  /** Charges the request to its workspace's quota.
   * @return Whether it may go on now; otherwise it has been refused, or is
   * dispatched again after the decision. */
  bool Charge(const exchange_ptr& aExchange,
              const serving::workspace& aWorkspace,
              model::instant aDeadline,
              const progress& aProgress);
  void OnQuotaDecision(const std::shared_ptr<quota_wait>& aWait,
                       const admission_decision& aDecision);
  /** Time that the caller waits, of the route and of the request; nothing if
   * the field cannot be read. */
  std::optional<std::chrono::milliseconds> Timeout(
    const http_message& aRequest,
    const serving::route& aRoute) const;
  /** The configuration of this version, or the newest one if it is not known
   * any more. */
  serving::routing_config_ptr ConfigOfVersion(std::uint64_t aVersion) const;
  /** Executes the request here, or hands it to a root. */
  void Start(const exchange_ptr& aExchange, query_plan aPlan);
  void Relay(const exchange_ptr& aExchange,
             const query_plan& aPlan,
             model::instant aNow);
  void Execute(const exchange_ptr& aExchange, query_plan aPlan);
  void Refuse(const exchange_ptr& aExchange, const refusal& aRefusal) const;
  /** A request's target for the log, without what may hold a key. */
  std::string LoggedTarget(const std::string& aTarget) const;
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
  std::function<bool()> mReadConfig;
  serving::unknown_key_policy mUnknownKeys;
  key_wait_list mKeyWaits;
  /** End of a suspension after which the configuration has not been confirmed.
   */
  std::optional<model::instant> mResumedAt;
  bool mUsesRelay = false;
  std::unordered_map<std::string, std::shared_ptr<serving::route_latency>>
    mLatencies; ///< By name of the route.
};

} // namespace monsooncroft::gateway

#endif
