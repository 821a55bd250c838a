/**
 * @file manifest_distribution.cpp
 * Reads of the head, pulls of missing texts and adoption.
 */
#include "cluster/manifest_distribution_base.h"

#include <algorithm>

namespace monsooncroft::cluster {

namespace {

constexpr std::size_t kMaxPulls = 4; ///< Pulls at one time.
constexpr int kPeerAttempts = 3; ///< Pulls from peers before the platform is
                                 ///< asked.
/** Added to the delay with each attempt. */
constexpr std::chrono::milliseconds kRetryDelayStep{ 100 };
constexpr int kMaxRetryDelaySteps = 20;

} // namespace

manifest_distribution::manifest_distribution(const manifest_format& aFormat,
                                             const cluster_options& aOptions,
                                             std::uint64_t aSeed)
  : mFormat(aFormat)
  , mOptions(aOptions)
  , mRandom(aSeed)
{
}

manifest_distribution::effects
manifest_distribution::OnTick(const distribution_context& aContext,
                              model::instant aNow)
{
  effects out;
  mPeers = aContext.mPeers;
  mPeersAsked = aContext.mPeersAsked;
  if (!mStartTime) {
    mStartTime = aNow;
    mNextRead = aNow;
    mNextWatch = aNow;
  }
  if (aContext.mWatchesHead && !mWatchPending && aNow >= *mNextWatch) {
    mWatchPending = true;
    out.emplace_back(watch_head{});
  }
  const auto period = PollPeriod(aContext);
  const bool isPolling = period > std::chrono::milliseconds(0);
  if (isPolling && aNow >= *mNextRead) {
    mNextRead = aNow + Jitter(period);
    ReadHead(out);
  }
  auto more = AdvanceTarget(aNow);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

std::chrono::milliseconds
manifest_distribution::PollPeriod(const distribution_context& aContext) const
{
  if (aContext.mWatchesHead) {
    return mOptions.mHeadPollPeriod;
  }
  const bool pollsRarely = aContext.mIsolated || Version() == 0;
  return pollsRarely ? mOptions.mIsolatedPollPeriod
                     : std::chrono::milliseconds(0);
}

model::duration
manifest_distribution::Jitter(std::chrono::milliseconds aPeriod)
{
  constexpr int kMinPercent = 80;
  constexpr int kPercentRange = 40;
  constexpr int kHundred = 100;
  const auto percent =
    kMinPercent + static_cast<int>(mRandom() % kPercentRange);
  return model::duration(aPeriod) * percent / kHundred;
}

void
manifest_distribution::ReadHead(effects& aOut)
{
  if (!mReadPending) {
    mReadPending = true;
    aOut.emplace_back(read_head{});
  }
}

void
manifest_distribution::RaiseAlarm(alarm_kind aKind,
                                  const std::string& aText,
                                  effects& aOut)
{
  if (aText != mLastAlarm) {
    mLastAlarm = aText;
    aOut.emplace_back(raise_alarm{ aKind, aText });
  }
}

manifest_distribution::effects
manifest_distribution::AdvanceTarget(model::instant aNow)
{
  effects out;
  if (!mTarget || mPendingAdoption) {
    return out;
  }
  const auto missing = MissingHashes();
  if (!missing.empty()) {
    PullMissing(aNow, out);
    return out;
  }
  if (!MayAdopt(aNow)) {
    return out;
  }
  adopt_manifest adopt;
  adopt.mHead = *mTarget->mHead;
  for (const auto& reference : adopt.mHead.mChunks) {
    adopt.mChunks.push_back({ reference.mName, mTexts.at(reference.mHash) });
  }
  mPendingAdoption = std::move(mTarget);
  mTarget.reset();
  out.emplace_back(std::move(adopt));
  return out;
}

/**
 * A new instance waits for the platform and its peers to answer, so that its
 * first manifest is not older than the one in force at its peers.
 */
bool
manifest_distribution::MayAdopt(model::instant aNow) const
{
  if (Version() > 0) {
    return true;
  }
  const bool peersAnswered = mPeersAsked > 0 && mPeersAnswered >= mPeersAsked;
  const bool waited = mStartTime && aNow - *mStartTime >= mOptions.mStartupWait;
  return waited || (peersAnswered && mPlatformAnswered);
}

std::vector<std::string>
manifest_distribution::MissingHashes() const
{
  if (!mTarget->mHead) {
    return { mTarget->mHash };
  }
  std::vector<std::string> missing;
  for (const auto& reference : mTarget->mHead->mChunks) {
    if (mTexts.count(reference.mHash) == 0) {
      missing.push_back(reference.mHash);
    }
  }
  return missing;
}

void
manifest_distribution::PullMissing(model::instant aNow, effects& aOut)
{
  const auto running =
    std::count_if(mPulls.begin(), mPulls.end(), [](const auto& aEntry) {
      return aEntry.second.mRunning;
    });
  auto slots =
    kMaxPulls - std::min(kMaxPulls, static_cast<std::size_t>(running));
  for (const auto& hash : MissingHashes()) {
    auto& pull = mPulls[hash];
    if (slots == 0 || pull.mRunning || aNow < pull.mNotBefore) {
      continue;
    }
    const auto source = ChooseSource(pull);
    if (!source && !mTarget->mHead) {
      // The platform stores the head under a key of its own, not under its
      // hash.
      ReadHead(aOut);
      ++pull.mAttempts;
      pull.mNotBefore = aNow + mOptions.mHeadPollPeriod;
      continue;
    }
    pull.mRunning = true;
    --slots;
    aOut.emplace_back(pull_text{ hash, source });
  }
}

std::optional<model::endpoint>
manifest_distribution::ChooseSource(const pull_state& aPull)
{
  const bool fromPlatform =
    aPull.mAttempts % (kPeerAttempts + 1) == kPeerAttempts;
  const auto& holders = mTarget->mHolders;
  if (!holders.empty() && !fromPlatform) {
    return holders[mRandom() % holders.size()];
  }
  if (mTarget->mFromPlatform || fromPlatform || mPeers.empty()) {
    return std::nullopt;
  }
  return mPeers[mRandom() % mPeers.size()];
}

model::manifest_version
manifest_distribution::Version() const
{
  return mHeadInForce ? mHeadInForce->mVersion : 0;
}

const std::string*
manifest_distribution::FindText(const std::string& aHash) const
{
  const auto found = mTexts.find(aHash);
  return found == mTexts.end() ? nullptr : &found->second;
}

manifest_distribution::effects
manifest_distribution::OnText(const std::string& aHash,
                              const std::optional<model::endpoint>& aPeer,
                              const std::optional<std::string>& aText,
                              model::instant aNow)
{
  effects out;
  auto& pull = mPulls[aHash];
  pull.mRunning = false;
  const bool mismatch = aText && mFormat.Hash(*aText) != aHash;
  if (mismatch) {
    RaiseAlarm(
      alarm_kind::WrongHash, "pulled text does not match hash " + aHash, out);
  }
  if (!aText || mismatch) {
    ++pull.mAttempts;
    pull.mNotBefore =
      aNow + kRetryDelayStep * std::min(pull.mAttempts, kMaxRetryDelaySteps);
    if (aPeer && mTarget) {
      std::erase(mTarget->mHolders, *aPeer);
    }
  } else {
    mPulls.erase(aHash);
    mTexts[aHash] = *aText;
    if (mTarget && mTarget->mHash == aHash && !mTarget->mHead) {
      SetTargetHead(*aText, out);
    }
  }
  auto more = AdvanceTarget(aNow);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

} // namespace monsooncroft::cluster
