/**
 * @file control_plane_config.cpp
 * Updates of the configuration from the store and from peers.
 */
#include "gateway/control_plane_base.h"

#include "gateway/event_loop_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/fleet_codec_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Malformed entries of a version that are logged. */
constexpr std::size_t kMaxLoggedProblems = 16;
/** Source of a configuration that another instance sent. */
constexpr std::string_view kFromPeer = "peer";

} // namespace

void
control_plane::UpdateConfig(model::instant aNow)
{
  if (!mPullCall.mBusy && aNow >= mPullCall.mNextCall) {
    if (const auto newer = mFleet.MemberWithNewerConfig(aNow)) {
      PullSnapshot(*newer);
    }
  }
  if (!mConfig) {
    if (!mConfigCall.mBusy && aNow >= mConfigCall.mNextCall) {
      ReadConfig(true);
    }
    return;
  }
  if (IsSilent(mConfigWatchCall, "watch", aNow)) {
    mStore.EndConfigWatch();
  }
  if (!mConfigWatchCall.mBusy && aNow >= mConfigWatchCall.mNextCall &&
      mFleet.DutyRank("config", true, aNow) == 0) {
    if (mConfigWatchRevision.Era() >= mStoreEra.value_or(0)) {
      WatchConfig();
    } else if (!mConfigCall.mBusy && aNow >= mConfigCall.mNextCall) {
      ReadConfig(false);
    }
  }
}

bool
control_plane::ConfirmationDue(model::instant aNow) const
{
  return !mConfirmedAt || aNow - *mConfirmedAt >= mSettings.mConfirmationPeriod;
}

void
control_plane::ConfirmConfig(model::instant aNow)
{
  if (mConfig && ConfirmationDue(aNow)) {
    ReadNewestConfig(aNow);
  }
}

void
control_plane::ReadConfig(bool aMayBeStale)
{
  mConfigCall.mBusy = true;
  mConfigCall.mBegunAt = event_loop::Now();
  mMetrics.Count("store_calls", { { "call", "config" } });
  mStore.ReadConfig(
    aMayBeStale,
    [this, aMayBeStale, startedAt = *mConfigCall.mBegunAt](
      const store_result<config_text>& aResult) {
      const auto* error = std::get_if<store_error>(&aResult);
      OnCallDone(mConfigCall,
                 "config",
                 error == nullptr ? std::nullopt : std::optional(*error));
      if (error == nullptr) {
        const auto& text = std::get<config_text>(aResult);
        if (!aMayBeStale) {
          mConfirmedAt = startedAt;
          if (text.mStoreRevision > mDirectory.Revision()) {
            mUnconfirmedRevision = text.mStoreRevision;
          }
        }
        UpdateStoreEra(text.mRevision, "config");
        const bool isFirst = mConfig == nullptr;
        const bool adopted = AdoptConfig(text, "store");
        mConfigWatchRevision = std::max(mConfigWatchRevision, text.mRevision);
        if (adopted && !isFirst) {
          SendToPeers(mFleet.PossiblyLiveMembers(event_loop::Now()), {});
        }
        if (!aMayBeStale && mConfig && mHooks.mOnConfigConfirmed) {
          mHooks.mOnConfigConfirmed(startedAt);
        }
      }
    });
}

bool
control_plane::ReadNewestConfig(model::instant aNow)
{
  if (mConfigCall.mBusy || aNow < mConfigCall.mNextCall) {
    return false;
  }
  ReadConfig(false);
  return true;
}

void
control_plane::WatchConfig()
{
  mConfigWatchCall.mBusy = true;
  mMetrics.Count("store_calls", { { "call", "watch" } });
  mStore.WatchConfig(
    mConfigWatchRevision,
    mSettings.mWatchWait,
    [this](const store_result<config_change>& aResult) {
      const auto* error = std::get_if<store_error>(&aResult);
      OnCallDone(mConfigWatchCall,
                 "watch",
                 error == nullptr ? std::nullopt : std::optional(*error));
      mConfigWatchCall.mBehindSince.reset();
      if (error != nullptr) {
        // The current value includes all changes that the watch has missed.
        if (!mConfigCall.mBusy && *error == store_error::HistoryLost) {
          ReadConfig(false);
          mConfigWatchCall.mNextCall =
            event_loop::Now() + mSettings.mMinRetryDelay;
        }
        return;
      }
      const auto& change = std::get<config_change>(aResult);
      mConfigWatchRevision = std::max(mConfigWatchRevision, change.mRevision);
      if (change.mText && AdoptConfig(*change.mText, "watch")) {
        SendToPeers(mFleet.PossiblyLiveMembers(event_loop::Now()), {});
      }
    });
}

void
control_plane::PullSnapshot(const serving::fleet_member& aFrom)
{
  mPullCall.mBusy = true;
  mMetrics.Count("peer_pulls");
  mPeerSocket.PullSnapshot(
    aFrom.mPeerEndpoint,
    serving::EncodeSnapshotRequest(
      { mConfig ? mConfig->Version() : 0, mDirectory.Revision() }),
    [this, from = aFrom.mName](const std::string& aBytes) {
      mPullCall.mBusy = false;
      OnSnapshot(aBytes, from);
    });
}

void
control_plane::OnSnapshot(const std::string& aBytes, const std::string& aFrom)
{
  const model::instant now = event_loop::Now();
  const auto snapshot = serving::DecodeSnapshot(aBytes);
  if (!snapshot) {
    mLog.Write(
      ops::log_level::Info,
      "peer_pull_failed",
      { { "peer", aFrom }, { "bytes", static_cast<long>(aBytes.size()) } });
    ScheduleRetry(mPullCall, now);
    // The store is read only after several failed pulls: other peers have the
    // configuration soon, and a store read is expensive.
    if (mPullCall.mRetryDelay >= mSettings.mMaxRetryDelay &&
        mFleet.MemberWithNewerConfig(now) && !mConfigCall.mBusy &&
        now >= mConfigCall.mNextCall) {
      ReadConfig(false);
    }
    return;
  }
  mPullCall.mRetryDelay = model::duration(0);
  if (!snapshot->mConfigText.empty()) {
    AdoptConfig({ snapshot->mConfigRevision, snapshot->mConfigText },
                kFromPeer);
  }
  std::optional<model::instant> completeAt;
  if (snapshot->mCompleteAgeMs) {
    completeAt = now - std::chrono::milliseconds(*snapshot->mCompleteAgeMs);
  }
  const bool complete =
    mDirectory.OnPulledChanges(snapshot->mDirectory, completeAt);
  ApplyLeaves();
  if (complete) {
    OnDirectoryComplete("peer", now);
  } else {
    ScheduleRetry(mPullCall, now); // That peer cannot close the gap.
  }
}

bool
control_plane::AdoptConfig(const config_text& aText, std::string_view aSource)
{
  if (mConfig && aText.mRevision == mConfigText.mRevision) {
    return false; // Not decoded again.
  }
  auto decoded = mStore.DecodeConfig(aText.mText);
  if (const auto* error = std::get_if<std::string>(&decoded)) {
    mLog.Write(ops::log_level::Error,
               "config_unreadable",
               { { "source", std::string(aSource) }, { "error", *error } });
    return false;
  }
  auto& content = std::get<serving::routing_config::content>(decoded);
  const std::uint64_t currentVersion = mConfig ? mConfig->Version() : 0;
  if (content.mVersion <= currentVersion) {
    return false;
  }
  mConfig = serving::routing_config::Create(std::move(content));
  mConfigText = aText;
  if (mConfig->UsesWorkspaces() && aSource != kFromPeer) {
    mConfigText.mText = mStore.HideKeys(aText.mText);
  }
  mConfigWatchRevision = std::max(mConfigWatchRevision, aText.mRevision);
  if (mConfigWatchCall.mBusy && !mConfigWatchCall.mBehindSince) {
    mConfigWatchCall.mBehindSince = event_loop::Now();
  }
  mFleet.SetConfigVersion(mConfig->Version());
  mLog.Write(
    ops::log_level::Info,
    "config_in_force",
    { { "version", static_cast<long>(mConfig->Version()) },
      { "before", static_cast<long>(currentVersion) },
      { "revision", ToText(aText.mRevision) },
      { "routes", static_cast<long>(mConfig->Routes().size()) },
      { "workspaces", static_cast<long>(mConfig->Workspaces().size()) },
      { "source", std::string(aSource) } });
  LogProblems();
  mHooks.mOnConfig(mConfig);
  return true;
}

void
control_plane::LogProblems() const
{
  const auto& problems = mConfig->Problems();
  if (!problems.empty()) {
    mMetrics.Count("config_entries_malformed",
                   static_cast<long>(problems.size()));
  }
  for (std::size_t index = 0;
       index < std::min(problems.size(), kMaxLoggedProblems);
       ++index) {
    mLog.Write(ops::log_level::Warning,
               "config_entry_malformed",
               { { "version", static_cast<long>(mConfig->Version()) },
                 { "where", problems[index].mWhere },
                 { "what", problems[index].mWhat },
                 { "entries", static_cast<long>(problems.size()) } });
  }
}

std::optional<std::string>
control_plane::MakeSnapshot(std::string_view aRequest) const
{
  const auto request = serving::DecodeSnapshotRequest(aRequest);
  if (!request) {
    return std::nullopt;
  }
  serving::fleet_snapshot snapshot;
  snapshot.mConfigVersion = mConfig ? mConfig->Version() : 0;
  if (snapshot.mConfigVersion > request->mConfigVersion) {
    snapshot.mConfigRevision = mConfigText.mRevision;
    snapshot.mConfigText = mConfigText.mText;
  }
  snapshot.mDirectory = mDirectory.ChangesSince(request->mDirectoryRevision);
  if (const auto completeAt = mDirectory.LastCompleteTime()) {
    if (mDirectory.ReregistrationTime(event_loop::Now()).count() > 0) {
      snapshot.mDirectory.mReregistrationTime =
        mDirectory.ReregistrationTime(*completeAt);
    }
    snapshot.mCompleteAgeMs = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(event_loop::Now() -
                                                            *completeAt)
        .count());
  }
  return serving::EncodeSnapshot(snapshot);
}

void
control_plane::OnResume(model::instant aNow)
{
  mDirectoryCall.mNextCall = aNow;
  mStoreLastContact.reset();
  mRunningSince = aNow;
  if (mConfig && !mConfigCall.mBusy) {
    ReadConfig(false);
  }
}

void
control_plane::SetRelayPort(std::uint16_t aPort, model::instant aNow)
{
  if (aPort != mFleet.Self().mRelayPort) {
    mFleet.SetRelayPort(aPort);
    SendToPeers(mFleet.PossiblyLiveMembers(aNow), {});
  }
}

void
control_plane::SetLeaving(model::instant aNow)
{
  mFleet.SetLeaving();
  OnGossipRound(aNow);
}

bool
control_plane::ConfigIsCurrent(model::instant aNow) const
{
  return mStoreLastContact &&
         aNow - *mStoreLastContact < mSettings.mConfigStaleAfter;
}

} // namespace monsooncroft::gateway
