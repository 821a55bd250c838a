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
constexpr std::chrono::milliseconds kCapPause{ 1'000 };

/** Smallest excess latency, or drop below the known excess, that is reported to
 * peers. */
constexpr std::chrono::milliseconds kLeastTold{ 8 };
/** Idle time after which a connection that is not kept open is closed for the
 * use of other instances: about the time between two requests of an instance if
 * instances outnumber connections. */
constexpr std::chrono::milliseconds kSharedIdle{ 1'500 };

} // namespace

leaf_endpoint::leaf_endpoint(event_loop& aLoop,
                             const header_names& aNames,
                             leaf_observer& aObserver,
                             serving::leaf_registration aEntry,
                             model::duration aOpensAheadAfter)
  : mLoop(aLoop)
  , mHeaderNames(aNames)
  , mObserver(aObserver)
  , mEntry(std::move(aEntry))
  , mPreconnectDelay(aOpensAheadAfter)
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
  const bool reborn = aEntry.mIncarnation != mEntry.mIncarnation ||
                      aEntry.mAddress != mEntry.mAddress;
  mEntry = aEntry;
  mLoad.SetColdUntil(aNow + std::chrono::milliseconds(aEntry.mColdRemainingMs));
  ReportCrashes(mCrashDetector.OnBootId(std::to_string(aEntry.mIncarnation)));
  if (!reborn) {
    return;
  }
  // A restarted leaf has lost the old connections.
  mMisdirected = false;
  const auto links = std::exchange(mConnections, {});
  for (const auto& link : links) {
    link->Close(attempt_end::OutcomeUnknown, "the leaf started again");
  }
  mLoad = serving::leaf_health();
  mLoad.SetColdUntil(aNow + std::chrono::milliseconds(aEntry.mColdRemainingMs));
}

void
leaf_endpoint::Submit(leaf_attempt_ptr aAttempt, model::instant aNow)
{
  aAttempt->mQueuedAt = aNow;
  mLoad.OnAttemptSent(aNow, aAttempt->mRouteMeanLatency);
  const auto place =
    std::upper_bound(mQueue.begin(),
                     mQueue.end(),
                     aAttempt->mAnswerBy,
                     [](model::instant aDue, const leaf_attempt_ptr& aOther) {
                       return aDue < aOther->mAnswerBy;
                     });
  mQueue.insert(place, std::move(aAttempt));
  Dispatch(aNow);
}

void
leaf_endpoint::SendNextQueued(leaf_connection& aLink, model::instant aNow)
{
  DropExpired(aNow);
  // An expired attempt's observer may have used this connection for another
  // attempt.
  if (mQueue.empty() || !aLink.Usable(aNow)) {
    return;
  }
  const leaf_attempt_ptr attempt = mQueue.front();
  mQueue.pop_front();
  aLink.Send(attempt, aNow);
}

void
leaf_endpoint::DropExpired(model::instant aNow)
{
  std::vector<leaf_attempt_ptr> expired;
  for (auto place = mQueue.begin(); place != mQueue.end();) {
    const leaf_attempt_ptr& attempt = *place;
    if (attempt->mObserver && aNow < attempt->mDeadline) {
      ++place;
      continue;
    }
    mLoad.OnAttemptDropped(
      attempt->mQueuedAt, std::nullopt, attempt->mRouteMeanLatency, aNow);
    expired.push_back(attempt);
    place = mQueue.erase(place);
  }
  for (const leaf_attempt_ptr& attempt : expired) {
    attempt->End({ attempt_end::NotSent, {}, "expired in the queue" });
  }
}

void
leaf_endpoint::Dispatch(model::instant aNow)
{
  for (std::size_t place = 0; place < mConnections.size() && !mQueue.empty();
       ++place) {
    if (mConnections[place]->Usable(aNow)) {
      SendNextQueued(*mConnections[place], aNow);
    }
  }
  if (ConnectingCount() < mQueue.size() &&
      mConnections.size() < mAllocation.mMaxConnections && !mRetired &&
      !mLoad.InConnectBackoff(aNow) && aNow >= mConnectionLimitUntil) {
    OpenConnection();
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
    mConnections.begin(), mConnections.end(), [](const auto& aLink) {
      return aLink->Connecting();
    }));
}

void
leaf_endpoint::ForEachConnection(
  const std::function<void(leaf_connection&)>& aDo)
{
  std::vector<leaf_connection*> links;
  links.reserve(mConnections.size());
  for (const auto& link : mConnections) {
    links.push_back(link.get());
  }
  for (leaf_connection* link : links) {
    if (HasConnection(*link)) {
      aDo(*link);
    }
  }
}

void
leaf_endpoint::OnTick(bool aWarm, model::instant aNow)
{
  DropExpired(aNow);
  ReportCrashes(mCrashDetector.OnTimer(aNow));
  ForEachConnection([&](leaf_connection& aLink) { aLink.OnTick(aNow); });
  if (mRetired) {
    Retire();
    return;
  }
  // OpenProbe() opens connections beyond the allocation.
  if (!mAllocation.mKeepOpen ||
      mConnections.size() > mAllocation.mMaxConnections) {
    CloseIdle(aNow);
  }
  if (aWarm && mAllocation.mKeepOpen && mConnections.empty() &&
      aNow >= mPreconnectFrom && AcceptsWork(aNow) &&
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
  for (const once::suspicion& confirmed : aSettled.mConfirmed) {
    mObserver.OnLeafCrashed(*this, confirmed);
  }
}

void
leaf_endpoint::CloseIdle(model::instant aNow)
{
  ForEachConnection([&](leaf_connection& aLink) {
    if (aLink.IdleTime(aNow) > kSharedIdle) {
      aLink.Close(attempt_end::NotSent, "idle");
    }
  });
}

void
leaf_endpoint::Retire()
{
  mRetired = true;
  FailQueued("the leaf is gone");
  ForEachConnection([](leaf_connection& aLink) {
    if (!aLink.Busy()) {
      aLink.Close(attempt_end::NotSent, "the leaf is gone");
    }
  });
}

bool
leaf_endpoint::Drained() const
{
  return mConnections.empty() && mQueue.empty();
}

void
leaf_endpoint::FailQueued(const char* aReason)
{
  const auto waiting = std::exchange(mQueue, {});
  for (const leaf_attempt_ptr& attempt : waiting) {
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
leaf_endpoint::OnConnectionClosed(leaf_connection& aLink,
                                  connection_end aEnd,
                                  const char* aReason)
{
  const auto place =
    std::find_if(mConnections.begin(),
                 mConnections.end(),
                 [&](const auto& aOwned) { return aOwned.get() == &aLink; });
  if (place != mConnections.end()) {
    // The connection's own functions are on the stack.
    mLoop.Defer(
      [link = std::shared_ptr<leaf_connection>(std::move(*place))] {});
    mConnections.erase(place);
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
      mConnectionLimitUntil = now + kCapPause;
    }
  } else if (aEnd == connection_end::Refused) {
    mProbing = false;
    mLoad.OnConnectionRefused(now);
    ReportCrashes(mCrashDetector.OnConnectionRefused());
  }
  const bool useless =
    aEnd == connection_end::LimitReached || aEnd == connection_end::Refused;
  if (useless && mConnections.empty()) {
    FailQueued(aReason);
  }
}

void
leaf_endpoint::OnAttemptDone(const leaf_attempt& aAttempt,
                             const attempt_outcome& aOutcome)
{
  const auto& [end, useful, at] = aOutcome;
  const auto work = at - *aAttempt.mSentAt - mLoad.RoundTrip();
  std::optional<model::duration> excess;
  const model::duration known = mLoad.ExcessLatency(at);
  if (end == attempt_end::Answered && useful) {
    excess =
      mLoad.OnAnswer(aAttempt.mQueuedAt, work, aAttempt.mRouteMeanLatency, at);
  } else if (end == attempt_end::Answered || end == attempt_end::NotRun) {
    mLoad.OnError(aAttempt.mQueuedAt, at);
    mObserver.OnLeafError(*this);
  } else {
    excess = mLoad.OnAttemptDropped(
      aAttempt.mQueuedAt, work, aAttempt.mRouteMeanLatency, at);
  }
  const auto least =
    std::max<model::duration>(aAttempt.mRouteMeanLatency, kLeastTold);
  if (excess && (*excess > least || known - *excess > least)) {
    mObserver.OnExcessLatency(*this, *excess);
  }
}

bool
leaf_endpoint::HasConnection(const leaf_connection& aLink) const
{
  return std::any_of(
    mConnections.begin(), mConnections.end(), [&](const auto& aOwned) {
      return aOwned.get() == &aLink;
    });
}

} // namespace monsooncroft::gateway
