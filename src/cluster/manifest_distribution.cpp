/**
 * @file manifest_distribution.cpp
 * What the spread asks for and when it adopts.
 */
#include "cluster/manifest_distribution_base.h"

#include <algorithm>

namespace monsooncroft::cluster {

namespace {

constexpr std::size_t kMaxPulls = 4; ///< At one time.
constexpr int kPeerTries = 3;        ///< Before the platform is asked.
constexpr std::chrono::milliseconds kRetryStep{ 100 }; ///< Added each try.
constexpr int kMaxRetrySteps = 20;

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
  const bool polls = period > std::chrono::milliseconds(0);
  if (polls && aNow >= *mNextRead) {
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
  const bool alone = aContext.mIsolated || Version() == 0;
  return alone ? mOptions.mIsolatedPollPeriod : std::chrono::milliseconds(0);
}

model::duration
manifest_distribution::Jitter(std::chrono::milliseconds aPeriod)
{
  constexpr int kLeastPercent = 80;
  constexpr int kSpreadPercent = 40;
  constexpr int kHundred = 100;
  const auto percent =
    kLeastPercent + static_cast<int>(mRandom() % kSpreadPercent);
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

/** A fresh instance first hears the platform and peers, so that it does not
 * start with less than what is in force around it. */
bool
manifest_distribution::MayAdopt(model::instant aNow) const
{
  if (Version() > 0) {
    return true;
  }
  const bool peersHeard = mPeersAsked > 0 && mPeersAnswered >= mPeersAsked;
  const bool waited = mStartTime && aNow - *mStartTime >= mOptions.mStartupWait;
  return waited || (peersHeard && mPlatformAnswered);
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
  auto free =
    kMaxPulls - std::min(kMaxPulls, static_cast<std::size_t>(running));
  for (const auto& hash : MissingHashes()) {
    auto& state = mPulls[hash];
    if (free == 0 || state.mRunning || aNow < state.mNotBefore) {
      continue;
    }
    const auto source = ChooseSource(state);
    if (!source && !mTarget->mHead) {
      // The platform keeps the head under its own key, not under its hash.
      ReadHead(aOut);
      ++state.mAttempts;
      state.mNotBefore = aNow + mOptions.mHeadPollPeriod;
      continue;
    }
    state.mRunning = true;
    --free;
    aOut.emplace_back(pull_text{ hash, source });
  }
}

std::optional<model::endpoint>
manifest_distribution::ChooseSource(const pull_state& aPull)
{
  const bool platform = aPull.mAttempts % (kPeerTries + 1) == kPeerTries;
  const auto& holders = mTarget->mHolders;
  if (!holders.empty() && !platform) {
    return holders[mRandom() % holders.size()];
  }
  if (mTarget->mFromPlatform || platform || mPeers.empty()) {
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
  auto& state = mPulls[aHash];
  state.mRunning = false;
  const bool wrong = aText && mFormat.Hash(*aText) != aHash;
  if (wrong) {
    RaiseAlarm(alarm_kind::WrongHash, "text does not match hash " + aHash, out);
  }
  if (!aText || wrong) {
    ++state.mAttempts;
    state.mNotBefore =
      aNow + kRetryStep * std::min(state.mAttempts, kMaxRetrySteps);
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
