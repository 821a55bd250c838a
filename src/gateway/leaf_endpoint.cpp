/**
 * @file leaf_endpoint.cpp
 * This instance's state and connections for one leaf.
 */
#include "gateway/leaf_endpoint_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/leaf_connection_base.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace monsooncroft::gateway {

namespace {

/** Pause before the next connection to a leaf at its connection limit. */
constexpr std::chrono::milliseconds kConnectionLimitPause{ 1'000 };

/** Smallest excess latency, or drop below the known excess, that is reported to
 * peers. */
constexpr std::chrono::milliseconds kMinReportedExcess{ 8 };
/** Idle time after which a connection that is not kept open is closed for the
 * use of other instances: about the time between two requests of an instance if
 * instances outnumber connections. */
constexpr std::chrono::milliseconds kSharedIdleTimeout{ 1'500 };
/** Least work that an attempt counts for in the shares of workspaces: what a
 * leaf spends on any request. */
constexpr std::chrono::milliseconds kMinAttemptCost{ 1 };

} // namespace

leaf_endpoint::leaf_endpoint(event_loop& aLoop,
                             const header_names& aHeaderNames,
                             leaf_observer& aObserver,
                             serving::leaf_registration aEntry,
                             model::duration aPreconnectDelay)
  : mLoop(aLoop)
  , mHeaderNames(aHeaderNames)
  , mObserver(aObserver)
  , mEntry(std::move(aEntry))
  , mPreconnectDelay(aPreconnectDelay)
  , mCrashDetector(model::leaf_id(mEntry.mId))
{
  ReportCrashes(mCrashDetector.OnBootId(std::to_string(mEntry.mIncarnation)));
  const model::instant now = event_loop::Now();
  mLoad.SetColdUntil(now + std::chrono::milliseconds(mEntry.mColdRemainingMs));
}

leaf_endpoint::~leaf_endpoint() = default;

void
leaf_endpoint::Update(const serving::leaf_registration& aEntry,
                      model::instant aNow)
{
  const bool restarted = aEntry.mIncarnation != mEntry.mIncarnation ||
                         aEntry.mAddress != mEntry.mAddress;
  mEntry = aEntry;
  mLoad.SetColdUntil(aNow + std::chrono::milliseconds(aEntry.mColdRemainingMs));
  ReportCrashes(mCrashDetector.OnBootId(std::to_string(aEntry.mIncarnation)));
  if (mEntry.mDraining) {
    FailQueued("the leaf is draining"); // They are sent to other replicas.
  }
  if (!restarted) {
    return;
  }
  // A restarted leaf has lost the old connections.
  mMisdirected = false;
  const auto connections = std::exchange(mConnections, {});
  for (const auto& connection : connections) {
    connection->Close(attempt_end::OutcomeUnknown, "the leaf started again");
  }
  mLoad = serving::leaf_health();
  mLoad.SetColdUntil(aNow + std::chrono::milliseconds(aEntry.mColdRemainingMs));
}

void
leaf_endpoint::SetNotices(bool aLeaving,
                          model::instant aPausedUntil,
                          model::instant aNow)
{
  const bool leavesNow = aLeaving && !mLeaving;
  mLeaving = aLeaving;
  mPausedUntil = aPausedUntil;
  if (leavesNow) {
    FailQueued("the leaf is leaving"); // They are sent to other replicas.
  } else if (IsPaused(aNow)) {
    FailQueued("the leaf asked for a pause");
  }
}

void
leaf_endpoint::Submit(leaf_attempt_ptr aAttempt, model::instant aNow)
{
  aAttempt->mQueuedAt = aNow;
  mLoad.OnAttemptSent(aNow, aAttempt->mRouteMeanLatency);
  const leaf_attempt& attempt = *aAttempt;
  const serving::queue_position position{
    attempt.mRequest->mWorkspace,
    attempt.mRank,
    attempt.mAnswerBy,
    std::max<model::duration>(attempt.mRouteMeanLatency, kMinAttemptCost)
  };
  mQueue.Insert(std::move(aAttempt), position);
  Dispatch(aNow);
}

void
leaf_endpoint::SendNextQueued(leaf_connection& aConnection, model::instant aNow)
{
  DropExpired(aNow);
  // An expired attempt's observer may have used this connection for another
  // attempt.
  if (!aConnection.Usable(aNow)) {
    return;
  }
  const auto next = mQueue.TakeNext([&](const leaf_attempt_ptr& aQueued) {
    return aConnection.MayCarry(aQueued->mRequest);
  });
  if (next) {
    aConnection.Send(*next, aNow);
  }
}

void
leaf_endpoint::DropExpired(model::instant aNow)
{
  const std::vector<leaf_attempt_ptr> expired =
    mQueue.RemoveIf([&](const leaf_attempt_ptr& aQueued) {
      return !aQueued->mObserver || aNow >= aQueued->mDeadline;
    });
  for (const leaf_attempt_ptr& attempt : expired) {
    mLoad.OnAttemptDropped(
      attempt->mQueuedAt, std::nullopt, attempt->mRouteMeanLatency, aNow);
  }
  for (const leaf_attempt_ptr& attempt : expired) {
    attempt->End({ attempt_end::NotSent, {}, "expired in the queue" });
  }
}

void
leaf_endpoint::Dispatch(model::instant aNow)
{
  for (std::size_t position = 0;
       position < mConnections.size() && !mQueue.Empty();
       ++position) {
    if (mConnections[position]->Usable(aNow)) {
      SendNextQueued(*mConnections[position], aNow);
    }
  }
  if (ConnectingCount() >= mQueue.Size() || mRetired ||
      mLoad.InConnectBackoff(aNow) || aNow < mConnectionLimitUntil) {
    return;
  }
  if (mConnections.size() >= mAllocation.mMaxConnections) {
    CloseOneUsable(aNow);
  }
  if (mConnections.size() < mAllocation.mMaxConnections) {
    OpenConnection();
  }
}

void
leaf_endpoint::CloseOneUsable(model::instant aNow)
{
  const auto usable =
    std::find_if(mConnections.begin(),
                 mConnections.end(),
                 [&](const auto& aOwned) { return aOwned->Usable(aNow); });
  if (usable != mConnections.end()) {
    (*usable)->Close(attempt_end::NotSent,
                     "must not carry the waiting request");
  }
}

void
leaf_endpoint::OpenConnection()
{
  mObserver.OnConnectionOpened(*this);
  mConnections.push_back(std::make_unique<leaf_connection>(
    mLoop, *this, mEntry.mAddress, mHeaderNames));
}

void
leaf_endpoint::OpenProbe()
{
  if (ConnectingCount() == 0 && !mRetired) {
    OpenConnection();
  }
}

std::size_t
leaf_endpoint::ConnectingCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [](const auto& aConnection) {
      return aConnection->Connecting();
    }));
}

void
leaf_endpoint::ForEachConnection(
  const std::function<void(leaf_connection&)>& aFunction)
{
  std::vector<leaf_connection*> connections;
  connections.reserve(mConnections.size());
  for (const auto& connection : mConnections) {
    connections.push_back(connection.get());
  }
  for (leaf_connection* connection : connections) {
    if (HasConnection(*connection)) {
      aFunction(*connection);
    }
  }
}

void
leaf_endpoint::OnTick(bool aMayPreconnect, model::instant aNow)
{
  DropExpired(aNow);
  ReportCrashes(mCrashDetector.OnTimer(aNow));
  ForEachConnection(
    [&](leaf_connection& aConnection) { aConnection.OnTick(aNow); });
  if (mRetired) {
    Retire();
    return;
  }
  // OpenProbe() opens connections beyond the allocation.
  if (!mAllocation.mKeepOpen ||
      mConnections.size() > mAllocation.mMaxConnections) {
    CloseIdle(aNow);
  }
  if (aMayPreconnect && mAllocation.mKeepOpen && mConnections.empty() &&
      aNow >= mPreconnectFrom && AcceptsWork(aNow) && !IsPaused(aNow) &&
      !mLoad.InConnectBackoff(aNow)) {
    OpenConnection();
  }
  Dispatch(aNow);
}

void
leaf_endpoint::OnConnectionLostInFlight(const leaf_attempt& aAttempt,
                                        model::instant aNow)
{
  mProbing = true; // A new connection shows whether the leaf still runs.
  mCrashDetector.OnConnectionLost(
    aAttempt.mRequest->mContentHash, model::service_id(mEntry.mService), aNow);
}

void
leaf_endpoint::ReportCrashes(const once::settled_suspicions& aSettled)
{
  for (const once::suspicion& crash : aSettled.mConfirmed) {
    mObserver.OnLeafCrashed(*this, crash);
  }
}

void
leaf_endpoint::CloseIdle(model::instant aNow)
{
  ForEachConnection([&](leaf_connection& aConnection) {
    if (aConnection.IdleTime(aNow) > kSharedIdleTimeout) {
      aConnection.Close(attempt_end::NotSent, "idle");
    }
  });
}

void
leaf_endpoint::Retire()
{
  mRetired = true;
  FailQueued("the leaf is gone");
  ForEachConnection([](leaf_connection& aConnection) {
    if (!aConnection.Busy()) {
      aConnection.Close(attempt_end::NotSent, "the leaf is gone");
    }
  });
}

bool
leaf_endpoint::Drained() const
{
  return mConnections.empty() && mQueue.Empty();
}

void
leaf_endpoint::FailQueued(const char* aReason)
{
  const std::vector<leaf_attempt_ptr> queued = mQueue.TakeAll();
  for (const leaf_attempt_ptr& attempt : queued) {
    mLoad.OnAttemptDropped(attempt->mQueuedAt,
                           std::nullopt,
                           attempt->mRouteMeanLatency,
                           event_loop::Now());
    attempt->End({ attempt_end::NotSent, {}, aReason });
  }
}

void
leaf_endpoint::OnConnectionEstablished(model::duration aRoundTrip,
                                       model::instant aNow)
{
  mProbing = false;
  mLoad.OnConnected(aRoundTrip, aNow);
  Dispatch(aNow);
}

void
leaf_endpoint::OnConnectionClosed(leaf_connection& aConnection,
                                  connection_end aEnd,
                                  const char* aReason)
{
  const auto position = std::find_if(
    mConnections.begin(), mConnections.end(), [&](const auto& aOwned) {
      return aOwned.get() == &aConnection;
    });
  if (position != mConnections.end()) {
    // The connection's own functions are on the stack.
    mLoop.Defer(
      [connection = std::shared_ptr<leaf_connection>(std::move(*position))] {});
    mConnections.erase(position);
  }
  if (std::strcmp(aReason, "idle") != 0) {
    mObserver.OnConnectionEnded(*this, aReason);
  }
  const model::instant now = event_loop::Now();
  if (aEnd == connection_end::IdleTimeout) {
    mPreconnectFrom = now + mPreconnectDelay;
  } else if (aEnd == connection_end::LimitReached) {
    // Other instances hold the leaf's connections, or appear to: machines that
    // lost power never close theirs.
    if (!mProbing) {
      mConnectionLimitUntil = now + kConnectionLimitPause;
    }
  } else if (aEnd == connection_end::Refused) {
    mProbing = false;
    mLoad.OnConnectionRefused(now);
    ReportCrashes(mCrashDetector.OnConnectionRefused());
  }
  const bool unusable =
    aEnd == connection_end::LimitReached || aEnd == connection_end::Refused;
  if (unusable && mConnections.empty()) {
    FailQueued(aReason);
  }
}

void
leaf_endpoint::OnAttemptDone(const leaf_attempt& aAttempt,
                             const attempt_outcome& aOutcome)
{
  const auto& [end, succeeded, endedAt] = aOutcome;
  const auto work = endedAt - *aAttempt.mSentAt - mLoad.RoundTrip();
  std::optional<model::duration> excess;
  const model::duration knownExcess = mLoad.ExcessLatency(endedAt);
  if (end == attempt_end::Answered && succeeded) {
    mObserver.OnRequestAnswered(
      *this, aAttempt.mRequest->mContentHash, endedAt);
    excess = mLoad.OnAnswer(
      aAttempt.mQueuedAt, work, aAttempt.mRouteMeanLatency, endedAt);
  } else if (end == attempt_end::Answered || end == attempt_end::NotRun) {
    mLoad.OnError(aAttempt.mQueuedAt, endedAt);
    mObserver.OnLeafError(*this);
  } else {
    excess = mLoad.OnAttemptDropped(
      aAttempt.mQueuedAt, work, aAttempt.mRouteMeanLatency, endedAt);
    if (end == attempt_end::OutcomeUnknown && !aAttempt.mAbandonedAt) {
      mLoad.OnLostAnswer(endedAt);
      mObserver.OnLeafError(*this);
    }
  }
  const auto threshold =
    std::max<model::duration>(aAttempt.mRouteMeanLatency, kMinReportedExcess);
  if (excess && (*excess > threshold || knownExcess - *excess > threshold)) {
    mObserver.OnExcessLatency(*this, *excess);
  }
}

void
leaf_endpoint::SetOverLimit(int aTargetLatencyMs, model::instant aUntil)
{
  // aUntil is a time from now, so a past one no longer matters.
  if (aUntil >= mOverLimitUntil || aTargetLatencyMs <= mOverLimitLatencyMs) {
    mOverLimitUntil = aUntil;
    mOverLimitLatencyMs = aTargetLatencyMs;
  }
}

std::optional<model::instant>
leaf_endpoint::OverLimitUntil(int aTargetLatencyMs, model::instant aNow) const
{
  return aNow < mOverLimitUntil && aTargetLatencyMs >= mOverLimitLatencyMs
           ? std::optional(mOverLimitUntil)
           : std::nullopt;
}

std::optional<model::instant>
leaf_endpoint::UnavailableUntil(int aTargetLatencyMs, model::instant aNow) const
{
  const auto overLimit = OverLimitUntil(aTargetLatencyMs, aNow);
  if (!IsPaused(aNow)) {
    return overLimit;
  }
  return std::max(mPausedUntil, overLimit.value_or(mPausedUntil));
}

void
leaf_endpoint::OnLeavingNotice(const std::string& aValue)
{
  mObserver.OnLeavingNotice(*this, aValue);
}

void
leaf_endpoint::OnPauseNotice(const std::string& aValue)
{
  mObserver.OnPauseNotice(*this, aValue);
}

void
leaf_endpoint::OnRateLimit(std::optional<double> aPerSecond)
{
  mObserver.OnRateLimit(*this, aPerSecond);
}

void
leaf_endpoint::OnRateLimitMalformed(const std::string& aValue)
{
  mObserver.OnRateLimitMalformed(*this, aValue);
}

void
leaf_endpoint::OnAnswerMalformed(const std::string& aRequestId,
                                 const char* aDefect)
{
  mObserver.OnAnswerMalformed(*this, aRequestId, aDefect);
}

bool
leaf_endpoint::HasConnection(const leaf_connection& aConnection) const
{
  return std::any_of(
    mConnections.begin(), mConnections.end(), [&](const auto& aOwned) {
      return aOwned.get() == &aConnection;
    });
}

} // namespace monsooncroft::gateway
