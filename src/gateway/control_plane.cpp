/**
 * @file control_plane.cpp
 * Configuration, registrations and peers of an instance.
 */
#include "gateway/control_plane_base.h"

#include "gateway/event_loop_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/fleet_codec_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Failures in a row after which others take over this one's duties. */
constexpr int kFailuresToYield = 2;
/** Deaths told in each round besides the news, so that it fits a datagram. */
constexpr std::size_t kMostDeathsTold = 3;
/** Cheap reads that were old are taken to be so for this long. */
constexpr std::chrono::milliseconds kFreshFor{ 2'500 };

} // namespace

const char*
ToText(store_error aError)
{
  switch (aError) {
    case store_error::Unreachable:
      return "unreachable";
    case store_error::Refused:
      return "refused";
    case store_error::Absent:
      return "absent";
    case store_error::HistoryLost:
      return "history lost";
    case store_error::Malformed:
      return "malformed";
  }
  return "unknown";
}

control_plane::control_plane(event_loop& aLoop,
                             control_store& aStore,
                             serving::fleet_view aFleet,
                             const control_settings& aSettings,
                             hooks aHooks,
                             const ops::log& aLog,
                             ops::metrics& aMetrics)
  : mLoop(aLoop)
  , mStore(aStore)
  , mFleet(std::move(aFleet))
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mPort(
      aLoop,
      mFleet.Self().mPeer,
      [this](std::string_view aBytes, const model::endpoint& aFrom) {
        OnDatagram(aBytes, aFrom);
      },
      [this] { return Snapshot(); },
      aLog)
{
}

control_plane::~control_plane() = default;

void
control_plane::OnTick(model::instant aNow)
{
  ReadDirectory(aNow);
  FollowConfig(aNow);
}

serving::fleet_message
control_plane::Message(bool aWantsReply)
{
  serving::fleet_message message = mFleet.Told(event_loop::Now());
  message.mWantsReply = aWantsReply;
  message.mSuspects = mHooks.mSuspects();
  message.mDeaths = mHooks.mDeaths();
  message.mDeaths.resize(std::min(message.mDeaths.size(), kMostDeathsTold));
  return message;
}

void
control_plane::OnRound(model::instant aNow)
{
  const auto targets = mFleet.OnRound(aNow);
  if (targets.empty()) {
    return;
  }
  const std::string bytes =
    serving::EncodeMessage(Message(mFleet.Live(aNow).empty()));
  for (const model::endpoint& target : targets) {
    mPort.Send(target, bytes);
  }
}

void
control_plane::TellDeath(const once::death_mark& aMark, model::instant aNow)
{
  serving::fleet_message message;
  message.mDeaths = { aMark };
  Tell(mFleet.Counted(aNow), std::move(message));
}

void
control_plane::TellNeighbours(
  std::vector<serving::leaf_observation> aObservations,
  std::vector<std::string> aLostWays,
  model::instant aNow)
{
  serving::fleet_message message;
  message.mObservations = std::move(aObservations);
  message.mLostWays = std::move(aLostWays);
  auto neighbours = mFleet.Live(aNow);
  std::erase_if(neighbours, [this](const serving::fleet_member& aMember) {
    return aMember.mDataCentre != mFleet.Self().mDataCentre;
  });
  Tell(neighbours, std::move(message));
}

void
control_plane::Tell(const std::vector<serving::fleet_member>& aMembers,
                    serving::fleet_message aMessage)
{
  aMessage.mMembers = { mFleet.Self() };
  const std::string bytes = serving::EncodeMessage(aMessage);
  for (const serving::fleet_member& member : aMembers) {
    mPort.Send(member.mPeer, bytes);
  }
}

void
control_plane::OnDatagram(std::string_view aBytes, const model::endpoint& aFrom)
{
  const auto message = serving::DecodeMessage(aBytes);
  if (!message || message->mMembers.empty()) {
    mLog.Write(ops::log_level::Warning,
               "peer_message_malformed",
               { { "from", aFrom.ToString() } });
    mMetrics.Count("peer_messages_malformed");
    return;
  }
  const model::instant now = event_loop::Now();
  mFleet.OnMessage(*message, now);
  if (message->mMembers.front().mReachesStore) {
    mStoreHeard = now;
  }
  for (const serving::leaf_suspicion& suspicion : message->mSuspects) {
    mHooks.mOnSuspicion(suspicion);
  }
  for (const serving::leaf_observation& seen : message->mObservations) {
    mHooks.mOnObservation(seen);
  }
  for (const std::string& dataCentre : message->mLostWays) {
    // Only neighbours share the ways to other data centres.
    if (message->mMembers.front().mDataCentre == mFleet.Self().mDataCentre) {
      mHooks.mOnWayLost(dataCentre);
    }
  }
  for (const once::death_mark& death : message->mDeaths) {
    mHooks.mOnDeath(death);
  }
  for (const serving::directory_delta& delta : message->mDeltas) {
    const bool complete = mDirectory.OnDelta(delta, now);
    ApplyLeaves();
    if (!complete && !mPull.mBusy && now >= mPull.mNext) {
      PullSnapshot(message->mMembers.front());
    }
  }
  if (message->mWantsReply) {
    mPort.Send(aFrom, serving::EncodeMessage(Message(false)));
  }
}

void
control_plane::OnCallDone(caller_state& aState,
                          const char* aCall,
                          std::optional<store_error> aError)
{
  const model::instant now = event_loop::Now();
  aState.mBusy = false;
  const bool answered = !aError || *aError == store_error::Absent ||
                        *aError == store_error::HistoryLost;
  if (answered) {
    aState.mPause = model::duration(0);
    mFailures = 0;
    mStoreHeard = now;
    if (!mFleet.Self().mReachesStore) {
      mLog.Write(ops::log_level::Info,
                 "store_reached",
                 { { "call", std::string(aCall) } });
      mFleet.SetReachesStore(true);
    }
  }
  if (!aError) {
    return;
  }
  Postpone(aState, now);
  mMetrics.Count("store_failures", { { "call", aCall } });
  mFailures += answered ? 0 : 1;
  if (!answered && mFailures == kFailuresToYield) {
    mLog.Write(ops::log_level::Warning,
               "store_lost",
               { { "call", std::string(aCall) },
                 { "error", std::string(ToText(*aError)) } });
    mFleet.SetReachesStore(false);
  }
}

void
control_plane::Postpone(caller_state& aState, model::instant aNow) const
{
  aState.mPause = std::clamp<model::duration>(
    2 * aState.mPause, mSettings.mRetryPause, mSettings.mLongestRetryPause);
  aState.mNext = aNow + aState.mPause;
}

bool
control_plane::DirectoryDue(model::instant aNow) const
{
  const auto complete = mDirectory.LastComplete();
  if (!complete) {
    return true;
  }
  if (aNow - *complete < mSettings.mDirectoryPeriod) {
    return false; // Whatever the rank.
  }
  const std::size_t rank =
    std::min(mFleet.Rank("directory", false, aNow), mSettings.mMostStaggers);
  const auto period = mSettings.mDirectoryPeriod +
                      static_cast<int>(rank) * mSettings.mDirectoryStagger;
  return aNow - *complete >= period;
}

void
control_plane::ReadDirectory(model::instant aNow)
{
  if (!mDirectoryCall.mBusy && aNow >= mDirectoryCall.mNext &&
      DirectoryDue(aNow)) {
    ReadDirectoryNow(aNow);
  }
  WatchDirectory(aNow);
  if (const auto delta = mDirectory.Settle(aNow)) {
    TellDirectory(*delta, aNow);
  }
}

void
control_plane::ReadDirectoryNow(model::instant aNow)
{
  const bool mayBeOld = aNow >= mFreshUntil;
  mDirectoryCall.mBusy = true;
  mMetrics.Count("store_calls",
                 { { "call", mayBeOld ? "directory" : "directory_fresh" } });
  mStore.ReadDirectory(
    mayBeOld,
    [this, mayBeOld](const store_result<serving::directory_read>& aResult) {
      OnDirectory(aResult, mayBeOld);
    });
}

void
control_plane::OnDirectory(const store_result<serving::directory_read>& aResult,
                           bool aMayBeOld)
{
  const auto* error = std::get_if<store_error>(&aResult);
  OnCallDone(mDirectoryCall,
             "directory",
             error == nullptr ? std::nullopt : std::optional(*error));
  if (error != nullptr) {
    return;
  }
  const model::instant now = event_loop::Now();
  const auto& read = std::get<serving::directory_read>(aResult);
  if (const auto delta = mDirectory.OnRead(read, now)) {
    TellDirectory(*delta, now);
    return;
  }
  mLog.Write(ops::log_level::Info,
             "directory_read_old",
             { { "revision", static_cast<long>(read.mRevision) },
               { "known", static_cast<long>(mDirectory.Revision()) } });
  if (aMayBeOld) {
    mFreshUntil = now + kFreshFor;
    ReadDirectoryNow(now);
  }
}

void
control_plane::TellDirectory(const serving::directory_delta& aDelta,
                             model::instant aNow)
{
  ApplyLeaves();
  serving::fleet_message message;
  message.mDeltas = { aDelta };
  // Also to those that seem silent: a leaf's drain must reach all.
  Tell(mFleet.Counted(aNow), std::move(message));
}

void
control_plane::WatchDirectory(model::instant aNow)
{
  if (mDirectoryWatch.mBusy || aNow < mDirectoryWatch.mNext ||
      !mDirectory.LastComplete() || mFleet.Rank("directory", false, aNow) > 0) {
    return;
  }
  mDirectoryWatch.mBusy = true;
  mMetrics.Count("store_calls", { { "call", "directory_watch" } });
  mStore.WatchDirectory(
    mDirectory.Revision(),
    mSettings.mWatchWait,
    [this](const store_result<serving::directory_delta>& aResult) {
      OnDirectoryChange(aResult);
    });
}

void
control_plane::OnDirectoryChange(
  const store_result<serving::directory_delta>& aResult)
{
  const auto* error = std::get_if<store_error>(&aResult);
  OnCallDone(mDirectoryWatch,
             "directory_watch",
             error == nullptr ? std::nullopt : std::optional(*error));
  const model::instant now = event_loop::Now();
  if (error != nullptr) {
    if (*error == store_error::HistoryLost) {
      mFreshUntil = now + kFreshFor;
      mDirectoryCall.mNext = now;
      if (!mDirectoryCall.mBusy) {
        ReadDirectoryNow(now);
      }
    }
    return;
  }
  // Changes come in bursts: one call takes several.
  mDirectoryWatch.mNext = now + mSettings.mWatchPause;
  TellDirectory(
    mDirectory.OnWatch(std::get<serving::directory_delta>(aResult), now), now);
}

void
control_plane::ApplyLeaves()
{
  const auto changes = mDirectory.TakeChanges();
  for (const std::string& id : changes.mRemoved) {
    mEntries.erase(id);
    mLog.Write(ops::log_level::Info,
               "leaf_gone",
               { { "leaf", id },
                 { "revision", static_cast<long>(mDirectory.Revision()) } });
  }
  for (const serving::leaf_entry& entry : changes.mChanged) {
    mEntries.insert_or_assign(entry.mId, entry);
    mLog.Write(ops::log_level::Info,
               "leaf_known",
               { { "leaf", entry.mId },
                 { "service", entry.mService },
                 { "address", entry.mAddress.ToString() },
                 { "draining", static_cast<long>(entry.mDraining) },
                 { "revision", static_cast<long>(entry.mRevision) } });
  }
  if (!changes.mRemoved.empty() || !changes.mChanged.empty()) {
    mHooks.mOnLeaves(changes);
  }
}

} // namespace monsooncroft::gateway
