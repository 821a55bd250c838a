/**
 * @file control_plane.cpp
 * Configuration, leaf registrations and peers of an entry instance.
 */
#include "gateway/control_plane_base.h"

#include "gateway/event_loop_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/fleet_codec_func.h"

#include <algorithm>
#include <utility>

namespace monsooncroft::gateway {

namespace {

/** Consecutive failed calls after which other instances take over this one's
 * store reads. */
constexpr int kFailuresToYield = 2;
/** Crash marks sent in each gossip message besides the updates, so that it fits
 * a datagram. */
constexpr std::size_t kMaxCrashMarksPerMessage = 3;
/** After a stale read, reads must be fresh for this long. */
constexpr std::chrono::milliseconds kFreshReadPeriod{ 2'500 };
/** Bytes of one change of the registrations that are sent to peers at once; a
 * burst that fills this machine's link is dropped by the network. The other
 * peers pull the change from those that have it. */
constexpr std::size_t kMaxPushBytes = 65'536;
/** Time for which an instance waits for changes on their way to it before it
 * pulls them from a peer. */
constexpr std::chrono::milliseconds kPullDelay{ 150 };
/** Time in which a watch brings a change that came in another way; a large
 * configuration takes a while. */
constexpr std::chrono::milliseconds kWatchGrace{ 1'000 };
/** Time in which a watch or a periodic read confirms the registrations, before
 * a read is made for it. */
constexpr std::chrono::milliseconds kConfirmationGrace{ 300 };
/** Time for which an instance tries to pull changes from peers that have them
 * before it reads the store: after an outage, all instances would read it. */
constexpr std::chrono::milliseconds kPullPatience{ 600 };

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
    case store_error::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

control_plane::control_plane(event_loop& aLoop,
                             control_store& aStore,
                             serving::fleet_membership aFleet,
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
  , mStartedAt(event_loop::Now())
  , mLastTickAt(mStartedAt)
  , mRunningSince(mStartedAt)
  , mPeerSocket(
      aLoop,
      mFleet.Self().mPeerEndpoint,
      [this](std::string_view aBytes, const model::endpoint& aFrom) {
        OnDatagram(aBytes, aFrom);
      },
      [this](std::string_view aRequest) { return MakeSnapshot(aRequest); },
      aLog)
{
}

control_plane::~control_plane() = default;

void
control_plane::CheckTickGap(model::instant aNow)
{
  if (aNow - std::exchange(mLastTickAt, aNow) > kStandstillGap) {
    mRunningSince = aNow;
  }
}

void
control_plane::OnTick(model::instant aNow)
{
  CheckTickGap(aNow);
  PollDirectory(aNow);
  UpdateConfig(aNow);
}

serving::fleet_message
control_plane::MakeMessage(bool aWantsReply)
{
  serving::fleet_message message = mFleet.BuildMessage(event_loop::Now());
  message.mWantsReply = aWantsReply;
  message.mSuspicions = mHooks.mSuspectedLeaves();
  message.mCrashMarks = NextCrashMarks();
  return message;
}

void
control_plane::OnGossipRound(model::instant aNow)
{
  const auto targets = mFleet.StartGossipRound(aNow);
  if (targets.empty()) {
    return;
  }
  const std::string bytes =
    serving::EncodeMessage(MakeMessage(mFleet.LiveMembers(aNow).empty()));
  // What leaves said is sent apart, so that both messages fit a datagram.
  serving::fleet_message notices;
  notices.mLeafLimits = mHooks.mLeafLimits();
  notices.mLeafDepartures = mHooks.mLeafDepartures();
  notices.mMembers = { mFleet.Self() };
  const bool hasNotices =
    !notices.mLeafLimits.empty() || !notices.mLeafDepartures.empty();
  const std::string noticeBytes =
    hasNotices ? serving::EncodeMessage(notices) : "";
  for (const model::endpoint& target : targets) {
    SendToPeer(target, bytes);
    if (hasNotices) {
      SendToPeer(target, noticeBytes);
    }
  }
}

std::vector<once::crash_mark>
control_plane::NextCrashMarks()
{
  std::vector<once::crash_mark> marks = mHooks.mCrashMarks();
  if (marks.size() <= kMaxCrashMarksPerMessage) {
    return marks;
  }
  // All marks in turn, so that peers that missed one learn of it.
  mNextCrashMark %= marks.size();
  std::rotate(marks.begin(),
              marks.begin() + static_cast<std::ptrdiff_t>(mNextCrashMark),
              marks.end());
  marks.resize(kMaxCrashMarksPerMessage);
  mNextCrashMark += kMaxCrashMarksPerMessage;
  return marks;
}

void
control_plane::SendCrashMarks(const std::vector<once::crash_mark>& aMarks,
                              model::instant aNow)
{
  const auto position = [&](std::size_t aIndex) {
    return aMarks.begin() +
           static_cast<std::ptrdiff_t>(std::min(aIndex, aMarks.size()));
  };
  for (std::size_t first = 0; first < aMarks.size();
       first += kMaxCrashMarksPerMessage) {
    serving::fleet_message message;
    message.mCrashMarks.assign(position(first),
                               position(first + kMaxCrashMarksPerMessage));
    SendToPeers(mFleet.PossiblyLiveMembers(aNow), std::move(message));
  }
}

void
control_plane::SendToDataCentrePeers(
  std::vector<serving::leaf_observation> aObservations,
  std::vector<std::string> aUnreachableDataCentres,
  model::instant aNow)
{
  serving::fleet_message message;
  message.mLeafObservations = std::move(aObservations);
  message.mUnreachableDataCentres = std::move(aUnreachableDataCentres);
  auto members = mFleet.LiveMembers(aNow);
  std::erase_if(members, [this](const serving::fleet_member& aMember) {
    return aMember.mDataCentre != mFleet.Self().mDataCentre;
  });
  SendToPeers(members, std::move(message));
}

void
control_plane::SendToRoots(std::vector<serving::leaf_observation> aObservations,
                           model::instant aNow)
{
  serving::fleet_message message;
  message.mLeafObservations = std::move(aObservations);
  auto members = mFleet.LiveMembers(aNow);
  std::erase_if(members, [this](const serving::fleet_member& aMember) {
    return aMember.mRelayPort == 0 ||
           aMember.mDataCentre != mFleet.Self().mDataCentre;
  });
  SendToPeers(members, std::move(message));
}

void
control_plane::SendToPeer(const model::endpoint& aPeer,
                          const std::string& aBytes)
{
  if (!mPeerSocket.Send(aPeer, aBytes)) {
    mMetrics.Count("peer_datagrams_unsent");
  }
}

void
control_plane::SendToPeers(const std::vector<serving::fleet_member>& aMembers,
                           serving::fleet_message aMessage)
{
  aMessage.mMembers = { mFleet.Self() };
  const std::string bytes = serving::EncodeMessage(aMessage);
  for (const serving::fleet_member& member : aMembers) {
    SendToPeer(member.mPeerEndpoint, bytes);
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
  for (const std::string& part : message->mMalformedParts) {
    mLog.Write(ops::log_level::Warning,
               "peer_message_part_malformed",
               { { "from", aFrom.ToString() }, { "part", part } });
    mMetrics.Count("peer_message_parts_malformed",
                   { { "part", part.c_str() } });
  }
  mFleet.OnMessage(*message, now);
  mFirstContactAt = mFirstContactAt.value_or(now);
  for (const serving::fleet_member& member : message->mMembers) {
    UpdateStoreEra(member.mDirectoryRevision, "peer");
  }
  if (message->mMembers.front().mReachesStore) {
    mStoreLastContact = now;
  }
  for (const serving::leaf_suspicion& suspicion : message->mSuspicions) {
    mHooks.mOnSuspicion(suspicion);
  }
  for (const serving::leaf_observation& observation :
       message->mLeafObservations) {
    mHooks.mOnObservation(observation);
  }
  for (const std::string& dataCentre : message->mUnreachableDataCentres) {
    // Accepted only from instances of the same data centre: the others have
    // different network paths.
    if (message->mMembers.front().mDataCentre == mFleet.Self().mDataCentre) {
      mHooks.mOnDataCentreUnreachable(dataCentre);
    }
  }
  for (const once::crash_mark& mark : message->mCrashMarks) {
    mHooks.mOnCrashMark(mark);
  }
  for (const serving::directory_delta& delta : message->mDirectoryDeltas) {
    const bool complete = mDirectory.OnDelta(delta, now);
    ApplyLeaves();
    if (!complete) {
      OnDirectoryBehind(message->mMembers.front().mName, delta.mRevision, now);
    }
  }
  for (const serving::leaf_limit_report& report : message->mLeafLimits) {
    mHooks.mOnLeafLimit(report);
  }
  for (const serving::leaf_departure& departure : message->mLeafDepartures) {
    mHooks.mOnLeafDeparture(departure);
  }
  for (const serving::permit_request& request : message->mPermitRequests) {
    mHooks.mOnPermitRequest(request, aFrom);
  }
  for (const serving::permit_reply& reply : message->mPermitReplies) {
    mHooks.mOnPermitReply(reply);
  }
  if (!message->mQuota.IsEmpty()) {
    mHooks.mOnQuota(message->mQuota, message->mMembers.front());
  }
  if (message->mWantsReply) {
    SendToPeer(aFrom, serving::EncodeMessage(MakeMessage(false)));
  }
}

void
control_plane::UpdateStoreEra(model::store_revision aRevision,
                              const char* aSource)
{
  if (aRevision == model::store_revision() ||
      (mStoreEra && aRevision.Era() <= *mStoreEra)) {
    return;
  }
  const auto before = std::exchange(mStoreEra, aRevision.Era());
  if (!before) {
    return;
  }
  mMetrics.Count("store_restores");
  mLog.Write(ops::log_level::Warning,
             "store_restored",
             { { "era", static_cast<long>(aRevision.Era()) },
               { "revision", ToText(aRevision) },
               { "source", std::string(aSource) } });
  mStore.EndWatchesBefore(aRevision.Era());
}

void
control_plane::OnCallDone(call_state& aState,
                          const char* aCall,
                          std::optional<store_error> aError)
{
  const model::instant now = event_loop::Now();
  aState.mBusy = false;
  if (aError == store_error::Cancelled) {
    aState.mNextCall = now;
    return;
  }
  const bool answered = !aError || *aError == store_error::Absent ||
                        *aError == store_error::HistoryLost;
  if (answered) {
    aState.mRetryDelay = model::duration(0);
    mConsecutiveFailures = 0;
    mStoreLastContact = now;
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
  ScheduleRetry(aState, now);
  mMetrics.Count("store_failures", { { "call", aCall } });
  mConsecutiveFailures += answered ? 0 : 1;
  const bool isAway =
    *aError == store_error::Unreachable || *aError == store_error::Refused;
  if (isAway && aState.mBegunAt && !HasStoodStillSince(*aState.mBegunAt, now)) {
    mDirectory.OnStoreFailure(*aState.mBegunAt);
  }
  if (!answered && mConsecutiveFailures == kFailuresToYield) {
    mLog.Write(ops::log_level::Warning,
               "store_lost",
               { { "call", std::string(aCall) },
                 { "error", std::string(ToText(*aError)) } });
    mFleet.SetReachesStore(false);
  }
}

void
control_plane::ScheduleRetry(call_state& aState, model::instant aNow) const
{
  aState.mRetryDelay = std::clamp<model::duration>(
    2 * aState.mRetryDelay, mSettings.mMinRetryDelay, mSettings.mMaxRetryDelay);
  aState.mNextCall = aNow + aState.mRetryDelay;
}

bool
control_plane::DirectoryDue(model::instant aNow) const
{
  const auto complete = mDirectory.LastCompleteTime();
  if (!complete) {
    return true;
  }
  if (aNow - *complete < mSettings.mDirectoryPeriod) {
    return false; // For all ranks.
  }
  const std::size_t rank = mFleet.DutyRank("directory", false, aNow);
  if (rank > 0 && mDirectoryBehindSince &&
      aNow - *mDirectoryBehindSince < kPullPatience) {
    return false;
  }
  return aNow - *complete >= mSettings.DirectoryReadDelay(rank);
}

void
control_plane::PollDirectory(model::instant aNow)
{
  PullDirectory(aNow);
  if (!mDirectoryCall.mBusy && aNow >= mDirectoryCall.mNextCall &&
      DirectoryDue(aNow)) {
    ReadDirectoryNow(aNow >= mFreshReadsUntil);
    // The watches of the configuration may have fallen silent unnoticed.
    if (mConfig && !mConfigCall.mBusy && aNow >= mConfigCall.mNextCall) {
      ReadConfig(aNow >= mFreshReadsUntil &&
                 !ConfirmationDue(aNow + mSettings.mDirectoryPeriod));
    }
  }
  ConfirmDirectory(aNow);
  if (IsSilent(mDirectoryWatchCall, "directory_watch", aNow)) {
    mStore.EndDirectoryWatch();
  }
  if (mFleet.DutyRank("directory", false, aNow) == 0) {
    ConfirmConfig(aNow);
    WatchDirectory(aNow);
  }
  mDirectory.RemoveMissing(aNow);
  ApplyLeaves();
}

void
control_plane::PullDirectory(model::instant aNow)
{
  const auto newer = mFleet.MemberWithNewerDirectory(aNow);
  if (!newer) {
    OnDirectoryComplete("delta", aNow);
    return;
  }
  OnDirectoryBehind(newer->mName, newer->mDirectoryRevision, aNow);
  if (mDirectoryBehindSince && aNow - *mDirectoryBehindSince >= kPullDelay &&
      !mPullCall.mBusy && aNow >= mPullCall.mNextCall) {
    PullSnapshot(*newer);
  }
}

void
control_plane::ConfirmDirectory(model::instant aNow)
{
  if (mDirectory.Revision() >= mUnconfirmedRevision) {
    mUnconfirmedRevision = model::store_revision();
    return;
  }
  if (aNow - *mConfirmedAt >= kConfirmationGrace && !mDirectoryCall.mBusy &&
      aNow >= mDirectoryCall.mNextCall) {
    ReadDirectoryNow(false);
  }
}

bool
control_plane::IsSilent(watch_state& aWatch,
                        const char* aCall,
                        model::instant aNow)
{
  if (!aWatch.mBusy || !aWatch.mBehindSince ||
      aNow - *aWatch.mBehindSince < kWatchGrace) {
    return false;
  }
  mMetrics.Count("store_watches_silent", { { "call", aCall } });
  mLog.Write(ops::log_level::Warning,
             "store_watch_silent",
             { { "call", std::string(aCall) } });
  return true;
}

void
control_plane::ReadDirectoryNow(bool aMayBeStale)
{
  mDirectoryCall.mBusy = true;
  mDirectoryCall.mBegunAt = event_loop::Now();
  mMetrics.Count("store_calls",
                 { { "call", aMayBeStale ? "directory" : "directory_fresh" } });
  mStore.ReadDirectory(
    aMayBeStale,
    [this,
     aMayBeStale](const store_result<serving::directory_snapshot>& aResult) {
      OnDirectoryRead(aResult, aMayBeStale);
    });
}

void
control_plane::LogPageRevisions(const serving::directory_snapshot& aRead)
{
  if (aRead.mRanges.IsUniform()) {
    return;
  }
  mMetrics.Count("directory_reads_of_several_revisions");
  std::string revisions;
  for (const auto& [after, revision] : aRead.mRanges.Ranges()) {
    revisions += (revisions.empty() ? "" : " ") + ToText(revision);
  }
  mLog.Write(ops::log_level::Info,
             "directory_pages_differ",
             { { "revisions", revisions } });
}

void
control_plane::OnDirectoryRead(
  const store_result<serving::directory_snapshot>& aResult,
  bool aMayBeStale)
{
  const auto* error = std::get_if<store_error>(&aResult);
  const model::duration retryDelay = mDirectoryCall.mRetryDelay;
  OnCallDone(mDirectoryCall,
             "directory",
             error == nullptr ? std::nullopt : std::optional(*error));
  if (error != nullptr) {
    return;
  }
  const model::instant now = event_loop::Now();
  const auto& read = std::get<serving::directory_snapshot>(aResult);
  if (!aMayBeStale) {
    mUnconfirmedRevision = model::store_revision();
  }
  LogPageRevisions(read);
  const bool isOld = mDirectory.KnowsNewerThan(read);
  const model::store_revision known = mDirectory.Revision();
  if (const auto delta = mDirectory.OnSnapshot(read, now)) {
    const bool changed =
      !delta->mChangedLeaves.empty() || !delta->mRemovedIds.empty();
    if (changed && mDirectoryWatchCall.mBusy &&
        !mDirectoryWatchCall.mBehindSince) {
      mDirectoryWatchCall.mBehindSince = now;
    }
    SendDirectoryDelta(*delta, now);
  }
  if (!isOld) {
    OnDirectoryComplete("store", now);
    return;
  }
  mLog.Write(
    ops::log_level::Info,
    "directory_read_old",
    { { "revision", ToText(read.mRevision) }, { "known", ToText(known) } });
  if (aMayBeStale) {
    mFreshReadsUntil = now + kFreshReadPeriod;
    ReadDirectoryNow(false);
  } else {
    mDirectoryCall.mRetryDelay = retryDelay;
    ScheduleRetry(mDirectoryCall, now);
  }
}

void
control_plane::SendDirectoryDelta(const serving::directory_delta& aDelta,
                                  model::instant aNow)
{
  ApplyLeaves();
  serving::fleet_message message;
  message.mMembers = { mFleet.Self() };
  message.mDirectoryDeltas = { aDelta };
  const std::string bytes = serving::EncodeMessage(message);
  // Also sent to members that seem silent: a leaf's drain must reach all
  // instances.
  for (const serving::fleet_member& member :
       mFleet.RandomPossiblyLiveMembers(kMaxPushBytes / bytes.size(), aNow)) {
    SendToPeer(member.mPeerEndpoint, bytes);
  }
}

void
control_plane::WatchDirectory(model::instant aNow)
{
  if (mDirectoryWatchCall.mBusy || aNow < mDirectoryWatchCall.mNextCall ||
      !mDirectory.LastCompleteTime()) {
    return;
  }
  mDirectoryWatchCall.mBusy = true;
  mMetrics.Count("store_calls", { { "call", "directory_watch" } });
  mStore.WatchDirectory(
    mDirectory.Revision(),
    mSettings.mWatchWait,
    [this, after = mDirectory.Revision()](
      const store_result<serving::directory_delta>& aResult) {
      OnDirectoryChange(aResult, after);
    });
}

void
control_plane::OnDirectoryChange(
  const store_result<serving::directory_delta>& aResult,
  model::store_revision aAfter)
{
  const auto* error = std::get_if<store_error>(&aResult);
  OnCallDone(mDirectoryWatchCall,
             "directory_watch",
             error == nullptr ? std::nullopt : std::optional(*error));
  mDirectoryWatchCall.mBehindSince.reset();
  const model::instant now = event_loop::Now();
  if (error != nullptr) {
    if (*error == store_error::HistoryLost &&
        mDirectory.Revision().Era() == aAfter.Era()) {
      mFreshReadsUntil = now + kFreshReadPeriod;
      mDirectoryCall.mNextCall = now;
      if (!mDirectoryCall.mBusy) {
        ReadDirectoryNow(false);
      }
    }
    return;
  }
  // Changes come in bursts; one call returns several.
  mDirectoryWatchCall.mNextCall = now + mSettings.mDirectoryWatchPause;
  SendDirectoryDelta(
    mDirectory.OnWatch(std::get<serving::directory_delta>(aResult), now), now);
}

void
control_plane::OnDirectoryBehind(const std::string& aPeer,
                                 model::store_revision aPeerRevision,
                                 model::instant aNow)
{
  if (mDirectoryBehindSince) {
    return;
  }
  mDirectoryBehindSince = aNow;
  mMetrics.Count("directory_gaps");
  mLog.Write(ops::log_level::Info,
             "directory_behind",
             { { "known", ToText(mDirectory.Revision()) },
               { "peer", aPeer },
               { "peer_revision", ToText(aPeerRevision) } });
}

void
control_plane::OnDirectoryComplete(const char* aSource, model::instant aNow)
{
  if (!mDirectoryBehindSince) {
    return;
  }
  mLog.Write(
    ops::log_level::Info,
    "directory_caught_up",
    { { "source", std::string(aSource) },
      { "ms",
        static_cast<double>((aNow - *mDirectoryBehindSince).count()) / 1000.0 },
      { "revision", ToText(mDirectory.Revision()) },
      { "missing_kept", static_cast<long>(mDirectory.MissingCount()) } });
  mDirectoryBehindSince.reset();
}

void
control_plane::ApplyLeaves()
{
  if (const auto gap = mDirectory.TakeReadGap()) {
    mLog.Write(ops::log_level::Warning,
               "directory_unread",
               { { "ms", static_cast<double>(gap->mLength.count()) / 1000.0 },
                 { "store_failed", static_cast<long>(gap->mIsOutage) } });
  }
  const auto changes = mDirectory.TakeChanges();
  mFleet.SetDirectoryRevision(mDirectory.Revision());
  UpdateStoreEra(mDirectory.Revision(), "directory");
  for (const std::string& id : changes.mRemovedIds) {
    mLog.Write(
      ops::log_level::Info,
      "leaf_gone",
      { { "leaf", id }, { "revision", ToText(mDirectory.Revision()) } });
  }
  for (const serving::leaf_registration& entry : changes.mChangedLeaves) {
    mLog.Write(ops::log_level::Info,
               "leaf_known",
               { { "leaf", entry.mId },
                 { "service", entry.mService },
                 { "address", entry.mAddress.ToString() },
                 { "draining", static_cast<long>(entry.mDraining) },
                 { "revision", ToText(entry.mRevision) } });
  }
  if (!changes.mRemovedIds.empty() || !changes.mChangedLeaves.empty()) {
    mHooks.mOnLeaves(changes);
  }
}

} // namespace monsooncroft::gateway
