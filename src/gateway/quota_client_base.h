/**
 * @file quota_client_base.h
 * Charges requests to the quotas of their workspaces.
 */
#ifndef MONSOONCROFT_GATEWAY_QUOTA_CLIENT_BASE_H
#define MONSOONCROFT_GATEWAY_QUOTA_CLIENT_BASE_H

#include "gateway/loop_timer_base.h"
#include "gateway/workspace_admission_base.h"
#include "serving/quota_agent_base.h"
#include "serving/routing_config_base.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace monsooncroft::ops {
class log;
class metrics;
}

namespace monsooncroft::gateway {

class event_loop;

/**
 * Runs a quota_agent on the event loop: what one loop iteration admits is
 * reported in one datagram to each keeper, at its end. Logs and counts.
 */
class quota_client
  : public workspace_admission
  , private serving::quota_observer
{
public:
  /** @param aSeed Increases from one process of an instance to the next. */
  quota_client(event_loop& aLoop,
               serving::quota_peers& aPeers,
               const serving::quota_settings& aSettings,
               const ops::log& aLog,
               ops::metrics& aMetrics,
               std::uint64_t aSeed);
  ~quota_client() override;
  quota_client(const quota_client&) = delete;
  quota_client& operator=(const quota_client&) = delete;
  quota_client(quota_client&&) = delete;
  quota_client& operator=(quota_client&&) = delete;

  void Admit(const serving::workspace& aWorkspace,
             model::instant aNow,
             callback aDone) override;
  /** Takes over the limits of the configuration's workspaces. */
  void SetConfig(const serving::routing_config& aConfig);
  /** @param aSender Identifies the process that sent it. */
  void OnMessage(const serving::quota_message& aMessage,
                 std::uint64_t aSender,
                 const model::endpoint& aFrom);
  void OnTick();
  serving::quota_status Status(const serving::workspace& aWorkspace) const;

private:
  void OnQuotaChange(const serving::quota_change& aChange) override;
  void OnQuotaSilence(serving::quota_group aGroup,
                      bool aSilent,
                      model::duration aHeardAge) override;
  void OnQuotaDecision(serving::quota_source aSource, bool aAdmitted) override;
  void OnQuotaEvent(const char* aEvent) override;

  /** Calls Flush() at the end of the loop iteration. */
  void ScheduleFlush();
  void Flush();
  void StartTimer();

  event_loop& mLoop;
  serving::quota_peers& mPeers;
  const ops::log& mLog;
  ops::metrics& mMetrics;
  serving::quota_agent mAgent;
  loop_timer mTimer; ///< For the agent's next deadline.
  /** For logs. */
  std::unordered_map<serving::workspace_hash, std::string> mNames;
  /** Deferred tasks may run after the client's end. */
  std::shared_ptr<bool> mFlushScheduled = std::make_shared<bool>(false);
};

} // namespace monsooncroft::gateway

#endif
