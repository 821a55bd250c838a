/**
 * @file entry_instance_base.h
 * An entry instance: owns and connects its components.
 */
#ifndef MONSOONCROFT_GATEWAY_ENTRY_INSTANCE_BASE_H
#define MONSOONCROFT_GATEWAY_ENTRY_INSTANCE_BASE_H

#include "gateway/control_plane_base.h"
#include "gateway/event_loop_base.h"
#include "gateway/instance_settings_type.h"
#include "gateway/leaf_table_base.h"
#include "gateway/loop_timer_base.h"
#include "gateway/permit_client_base.h"
#include "gateway/quota_client_base.h"
#include "gateway/relay_client_base.h"
#include "gateway/relay_handler_base.h"
#include "gateway/request_dispatcher_base.h"
#include "gateway/stop_sequence_base.h"
#include "gateway/uv_http_server_base.h"
#include "once/recent_answers_base.h"
#include "ops/bounded_sink_base.h"
#include "serving/leaf_limit_table_base.h"
#include "serving/root_duty_base.h"

#include <memory>
#include <optional>

namespace monsooncroft::gateway {

/** Serves callers until Stop() has completed. */
class entry_instance
  : public leaf_observer
  , public request_handler
{
public:
  /** @throws gateway_error if an address cannot be bound. */
  entry_instance(event_loop& aLoop,
                 instance_settings aSettings,
                 control_store& aStore,
                 const ops::log& aLog,
                 ops::metrics& aMetrics,
                 std::shared_ptr<ops::bounded_sink> aSink);
  ~entry_instance() override;

  void Stop(const char* aReason); ///< Starts the graceful stop.
  void Apply(const instance_settings& aSettings);
  /** Sets the quotas of workspaces, which must outlive this object. */
  void SetAdmission(workspace_admission& aAdmission)
  {
    mDispatcher.SetAdmission(&aAdmission);
  }

  void OnReachabilityChanged(const std::string& aDataCentre,
                             bool aUnreachable,
                             std::size_t aOverdue) override;
  void OnConnectionOpened(const leaf_endpoint& aLeaf) override;
  void OnExcessLatency(const leaf_endpoint& aLeaf,
                       model::duration aExcess) override;
  void OnRateLimit(const leaf_endpoint& aLeaf,
                   std::optional<double> aPerSecond) override;
  void OnRateLimitMalformed(const leaf_endpoint& aLeaf,
                            const std::string& aValue) override;
  void OnAnswerMalformed(const leaf_endpoint& aLeaf,
                         const std::string& aRequestId,
                         const char* aDefect) override;
  void OnLeavingNotice(const leaf_endpoint& aLeaf,
                       const std::string& aValue) override;
  void OnPauseNotice(const leaf_endpoint& aLeaf,
                     const std::string& aValue) override;
  void OnLeafError(const leaf_endpoint& aLeaf) override;
  void OnLeafCrashed(const leaf_endpoint& aLeaf,
                     const once::suspicion& aSuspicion) override;
  void OnRequestAnswered(const leaf_endpoint& aLeaf,
                         const once::content_hash& aContent,
                         model::instant aNow) override;
  void OnConnectionEnded(const leaf_endpoint& aLeaf,
                         const char* aReason) override;
  /** Handles the readiness and metrics endpoints. */
  void OnRequest(const exchange_ptr& aExchange) override;

private:
  void OnTick();
  void OnGossipRound(model::instant aNow);
  void CheckSuspension(model::instant aNow);
  /** Fraction of the routed services that can be used, through a root or
   * directly. */
  double ReachableShare(const serving::routing_config& aConfig,
                        bool aHasRoot,
                        model::instant aNow) const;
  void CheckReadiness(model::instant aNow);
  void AddObservation(const leaf_endpoint& aLeaf,
                      std::optional<std::int32_t> aExcessMs);
  /** Forgets the limits of leaves that are gone or have started again. */
  void ForgetLimits(const serving::leaf_directory::changes& aChanges);
  void OnPeerLimit(const serving::leaf_limit_report& aReport);
  void LogLimit(const leaf_endpoint& aLeaf, const char* aSource) const;
  /** Decides whether this instance is a root, and which ones it uses. */
  void UpdateRole(model::instant aNow);
  void LogRole(const serving::root_role& aRole) const;
  void OnPeerDeparture(const serving::leaf_departure& aReport);
  void LogDeparture(const serving::leaf_registration& aLeaf,
                    const char* aSource);
  /** Counts a field that cannot be read, and logs it once in a while. */
  void OnMalformedField(const leaf_endpoint& aLeaf,
                        const char* aField,
                        const std::string& aValue);
  void LogReachability(const std::string& aDataCentre,
                       bool aUnreachable,
                       const std::string& aReason) const;
  void AdvanceStop(model::instant aNow);
  void CloseIdleConnections();
  void AnswerAtStop(stop_answers aWhich);
  control_plane::hooks MakeHooks();
  void AddQuarantineHooks(control_plane::hooks& aHooks);
  /** Clears the marks of a request that a service has answered, and returns
   * those that were not cleared yet. */
  std::vector<once::crash_mark> ClearMarks(const once::content_hash& aContent,
                                           const model::service_id& aService);
  void AddWorkspaceHooks(control_plane::hooks& aHooks);
  /** Tells the dispatcher if this process has not run for a while. */
  void CheckTickGap(model::instant aNow);
  /** Lets the dispatcher ask the store for the newest configuration. */
  void ConnectWorkspaces();
  void AddQuotaHooks(control_plane::hooks& aHooks);

  event_loop& mLoop;
  instance_settings mSettings;
  const ops::log& mLog;
  ops::metrics& mMetrics;
  std::shared_ptr<ops::bounded_sink> mSink;
  serving::retry_budget mRetryBudget;
  once::quarantine mQuarantine;
  once::recent_answers mRecentAnswers;
  serving::leaf_limit_table mLimits;
  leaf_table mLeaves;
  control_plane mControlPlane;
  permit_client mPermits;
  quota_client mQuota;
  relay_client mRelay;
  request_dispatcher mDispatcher;
  uv_http_server mCallerServer;
  uv_http_server mReadinessServer;
  relay_handler mRelayHandler;
  std::unique_ptr<uv_http_server> mRelayServer; ///< Null without an address.
  serving::root_duty mRootDuty;
  serving::root_role mRole;
  loop_timer mTickTimer;
  /** Not sent yet. */
  std::vector<serving::leaf_observation> mPendingObservations;
  /** Of leaves of shards, if roots use them; not sent yet. */
  std::vector<serving::leaf_observation> mPendingShardObservations;
  /** Unreachable data centres that are not sent yet. */
  std::vector<std::string> mPendingUnreachable;
  model::instant mStartedAt;
  model::instant mNextGossipRound;
  model::instant mLastTickAt;
  model::instant mNextMalformedFieldLog;
  std::optional<stop_sequence> mStop;
  bool mReady = false;
  model::duration mBootOffset{ 0 }; ///< Boot clock minus steady clock.
};

} // namespace monsooncroft::gateway

#endif
