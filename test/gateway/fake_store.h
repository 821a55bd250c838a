/**
 * @file fake_store.h
 * An in-memory store whose content and failures are set by the test.
 */
#ifndef MONSOONCROFT_TEST_GATEWAY_FAKE_STORE_H
#define MONSOONCROFT_TEST_GATEWAY_FAKE_STORE_H

#include "gateway/control_store_base.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsooncroft::gateway {

/** A control_store with content set by the test. */
class fake_store : public control_store
{
public:
  void ReadDirectory(bool aMayBeStale,
                     callback<serving::directory_snapshot> aDone) override
  {
    ++mDirectoryReads;
    mFreshReads += aMayBeStale ? 0 : 1;
    if (mDown) {
      aDone(store_error::Unreachable);
    } else if (aMayBeStale && mOldDirectory) {
      aDone(*mOldDirectory);
    } else {
      aDone(serving::directory_snapshot{ mRevision, mLeaves });
    }
  }
  void WatchDirectory(model::store_revision /*aAfter*/,
                      std::chrono::milliseconds /*aWait*/,
                      callback<serving::directory_delta> aDone) override
  {
    mDirectoryWatch = std::move(aDone);
  }
  void ReadConfig(bool aMayBeStale, callback<config_text> aDone) override
  {
    ++mConfigReads;
    mFreshReads += aMayBeStale ? 0 : 1;
    if (mHoldsConfigReads) {
      mHeldConfigReads.push_back(std::move(aDone));
    } else if (mDown || mContent.mVersion == 0) {
      aDone(mDown ? store_error::Unreachable : store_error::Absent);
    } else {
      aDone(config_text{ mConfigRevision,
                         std::to_string(mContent.mVersion),
                         aMayBeStale ? model::store_revision()
                                     : model::store_revision(mRevision) });
    }
  }
  void WatchConfig(model::store_revision /*aAfter*/,
                   std::chrono::milliseconds /*aWait*/,
                   callback<config_change> aDone) override
  {
    mConfigWatch = std::move(aDone);
  }
  void EndDirectoryWatch() override
  {
    ++mDirectoryWatchesEnded;
    std::exchange(mDirectoryWatch, nullptr)(store_error::Cancelled);
  }
  void EndConfigWatch() override
  {
    ++mConfigWatchesEnded;
    std::exchange(mConfigWatch, nullptr)(store_error::Cancelled);
  }
  void EndWatchesBefore(std::uint64_t aEra) override
  {
    mWatchesEndedBefore = aEra;
  }
  std::variant<serving::routing_config::content, std::string> DecodeConfig(
    const std::string& /*aText*/) const override
  {
    return mContent;
  }
  /** Answers the held reads with the content of now. */
  void AnswerHeldConfigReads()
  {
    mHoldsConfigReads = false;
    for (const auto& done : std::exchange(mHeldConfigReads, {})) {
      done(config_text{ mConfigRevision, std::to_string(mContent.mVersion) });
    }
  }
  std::string HideKeys(const std::string& aText) const override
  {
    return "hidden " + aText;
  }
  /** Publishes a new version of the configuration through the pending watch. */
  void PublishConfig(serving::routing_config::content aContent)
  {
    mContent = std::move(aContent);
    const auto watch = std::move(mConfigWatch);
    mConfigWatch = nullptr;
    watch(config_change{ ++mRevision, config_text{ mRevision, "text" } });
  }

  /** Registers a leaf with two slots in the instances' data centre. */
  void Register(const std::string& aId,
                const std::string& aService,
                const model::endpoint& aAddress)
  {
    serving::leaf_registration entry;
    entry.mId = aId;
    entry.mService = aService;
    entry.mAddress = aAddress;
    entry.mDataCentre = "dc";
    entry.mSlots = 2;
    entry.mRevision = mRevision;
    entry.mIncarnation = 1;
    mLeaves.push_back(entry);
    mContent.mServices[aService] = { kMaxConnections };
  }

  bool mDown = false;
  int mDirectoryReads = 0;
  int mConfigReads = 0;
  int mDirectoryWatchesEnded = 0;
  int mConfigWatchesEnded = 0;
  int mFreshReads = 0; ///< Of both kinds.
  /** Answers reads that may be stale; nothing: they are fresh. */
  std::optional<serving::directory_snapshot> mOldDirectory;
  std::uint64_t mWatchesEndedBefore = 0;
  std::uint64_t mRevision = 1;
  std::uint64_t mConfigRevision = 1; ///< Of what ReadConfig() returns.
  bool mHoldsConfigReads = false;    ///< Reads are not answered.
  std::vector<callback<config_text>> mHeldConfigReads;
  std::vector<serving::leaf_registration> mLeaves;
  serving::routing_config::content mContent;
  callback<serving::directory_delta> mDirectoryWatch;
  callback<config_change> mConfigWatch;

private:
  static constexpr int kMaxConnections = 20; ///< Per leaf.
};

/** An idempotent fan-out route of host h to the shards. */
inline serving::route
MakeFanOutRoute(const std::string& aPrefix,
                const std::vector<std::string>& aShards)
{
  serving::route route;
  route.mName = "all";
  route.mHost = "h";
  route.mPrefix = aPrefix;
  route.mRepeatability = serving::repeatability::Idempotent;
  route.mTimeout = std::chrono::milliseconds(1'000);
  route.mShards = aShards;
  return route;
}

} // namespace monsooncroft::gateway

#endif
