/**
 * @file control_plane_base.h
 * Configuration, leaf registrations and peers of an entry instance.
 */
#ifndef MONSOONCROFT_GATEWAY_CONTROL_PLANE_BASE_H
#define MONSOONCROFT_GATEWAY_CONTROL_PLANE_BASE_H

#include "gateway/control_settings_type.h"
#include "gateway/control_store_base.h"
#include "gateway/peer_socket_base.h"
#include "gateway/permit_peers_base.h"
#include "serving/fleet_membership_base.h"
#include "serving/leaf_directory_base.h"
#include "serving/quota_peers_base.h"

#include <array>
#include <functional>
#include <memory>

namespace monsooncroft::ops {
class log;
class metrics;
}

namespace monsooncroft::gateway {

class event_loop;

/**
 * Keeps the configuration and the leaf registrations up to date with few calls
 * to the store: one instance of the fleet reads the registrations and sends
 * them to the others; one instance of each data centre watches the
 * configuration, and the others pull it from a peer. The rank of an instance
 * and the age of its data decide which instance reads, so that an unreachable
 * reader is replaced without an election.
 */
class control_plane
  : public permit_peers
  , public serving::quota_peers
{
public:
  /** Callbacks into the rest of the instance. */
  struct hooks
  {
    std::function<void(serving::routing_config_ptr)> mOnConfig;
    /** The configuration in force was the store's newest at that time. */
    std::function<void(model::instant)> mOnConfigConfirmed;
    std::function<void(const serving::leaf_directory::changes&)> mOnLeaves;
    std::function<void(const serving::leaf_suspicion&)> mOnSuspicion;
    std::function<void(const serving::leaf_observation&)> mOnObservation;
    /** Gets the data centre's name. */
    std::function<void(const std::string&)> mOnDataCentreUnreachable;
    std::function<std::vector<serving::leaf_suspicion>()> mSuspectedLeaves;
    std::function<void(const once::crash_mark&)> mOnCrashMark;
    std::function<std::vector<once::crash_mark>()> mCrashMarks;
    std::function<void(const serving::leaf_limit_report&)> mOnLeafLimit;
    /** Limits to be sent in the next gossip round. */
    std::function<std::vector<serving::leaf_limit_report>()> mLeafLimits;
    std::function<void(const serving::leaf_departure&)> mOnLeafDeparture;
    /** Departures to be sent in the next gossip round. */
    std::function<std::vector<serving::leaf_departure>()> mLeafDepartures;
    std::function<void(const serving::permit_request&, const model::endpoint&)>
      mOnPermitRequest;
    std::function<void(const serving::permit_reply&)> mOnPermitReply;
    /** Gets the sender. */
    std::function<void(const serving::quota_message&,
                       const serving::fleet_member&)>
      mOnQuota;
  };

  control_plane(event_loop& aLoop,
                control_store& aStore,
                serving::fleet_membership aFleet,
                const control_settings& aSettings,
                hooks aHooks,
                const ops::log& aLog,
                ops::metrics& aMetrics);
  ~control_plane() override;
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;
  control_plane(control_plane&&) = delete;
  control_plane& operator=(control_plane&&) = delete;

  void OnTick(model::instant aNow);
  /** Sends this instance's state to the peers chosen for the round. */
  void OnGossipRound(model::instant aNow);
  /** Reads everything again after the machine was suspended: all data may be
   * out of date. */
  void OnResume(model::instant aNow);
  void SetLeaving(model::instant aNow);
  void SetSeeds(std::vector<model::endpoint> aSeeds)
  {
    mFleet.SetSeeds(std::move(aSeeds));
  }
  const serving::fleet_membership& Fleet() const { return mFleet; }
  /** Tells peers at which port this instance executes their queries; 0 if it
   * does not. */
  void SetRelayPort(std::uint16_t aPort, model::instant aNow);
  const serving::routing_config_ptr& Config() const { return mConfig; }
  bool ConfigIsCurrent(model::instant aNow) const;
  /** Reads the newest configuration from the store now.
   * @return False if another read is in progress, or a retry is not yet due. */
  bool ReadNewestConfig(model::instant aNow);
  /** Sends leaf observations to the roots of this data centre, which use the
   * same leaves. */
  void SendToRoots(std::vector<serving::leaf_observation> aObservations,
                   model::instant aNow);
  /** Sends leaf observations and unreachable data centres to the instances of
   * this data centre, which use the same leaves. */
  void SendToDataCentrePeers(
    std::vector<serving::leaf_observation> aObservations,
    std::vector<std::string> aUnreachableDataCentres,
    model::instant aNow);
  std::optional<model::endpoint> PermitIssuer(
    const std::string& aServiceGroup,
    model::instant aNow) const override;
  void SendPermitRequest(
    const model::endpoint& aTo,
    const serving::permit_request& aRequest,
    const std::vector<serving::leaf_limit_report>& aLimits) override;
  void SendPermitReply(const model::endpoint& aTo,
                       const serving::permit_reply& aReply) override;
  void SendLeafLimits(const std::vector<serving::leaf_limit_report>& aLimits,
                      model::instant aNow) override;
  std::size_t SendingInstances(model::instant aNow) const override;
  double ReachableShare(model::instant aNow) const override;
  serving::quota_keepers Keepers(serving::quota_group aGroup) const override;
  std::size_t KnownInstances() const override;
  std::size_t ReachableInstances() const override;
  bool MembershipIsComplete() const override;
  void SendQuota(const model::endpoint& aTo,
                 const serving::quota_message& aMessage) override;
  void SendQuotaToAll(const serving::quota_message& aMessage) override;
  void SendQuotaToDataCentre(const serving::quota_message& aMessage) override;
  /** Sends all peers marks of requests that were in flight at crashes. */
  void SendCrashMarks(const std::vector<once::crash_mark>& aMarks,
                      model::instant aNow);

private:
  /** Time between ticks after which the instance counts as having stood still:
   * a call's time limit may have passed before its response was read. */
  static constexpr std::chrono::milliseconds kStandstillGap{ 500 };

  /** State of one kind of call, with the delay before a retry. */
  struct call_state
  {
    bool mBusy = false;
    model::instant mNextCall;
    model::duration mRetryDelay{ 0 };
    /** Begin of the last call; nothing for those that wait for a change. */
    std::optional<model::instant> mBegunAt;
  };

  /** State of a watch. */
  struct watch_state : call_state
  {
    /** When a change came that the pending watch has not brought. */
    std::optional<model::instant> mBehindSince;
  };

  /** The keepers of a quota group, as found a moment ago. */
  struct known_keepers
  {
    serving::quota_keepers mKeepers;
    std::optional<model::instant> mFoundAt;
  };

  void PollDirectory(model::instant aNow);
  void ReadDirectoryNow(bool aMayBeStale);
  /** Reads the registrations afresh if a fresh read of the configuration has
   * shown that the store has changed since they were last confirmed, and
   * neither a watch nor a periodic read confirms them soon. */
  void ConfirmDirectory(model::instant aNow);
  /** Whether a watch gets no response any more: it has not brought a change
   * that came in another way. */
  bool IsSilent(watch_state& aWatch, const char* aCall, model::instant aNow);
  /** Whether the next read of the registrations is due now. */
  bool DirectoryDue(model::instant aNow) const;
  /** Logs that the pages of a read are of different revisions. */
  void LogPageRevisions(const serving::directory_snapshot& aRead);
  void OnDirectoryRead(const store_result<serving::directory_snapshot>& aResult,
                       bool aMayBeStale);
  void WatchDirectory(model::instant aNow);
  /** @param aAfter Revision that the watch continued from. */
  void OnDirectoryChange(const store_result<serving::directory_delta>& aResult,
                         model::store_revision aAfter);
  void SendDirectoryDelta(const serving::directory_delta& aDelta,
                          model::instant aNow);
  /** Pulls changes of the registrations that peers know and this instance has
   * missed. */
  void PullDirectory(model::instant aNow);
  void UpdateConfig(model::instant aNow);
  /** Whether the last fresh read of the configuration was too long ago. */
  bool ConfirmationDue(model::instant aNow) const;
  /** Reads the configuration if a fresh read is due. The reads that come with
   * the periodic ones of the registrations do not suffice, since these are left
   * out while a watch brings changes. */
  void ConfirmConfig(model::instant aNow);
  void ReadConfig(bool aMayBeStale);
  void WatchConfig();
  void PullSnapshot(const serving::fleet_member& aFrom);
  bool AdoptConfig(const config_text& aText, std::string_view aSource);
  /** Logs the malformed entries of the configuration in force. */
  void LogProblems() const;
  void OnSnapshot(const std::string& aBytes, const std::string& aFrom);
  void OnDatagram(std::string_view aBytes, const model::endpoint& aFrom);
  void ApplyLeaves();
  /** Logs the first sign that changes of the registrations were missed, and the
   * update that supplies them. */
  void OnDirectoryBehind(const std::string& aPeer,
                         model::store_revision aPeerRevision,
                         model::instant aNow);
  void OnDirectoryComplete(const char* aSource, model::instant aNow);
  /** Ends watches that continue from a revision of an earlier era. */
  void UpdateStoreEra(model::store_revision aRevision, const char* aSource);
  /** Notes since when this instance has run without standing still. */
  void CheckTickGap(model::instant aNow);
  /** Whether this instance has stood still since a time, so that a call may
   * have failed for that reason. */
  bool HasStoodStillSince(model::instant aTime, model::instant aNow) const
  {
    return aTime < mRunningSince || aNow - mLastTickAt > kStandstillGap;
  }
  void OnCallDone(call_state& aState,
                  const char* aCall,
                  std::optional<store_error> aError);
  void SendToPeer(const model::endpoint& aPeer, const std::string& aBytes);
  void SendToPeers(const std::vector<serving::fleet_member>& aMembers,
                   serving::fleet_message aMessage);
  /** Doubles the delay before the next call, up to a maximum. */
  void ScheduleRetry(call_state& aState, model::instant aNow) const;
  serving::fleet_message MakeMessage(bool aWantsReply);
  /** Marks for the next gossip message. */
  std::vector<once::crash_mark> NextCrashMarks();
  /** Encodes what the requesting peer lacks; nothing if the request is not
   * complete yet. */
  std::optional<std::string> MakeSnapshot(std::string_view aRequest) const;

  event_loop& mLoop;
  control_store& mStore;
  serving::fleet_membership mFleet;
  control_settings mSettings;
  hooks mHooks;
  const ops::log& mLog;
  ops::metrics& mMetrics;
  serving::leaf_directory mDirectory;
  serving::routing_config_ptr mConfig;
  config_text mConfigText; ///< Sent to peers, without keys.
  call_state mDirectoryCall;
  call_state mConfigCall;
  watch_state mConfigWatchCall;
  call_state mPullCall;
  model::store_revision mConfigWatchRevision;
  /** Start of the last fresh read of the configuration that was answered. */
  std::optional<model::instant> mConfirmedAt;
  /** The store's revision at that read, if the registrations were not known up
   * to it; otherwise 0. */
  model::store_revision mUnconfirmedRevision;
  /** Latest era of the store that this instance or a peer has seen. */
  std::optional<std::uint64_t> mStoreEra;
  /** Last response of the store to this instance or, as reported, to a peer. */
  std::optional<model::instant> mStoreLastContact;
  int mConsecutiveFailures = 0; ///< Consecutive failed calls to the store.
  watch_state mDirectoryWatchCall;
  /** Set while changes of the registrations are known to be missing. */
  std::optional<model::instant> mDirectoryBehindSince;
  model::instant mFreshReadsUntil; ///< Reads must not be stale until then.
  model::instant mStartedAt;
  model::instant mLastTickAt;
  model::instant mRunningSince; ///< Start, or end of the last standstill.
  std::optional<model::instant> mFirstContactAt; ///< Message of any peer.
  std::size_t mNextCrashMark = 0; ///< Index of the next mark to gossip.
  mutable std::array<known_keepers, serving::kQuotaGroups> mQuotaKeepers;
  peer_socket mPeerSocket;
};

} // namespace monsooncroft::gateway

#endif
