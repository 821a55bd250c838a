/**
 * @file leaf_endpoint_base.h
 * This instance's state and connections for one leaf.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_ENDPOINT_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_ENDPOINT_BASE_H

#include "gateway/leaf_attempt_type.h"
#include "once/crash_detector_base.h"
#include "serving/connection_allocation_func.h"
#include "serving/fair_queue_base.h"
#include "serving/leaf_health_base.h"
#include "serving/leaf_registration_type.h"

#include <functional>
#include <memory>
#include <vector>

namespace monsooncroft::gateway {

class event_loop;
class leaf_connection;
class leaf_observer;
struct header_names;

/** How a connection ended, for conclusions about its leaf. */
enum class connection_end : std::uint8_t
{
  Refused, ///< The connection could not be established.
  /** The connection was reset before its first use: a leaf at its connection
   * limit accepts further connections and resets them. */
  LimitReached,
  /** The leaf closed the connection after a time without requests. */
  IdleTimeout,
  Ended, ///< The connection had been used.
};

/** A leaf's registration, load, connections and queued attempts. */
class leaf_endpoint
{
public:
  /**
   * @param aPreconnectDelay Delay before a connection is opened ahead of work
   * after the leaf closed an idle one.
   */
  leaf_endpoint(event_loop& aLoop,
                const header_names& aHeaderNames,
                leaf_observer& aObserver,
                serving::leaf_registration aEntry,
                model::duration aPreconnectDelay);
  ~leaf_endpoint();
  leaf_endpoint(const leaf_endpoint&) = delete;
  leaf_endpoint& operator=(const leaf_endpoint&) = delete;
  leaf_endpoint(leaf_endpoint&&) = delete;
  leaf_endpoint& operator=(leaf_endpoint&&) = delete;

  const serving::leaf_registration& Entry() const { return mEntry; }
  void Update(const serving::leaf_registration& aEntry, model::instant aNow);
  void SetAllocation(const serving::replica_connections& aAllocation)
  {
    mAllocation = aAllocation;
  }
  /** Whether the leaf takes part in serving; it may be paused or over its rate
   * limit. */
  bool AcceptsWork(model::instant aNow) const
  {
    const bool limitReached =
      aNow < mConnectionLimitUntil && mConnections.empty();
    return !mEntry.mDraining && !mLeaving && !mMisdirected && !limitReached;
  }
  bool IsLeaving() const { return mEntry.mDraining || mLeaving; }
  /**
   * Sets what the leaf has said of itself. Queued attempts that may not be sent
   * any more end.
   * @param aPausedUntil No request is sent before that time.
   */
  void SetNotices(bool aLeaving,
                  model::instant aPausedUntil,
                  model::instant aNow);
  bool IsPaused(model::instant aNow) const { return aNow < mPausedUntil; }
  /** The leaf's rate limit allows no request of this target latency, or of less
   * urgent ones, before that time. */
  void SetOverLimit(int aTargetLatencyMs, model::instant aUntil);
  /** Until when the leaf's rate limit allows no request of this target latency;
   * nothing if it may allow one now. */
  std::optional<model::instant> OverLimitUntil(int aTargetLatencyMs,
                                               model::instant aNow) const;
  /** Until when a leaf that takes part in serving accepts no request of this
   * target latency; nothing if it may accept one now. */
  std::optional<model::instant> UnavailableUntil(int aTargetLatencyMs,
                                                 model::instant aNow) const;
  /** Whether a request of this target latency may be submitted. */
  bool AcceptsRequest(int aTargetLatencyMs, model::instant aNow) const
  {
    return AcceptsWork(aNow) && !UnavailableUntil(aTargetLatencyMs, aNow);
  }
  serving::leaf_health& Load() { return mLoad; }
  const serving::leaf_health& Load() const { return mLoad; }

  /** Sends the attempt as soon as a connection is free, in the order of
   * fair_queue. */
  void Submit(leaf_attempt_ptr aAttempt, model::instant aNow);
  /** Sends queued attempts and opens connections up to this instance's
   * allocation. */
  void Dispatch(model::instant aNow);
  /** @param aMayPreconnect Whether connections may be opened ahead of work. */
  void OnTick(bool aMayPreconnect, model::instant aNow);
  /** Opens a connection to test whether the leaf can be reached. */
  void OpenProbe();
  /** Accepts no new work and closes each connection when it becomes free. */
  void Retire();
  bool Drained() const; ///< No connection is open and no attempt is queued.
  /** Ends all queued attempts as not sent. */
  void FailQueued(const char* aReason);

  // Called by the connections.
  void OnConnectionEstablished(model::duration aRoundTrip, model::instant aNow);
  void OnConnectionClosed(leaf_connection& aConnection,
                          connection_end aEnd,
                          const char* aReason);
  /** How an attempt on a connection ended. */
  struct attempt_outcome
  {
    attempt_end mEnd;
    bool mSucceeded; ///< The leaf answered without a server error.
    model::instant mEndedAt;
  };
  void OnAttemptDone(const leaf_attempt& aAttempt,
                     const attempt_outcome& aOutcome);
  /** A connection ended during a request: the leaf may have crashed. */
  void OnConnectionLostInFlight(const leaf_attempt& aAttempt,
                                model::instant aNow);
  void OnMisdirected() { mMisdirected = true; }
  /** @param aPerSecond The limit that an answer names; nothing if it names
   * none. */
  void OnRateLimit(std::optional<double> aPerSecond);
  /** An answer says whether the leaf is leaving. */
  void OnLeavingNotice(const std::string& aValue);
  /** The leaf turned a request away and named a time to wait. */
  void OnPauseNotice(const std::string& aValue);
  /** The limit in an answer is no positive number. */
  void OnRateLimitMalformed(const std::string& aValue);
  void OnAnswerMalformed(const std::string& aRequestId, const char* aDefect);
  bool HasConnection(const leaf_connection& aConnection) const;

private:
  void OpenConnection();
  /** Connections that are being established. */
  std::size_t ConnectingCount() const;
  /** Skips connections that an earlier call of the function closed. */
  void ForEachConnection(
    const std::function<void(leaf_connection&)>& aFunction);
  void SendNextQueued(leaf_connection& aConnection, model::instant aNow);
  /** Closes an idle connection, which must not carry any queued request, so
   * that another one may be opened. */
  void CloseOneUsable(model::instant aNow);
  void DropExpired(model::instant aNow);
  void CloseIdle(model::instant aNow);
  void ReportCrashes(const once::settled_suspicions& aSettled);

  event_loop& mLoop;
  const header_names& mHeaderNames;
  leaf_observer& mObserver;
  serving::leaf_registration mEntry;
  serving::leaf_health mLoad;
  model::duration mPreconnectDelay; ///< Differs between instances.
  serving::replica_connections mAllocation{ 1, true };
  bool mMisdirected = false; ///< Another leaf answers at this leaf's address.
  bool mLeaving = false;     ///< The leaf has said so in an answer.
  model::instant mPausedUntil;
  bool mRetired = false;
  bool mProbing = false; ///< A connection ended during a request.
  once::crash_detector mCrashDetector;
  model::instant mConnectionLimitUntil;
  model::instant mOverLimitUntil;
  int mOverLimitLatencyMs = 0; ///< Of the most urgent request that is refused.
  /** Set when the leaf closes an idle connection. */
  model::instant mPreconnectFrom;
  std::vector<std::unique_ptr<leaf_connection>> mConnections;
  serving::fair_queue<leaf_attempt_ptr> mQueue;
};

using leaf_endpoint_ptr = std::shared_ptr<leaf_endpoint>;

/** Is notified of events at leaves. */
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
   * A data centre became unreachable or reachable again.
   * @param aOverdue Number of leaves there whose answers are overdue.
   */
  virtual void OnReachabilityChanged(const std::string& aDataCentre,
                                     bool aUnreachable,
                                     std::size_t aOverdue) = 0;
  virtual void OnConnectionOpened(const leaf_endpoint& aLeaf) = 0;
  /** An answer took longer than usual by an excess that differs from the known
   * one. */
  virtual void OnExcessLatency(const leaf_endpoint& aLeaf,
                               model::duration aExcess) = 0;
  /** @param aPerSecond The rate limit that the leaf's answer names; nothing if
   * it names none. */
  virtual void OnRateLimit(const leaf_endpoint& aLeaf,
                           std::optional<double> aPerSecond) = 0;
  virtual void OnRateLimitMalformed(const leaf_endpoint& aLeaf,
                                    const std::string& aValue) = 0;
  /** The leaf's answer to a request is not valid HTTP/1.1. */
  virtual void OnAnswerMalformed(const leaf_endpoint& aLeaf,
                                 const std::string& aRequestId,
                                 const char* aDefect) = 0;
  /** An answer of the leaf says whether it is leaving. */
  virtual void OnLeavingNotice(const leaf_endpoint& aLeaf,
                               const std::string& aValue) = 0;
  /** The leaf turned a request away and named a time to wait. */
  virtual void OnPauseNotice(const leaf_endpoint& aLeaf,
                             const std::string& aValue) = 0;
  /** The leaf refused a request or failed. */
  virtual void OnLeafError(const leaf_endpoint& aLeaf) = 0;
  /** The leaf crashed during a request that may have caused the crash. */
  /** The leaf has answered a request, without a server error. */
  virtual void OnRequestAnswered(const leaf_endpoint& aLeaf,
                                 const once::content_hash& aContent,
                                 model::instant aNow) = 0;
  virtual void OnLeafCrashed(const leaf_endpoint& aLeaf,
                             const once::suspicion& aSuspicion) = 0;
  /** @param aReason Short text for logs and metrics. */
  virtual void OnConnectionEnded(const leaf_endpoint& aLeaf,
                                 const char* aReason) = 0;
};

} // namespace monsooncroft::gateway

#endif
