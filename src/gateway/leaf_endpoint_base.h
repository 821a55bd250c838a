/**
 * @file leaf_endpoint_base.h
 * One leaf, as this instance works with it.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_ENDPOINT_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_ENDPOINT_BASE_H

#include "gateway/leaf_attempt_type.h"
#include "once/crash_detector_base.h"
#include "serving/connection_allocation_func.h"
#include "serving/leaf_health_base.h"
#include "serving/leaf_registration_type.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace monsooncroft::gateway {

class event_loop;
class leaf_connection;
class leaf_observer;
struct header_names;

/** What a connection's end tells of its leaf. */
enum class connection_end : std::uint8_t
{
  Refused,      ///< It could not be made.
  LimitReached, ///< It was made but never of use: a leaf at its limit of
                ///< connections accepts further ones and resets them.
  IdleTimeout,  ///< The leaf closed it after a time without requests.
  Ended,        ///< It had been of use.
};

/** A leaf's registration, load, connections and the attempts that wait. */
class leaf_endpoint
{
public:
  /**
   * @param aOpensAheadAfter Pause before an unused connection that the leaf
   * has closed is opened again without work.
   */
  leaf_endpoint(event_loop& aLoop,
                const header_names& aNames,
                leaf_observer& aObserver,
                serving::leaf_registration aEntry,
                model::duration aOpensAheadAfter);
  ~leaf_endpoint();
  leaf_endpoint(const leaf_endpoint&) = delete;
  leaf_endpoint& operator=(const leaf_endpoint&) = delete;
  leaf_endpoint(leaf_endpoint&&) = delete;
  leaf_endpoint& operator=(leaf_endpoint&&) = delete;

  const serving::leaf_registration& Entry() const { return mEntry; }
  void Update(const serving::leaf_registration& aEntry, model::instant aNow);
  void SetAllocation(const serving::replica_connections& aShare)
  {
    mAllocation = aShare;
  }
  /** It may be given new work. */
  bool AcceptsWork(model::instant aNow) const
  {
    const bool capped = aNow < mConnectionLimitUntil && mConnections.empty();
    return !mEntry.mDraining && !mMisdirected && !capped;
  }
  serving::leaf_health& Load() { return mLoad; }
  const serving::leaf_health& Load() const { return mLoad; }

  /** Sends the attempt as soon as a connection is free, earliest due first. */
  void Submit(leaf_attempt_ptr aAttempt, model::instant aNow);
  /** Sends what waits, opens connections up to the share. */
  void Dispatch(model::instant aNow);
  /** @param aWarm Connections may be opened ahead of work. */
  void OnTick(bool aWarm, model::instant aNow);
  /** Opens a connection to see whether the leaf can be reached. */
  void OpenProbe();
  /** No new work; connections close as they become free. */
  void Retire();
  bool Drained() const; ///< No connection is busy, nothing waits.
  /** All waits that no connection has taken up end unsent. */
  void FailQueued(const char* aReason);

  // For the links.
  void OnConnectionEstablished(model::duration aRoundTrip, model::instant aNow);
  void OnConnectionClosed(leaf_connection& aLink,
                          connection_end aEnd,
                          const char* aReason);
  /** How an attempt on a link ended. */
  struct attempt_outcome
  {
    attempt_end mEnd;
    bool mSucceeded; ///< An answer that is no failure.
    model::instant mEndedAt;
  };
  void OnAttemptDone(const leaf_attempt& aAttempt,
                     const attempt_outcome& aOutcome);
  /** A connection died under a request: the leaf may have. */
  void OnConnectionLostInFlight(const leaf_attempt& aAttempt,
                                model::instant aNow);
  void OnMisdirected() { mMisdirected = true; }
  bool HasConnection(const leaf_connection& aLink) const;

private:
  void OpenConnection();
  std::size_t ConnectingCount() const; ///< Links that are not made yet.
  /** Links that the function closes, or others by it, are passed over. */
  void ForEachConnection(const std::function<void(leaf_connection&)>& aDo);
  void SendNextQueued(leaf_connection& aLink, model::instant aNow);
  void DropExpired(model::instant aNow);
  void CloseIdle(model::instant aNow);
  void ReportCrashes(const once::settled_suspicions& aSettled);

  event_loop& mLoop;
  const header_names& mHeaderNames;
  leaf_observer& mObserver;
  serving::leaf_registration mEntry;
  serving::leaf_health mLoad;
  model::duration mPreconnectDelay; ///< Different for each instance.
  serving::replica_connections mAllocation{ 1, true };
  bool mMisdirected = false; ///< Another leaf answers at its address.
  bool mRetired = false;
  bool mProbing = false; ///< A connection died under a request.
  once::crash_detector mCrashDetector;
  model::instant mConnectionLimitUntil;
  model::instant mPreconnectFrom; ///< After the leaf closed what was idle.
  std::vector<std::unique_ptr<leaf_connection>> mConnections;
  std::deque<leaf_attempt_ptr> mQueue; ///< Earliest due first.
};

using leaf_endpoint_ptr = std::shared_ptr<leaf_endpoint>;

/** Who counts what happens at leaves. */
class leaf_observer
{
public:
  leaf_observer() = default;
  virtual ~leaf_observer() = default;
  leaf_observer(const leaf_observer&) = delete;
  leaf_observer& operator=(const leaf_observer&) = delete;
  leaf_observer(leaf_observer&&) = delete;
  leaf_observer& operator=(leaf_observer&&) = delete;

  /**
   * The way to a data centre is lost or back.
   * @param aOverdue Leaves there whose answers are overdue.
   */
  virtual void OnReachabilityChanged(const std::string& aDataCentre,
                                     bool aLost,
                                     std::size_t aOverdue) = 0;
  virtual void OnConnectionOpened(const leaf_endpoint& aLeaf) = 0;
  /** An answer took so much more than usual, which was not known. */
  virtual void OnExcessLatency(const leaf_endpoint& aLeaf,
                               model::duration aExcess) = 0;
  virtual void OnLeafError(
    const leaf_endpoint& aLeaf) = 0; ///< It refused or failed.
  /** The leaf died with a request that may have killed it. */
  virtual void OnLeafCrashed(const leaf_endpoint& aLeaf,
                             const once::suspicion& aSuspicion) = 0;
  /** @param aReason In few words. */
  virtual void OnConnectionEnded(const leaf_endpoint& aLeaf,
                                 const char* aReason) = 0;
};

} // namespace monsooncroft::gateway

#endif
