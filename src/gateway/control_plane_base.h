/**
 * @file control_plane_base.h
 * Configuration, registrations and peers of an instance.
 */
#ifndef MONSOONCROFT_GATEWAY_CONTROL_PLANE_BASE_H
#define MONSOONCROFT_GATEWAY_CONTROL_PLANE_BASE_H

#include "gateway/control_settings_type.h"
#include "gateway/control_store_base.h"
#include "gateway/peer_port_base.h"
#include "serving/fleet_view_base.h"
#include "serving/leaf_directory_base.h"

#include <functional>
#include <memory>

namespace monsooncroft::ops {
class log;
class metrics;
}

namespace monsooncroft::gateway {

class event_loop;

/**
 * Keeps the configuration and the registrations fresh with few calls to the
 * store: one instance of the fleet reads the registrations and tells the
 * others, one of each data centre watches the configuration and the others
 * pull it from a peer. Who does so follows from rank and from the age of what
 * is known, so that a reader that is cut off is replaced without a vote.
 */
class control_plane
{
public:
  /** What the rest of the instance does with news. */
  struct hooks
  {
    std::function<void(serving::routing_config_ptr)> mOnConfig;
    std::function<void(const serving::leaf_directory::changes&)> mOnLeaves;
    std::function<void(const serving::leaf_suspicion&)> mOnSuspicion;
    std::function<void(const serving::leaf_observation&)> mOnObservation;
    std::function<void(const std::string&)> mOnWayLost; ///< A data centre.
    std::function<std::vector<serving::leaf_suspicion>()> mSuspects;
    std::function<void(const once::death_mark&)> mOnDeath;
    std::function<std::vector<once::death_mark>()> mDeaths;
  };

  control_plane(event_loop& aLoop,
                control_store& aStore,
                serving::fleet_view aFleet,
                const control_settings& aSettings,
                hooks aHooks,
                const ops::log& aLog,
                ops::metrics& aMetrics);
  ~control_plane();
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;
  control_plane(control_plane&&) = delete;
  control_plane& operator=(control_plane&&) = delete;

  void OnTick(model::instant aNow);
  void OnRound(model::instant aNow); ///< Tells peers.
  /** After a suspension: nothing that was learned before is fresh. */
  void OnWoke(model::instant aNow);
  void SetLeaving(model::instant aNow);
  void SetSeeds(std::vector<model::endpoint> aSeeds)
  {
    mFleet.SetSeeds(std::move(aSeeds));
  }
  const serving::fleet_view& Fleet() const { return mFleet; }
  const serving::routing_config_ptr& Config() const { return mConfig; }
  bool ConfigCertain(model::instant aNow) const;
  /** Tells the instances of the own data centre, which use the same leaves. */
  void TellNeighbours(std::vector<serving::leaf_observation> aObservations,
                      std::vector<std::string> aLostWays,
                      model::instant aNow);
  /** Tells all peers at once that a leaf has died with a request. */
  void TellDeath(const once::death_mark& aMark, model::instant aNow);

private:
  /** Waits between calls that fail. */
  struct caller_state
  {
    bool mBusy = false;
    model::instant mNext;
    model::duration mPause{ 0 };
  };

  void ReadDirectory(model::instant aNow);
  void ReadDirectoryNow(model::instant aNow);
  /** The next read is due now; nothing otherwise. */
  bool DirectoryDue(model::instant aNow) const;
  void OnDirectory(const store_result<serving::directory_read>& aResult,
                   bool aMayBeOld);
  void WatchDirectory(model::instant aNow);
  void OnDirectoryChange(const store_result<serving::directory_delta>& aResult);
  void TellDirectory(const serving::directory_delta& aDelta,
                     model::instant aNow);
  void FollowConfig(model::instant aNow);
  void ReadConfig(bool aMayBeOld);
  void WatchConfig();
  void PullSnapshot(const serving::fleet_member& aFrom);
  bool Adopt(const config_text& aText, const char* aSource);
  void OnSnapshot(const std::string& aBytes, const std::string& aFrom);
  void OnDatagram(std::string_view aBytes, const model::endpoint& aFrom);
  void ApplyLeaves();
  void OnCallDone(caller_state& aState,
                  const char* aCall,
                  std::optional<store_error> aError);
  void Tell(const std::vector<serving::fleet_member>& aMembers,
            serving::fleet_message aMessage);
  /** Waits longer after each failure in a row. */
  void Postpone(caller_state& aState, model::instant aNow) const;
  serving::fleet_message Message(bool aWantsReply);
  std::string Snapshot() const;

  event_loop& mLoop;
  control_store& mStore;
  serving::fleet_view mFleet;
  control_settings mSettings;
  hooks mHooks;
  const ops::log& mLog;
  ops::metrics& mMetrics;
  serving::leaf_directory mDirectory;
  serving::routing_config_ptr mConfig;
  config_text mText;
  caller_state mDirectoryCall;
  caller_state mConfigCall;
  caller_state mWatchCall;
  caller_state mPull;
  std::uint64_t mWatchAfter = 0;
  std::optional<model::instant> mStoreHeard; ///< By this one or a peer.
  int mFailures = 0; ///< Of calls to the store, in a row.
  std::map<std::string, serving::leaf_entry> mEntries; ///< For snapshots.
  caller_state mDirectoryWatch;
  model::instant mFreshUntil; ///< Cheap reads are known to be old.
  peer_port mPort;
};

} // namespace monsooncroft::gateway

#endif
