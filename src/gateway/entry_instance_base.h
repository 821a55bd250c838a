/**
 * @file entry_instance_base.h
 * An entry instance: everything wired together.
 */
#ifndef MONSOONCROFT_GATEWAY_ENTRY_INSTANCE_BASE_H
#define MONSOONCROFT_GATEWAY_ENTRY_INSTANCE_BASE_H

#include "gateway/control_plane_base.h"
#include "gateway/event_loop_base.h"
#include "gateway/http_server_base.h"
#include "gateway/instance_settings_type.h"
#include "gateway/leaf_table_base.h"
#include "gateway/loop_timer_base.h"
#include "gateway/query_desk_base.h"
#include "gateway/stop_sequence_base.h"
#include "ops/bounded_sink_base.h"

#include <memory>
#include <optional>

namespace monsooncroft::gateway {

/** Serves callers until it is told to stop. */
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

  void Stop(const char* aReason); ///< Begins the graceful stop.
  void Apply(const instance_settings& aSettings);

  void OnWay(const std::string& aDataCentre,
             bool aLost,
             std::size_t aOverdue) override;
  void OnLinkOpened(const leaf_peer& aLeaf) override;
  void OnSpeed(const leaf_peer& aLeaf, model::duration aExcess) override;
  void OnUseless(const leaf_peer& aLeaf) override;
  void OnLeafDied(const leaf_peer& aLeaf,
                  const once::suspicion& aSuspicion) override;
  void OnLinkLost(const leaf_peer& aLeaf, const char* aReason) override;
  /** Readiness, metrics and status. */
  void OnRequest(const exchange_ptr& aExchange) override;

private:
  void OnTick();
  void OnRound(model::instant aNow);
  void CheckSuspension(model::instant aNow);
  void CheckReadiness(model::instant aNow);
  void Observe(const leaf_peer& aLeaf, std::optional<std::int32_t> aExcessMs);
  void LogWay(const std::string& aDataCentre,
              bool aLost,
              const std::string& aReason) const;
  void StepStop(model::instant aNow);
  control_plane::hooks MakeHooks();

  event_loop& mLoop;
  instance_settings mSettings;
  const ops::log& mLog;
  ops::metrics& mMetrics;
  std::shared_ptr<ops::bounded_sink> mSink;
  serving::extra_budget mBudget;
  once::quarantine mQuarantine;
  leaf_table mLeaves;
  query_desk mDesk;
  control_plane mControl;
  http_server mCallers;
  http_server mReadiness;
  loop_timer mTick;
  std::vector<serving::leaf_observation> mObserved; ///< Not told yet.
  std::vector<std::string> mLostWays;               ///< Not told yet.
  model::instant mStarted;
  model::instant mNextRound;
  std::optional<stop_sequence> mStop;
  bool mReady = false;
  model::duration mBootOffset{ 0 }; ///< Boot clock less steady clock.
};

} // namespace monsooncroft::gateway

#endif
