/**
 * @file control_plane_config.cpp
 * Following the configuration.
 */
#include "gateway/control_plane_base.h"

#include "gateway/event_loop_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/fleet_codec_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

void
control_plane::FollowConfig(model::instant aNow)
{
  if (!mPull.mBusy && aNow >= mPull.mNext) {
    if (const auto newer = mFleet.NewerConfig(aNow)) {
      PullSnapshot(*newer);
    }
  }
  if (!mConfig) {
    if (!mConfigCall.mBusy && aNow >= mConfigCall.mNext) {
      ReadConfig(true);
    }
    return;
  }
  if (!mWatchCall.mBusy && aNow >= mWatchCall.mNext &&
      mFleet.Rank("config", true, aNow) == 0) {
    WatchConfig();
  }
}

void
control_plane::ReadConfig(bool aMayBeOld)
{
  mConfigCall.mBusy = true;
  mMetrics.Count("store_calls", { { "call", "config" } });
  mStore.ReadConfig(
    aMayBeOld, [this](const store_result<config_text>& aResult) {
      const auto* error = std::get_if<store_error>(&aResult);
      OnCallDone(mConfigCall,
                 "config",
                 error == nullptr ? std::nullopt : std::optional(*error));
      if (error == nullptr) {
        const auto& text = std::get<config_text>(aResult);
        Adopt(text, "store");
        mWatchAfter = std::max(mWatchAfter, text.mRevision);
      }
    });
}

void
control_plane::WatchConfig()
{
  mWatchCall.mBusy = true;
  mMetrics.Count("store_calls", { { "call", "watch" } });
  mStore.WatchConfig(
    mWatchAfter,
    mSettings.mWatchWait,
    [this](const store_result<config_change>& aResult) {
      const auto* error = std::get_if<store_error>(&aResult);
      OnCallDone(mWatchCall,
                 "watch",
                 error == nullptr ? std::nullopt : std::optional(*error));
      if (error != nullptr) {
        // What the watch has missed, if anything, is in the present value.
        if (!mConfigCall.mBusy && *error == store_error::HistoryLost) {
          ReadConfig(false);
          mWatchCall.mNext = event_loop::Now() + mSettings.mRetryPause;
        }
        return;
      }
      const auto& change = std::get<config_change>(aResult);
      mWatchAfter = std::max(mWatchAfter, change.mRevision);
      if (change.mText && Adopt(*change.mText, "watch")) {
        Tell(mFleet.Counted(event_loop::Now()), {});
      }
    });
}

void
control_plane::PullSnapshot(const serving::fleet_member& aFrom)
{
  mPull.mBusy = true;
  mMetrics.Count("peer_pulls");
  mPort.Pull(aFrom.mPeer,
             [this, from = aFrom.mName](const std::string& aBytes) {
               mPull.mBusy = false;
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
    Postpone(mPull, now);
    // Others have it soon; the store's answer has a price.
    if (mPull.mPause >= mSettings.mLongestRetryPause && !mConfigCall.mBusy &&
        now >= mConfigCall.mNext) {
      ReadConfig(false);
    }
    return;
  }
  mPull.mPause = model::duration(0);
  Adopt({ snapshot->mConfigRevision, snapshot->mConfigText }, "peer");
  if (snapshot->mDirectory.mRevision > mDirectory.Revision()) {
    mDirectory.OnRead(snapshot->mDirectory, now);
    ApplyLeaves();
  }
}

bool
control_plane::Adopt(const config_text& aText, const char* aSource)
{
  auto decoded = mStore.DecodeConfig(aText.mText);
  if (const auto* error = std::get_if<std::string>(&decoded)) {
    mLog.Write(ops::log_level::Error,
               "config_unreadable",
               { { "source", std::string(aSource) }, { "error", *error } });
    return false;
  }
  auto& content = std::get<serving::routing_config::content>(decoded);
  const std::uint64_t present = mConfig ? mConfig->Version() : 0;
  if (content.mVersion <= present) {
    return false;
  }
  mConfig = serving::routing_config::Create(std::move(content));
  mText = aText;
  mWatchAfter = std::max(mWatchAfter, aText.mRevision);
  mFleet.SetConfigVersion(mConfig->Version());
  mLog.Write(ops::log_level::Info,
             "config_in_force",
             { { "version", static_cast<long>(mConfig->Version()) },
               { "before", static_cast<long>(present) },
               { "revision", static_cast<long>(aText.mRevision) },
               { "routes", static_cast<long>(mConfig->Routes().size()) },
               { "source", std::string(aSource) } });
  mHooks.mOnConfig(mConfig);
  return true;
}

std::string
control_plane::Snapshot() const
{
  serving::fleet_snapshot snapshot;
  snapshot.mConfigVersion = mConfig ? mConfig->Version() : 0;
  snapshot.mConfigRevision = mText.mRevision;
  snapshot.mConfigText = mText.mText;
  snapshot.mDirectory.mRevision = mDirectory.Revision();
  for (const auto& [id, entry] : mEntries) {
    snapshot.mDirectory.mEntries.push_back(entry);
  }
  return serving::EncodeSnapshot(snapshot);
}

void
control_plane::OnWoke(model::instant aNow)
{
  mDirectoryCall.mNext = aNow;
  mStoreHeard.reset();
  if (mConfig && !mConfigCall.mBusy) {
    ReadConfig(false);
  }
}

void
control_plane::SetLeaving(model::instant aNow)
{
  mFleet.SetLeaving();
  OnRound(aNow);
}

bool
control_plane::ConfigCertain(model::instant aNow) const
{
  return mStoreHeard && aNow - *mStoreHeard < mSettings.mConfigCertainFor;
}

} // namespace monsooncroft::gateway
