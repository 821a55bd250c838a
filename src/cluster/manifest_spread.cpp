/**
 * @file manifest_spread.cpp
 * What the spread asks for and when it adopts.
 */
#include "cluster/manifest_spread_base.h"

#include <algorithm>

namespace monsooncroft::cluster {

namespace {

constexpr std::size_t kMaxPulls = 4; ///< At one time.
constexpr int kPeerTries = 3;        ///< Before the platform is asked.
constexpr std::chrono::milliseconds kRetryStep{ 100 }; ///< Added each try.
constexpr int kMaxRetrySteps = 20;

} // namespace

manifest_spread::manifest_spread(const manifest_format& aFormat,
                                 const cluster_options& aOptions,
                                 std::uint64_t aSeed)
  : mFormat(aFormat)
  , mOptions(aOptions)
  , mRandom(aSeed)
{
}

manifest_spread::effects
manifest_spread::OnTick(const spread_context& aContext, model::instant aNow)
{
  effects out;
  mPeers = aContext.mPeers;
  mPeersAsked = aContext.mAsked;
  if (!mStarted) {
    mStarted = aNow;
    mNextRead = aNow;
    mNextWatch = aNow;
  }
  if (aContext.mListener && !mWatching && aNow >= *mNextWatch) {
    mWatching = true;
    out.emplace_back(watch_head{});
  }
  const auto period = PollPeriod(aContext);
  const bool polls = period > std::chrono::milliseconds(0);
  if (polls && aNow >= *mNextRead) {
    mNextRead = aNow + Jitter(period);
    ReadHead(out);
  }
  auto more = Advance(aNow);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

std::chrono::milliseconds
manifest_spread::PollPeriod(const spread_context& aContext) const
{
  if (aContext.mListener) {
    return mOptions.mHeadPoll;
  }
  const bool alone = aContext.mLonely || Version() == 0;
  return alone ? mOptions.mLonelyPoll : std::chrono::milliseconds(0);
}

model::duration
manifest_spread::Jitter(std::chrono::milliseconds aPeriod)
{
  constexpr int kLeastPercent = 80;
  constexpr int kSpreadPercent = 40;
  constexpr int kHundred = 100;
  const auto percent =
    kLeastPercent + static_cast<int>(mRandom() % kSpreadPercent);
  return model::duration(aPeriod) * percent / kHundred;
}

void
manifest_spread::ReadHead(effects& aOut)
{
  if (!mReading) {
    mReading = true;
    aOut.emplace_back(read_head{});
  }
}

void
manifest_spread::Alarm(alarm_kind aKind,
                       const std::string& aText,
                       effects& aOut)
{
  if (aText != mLastAlarm) {
    mLastAlarm = aText;
    aOut.emplace_back(raise_alarm{ aKind, aText });
  }
}

manifest_spread::effects
manifest_spread::Advance(model::instant aNow)
{
  effects out;
  if (!mTarget || mAdopting) {
    return out;
  }
  const auto missing = Missing();
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
  mAdopting = std::move(mTarget);
  mTarget.reset();
  out.emplace_back(std::move(adopt));
  return out;
}

/** A fresh instance first hears the platform and peers, so that it does not
 * start with less than what is in force around it. */
bool
manifest_spread::MayAdopt(model::instant aNow) const
{
  if (Version() > 0) {
    return true;
  }
  const bool peersHeard = mPeersAsked > 0 && mPeersAnswered >= mPeersAsked;
  const bool waited = mStarted && aNow - *mStarted >= mOptions.mStartWait;
  return waited || (peersHeard && mPlatformAnswered);
}

std::vector<std::string>
manifest_spread::Missing() const
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
manifest_spread::PullMissing(model::instant aNow, effects& aOut)
{
  const auto running =
    std::count_if(mPulls.begin(), mPulls.end(), [](const auto& aEntry) {
      return aEntry.second.mRunning;
    });
  auto free =
    kMaxPulls - std::min(kMaxPulls, static_cast<std::size_t>(running));
  for (const auto& hash : Missing()) {
    auto& state = mPulls[hash];
    if (free == 0 || state.mRunning || aNow < state.mNext) {
      continue;
    }
    const auto source = SourceFor(state);
    if (!source && !mTarget->mHead) {
      // The platform keeps the head under its own key, not under its hash.
      ReadHead(aOut);
      ++state.mTries;
      state.mNext = aNow + mOptions.mHeadPoll;
      continue;
    }
    state.mRunning = true;
    --free;
    aOut.emplace_back(pull_text{ hash, source });
  }
}

std::optional<model::endpoint>
manifest_spread::SourceFor(const pull& aPull)
{
  const bool platform = aPull.mTries % (kPeerTries + 1) == kPeerTries;
  const auto& holders = mTarget->mPeers;
  if (!holders.empty() && !platform) {
    return holders[mRandom() % holders.size()];
  }
  if (mTarget->mFromPlatform || platform || mPeers.empty()) {
    return std::nullopt;
  }
  return mPeers[mRandom() % mPeers.size()];
}

model::manifest_version
manifest_spread::Version() const
{
  return mInForce ? mInForce->mVersion : 0;
}

const std::string*
manifest_spread::FindText(const std::string& aHash) const
{
  const auto found = mTexts.find(aHash);
  return found == mTexts.end() ? nullptr : &found->second;
}

manifest_spread::effects
manifest_spread::OnText(const std::string& aHash,
                        const std::optional<model::endpoint>& aPeer,
                        const std::optional<std::string>& aText,
                        model::instant aNow)
{
  effects out;
  auto& state = mPulls[aHash];
  state.mRunning = false;
  const bool wrong = aText && mFormat.Hash(*aText) != aHash;
  if (wrong) {
    Alarm(alarm_kind::WrongHash, "text does not match hash " + aHash, out);
  }
  if (!aText || wrong) {
    ++state.mTries;
    state.mNext = aNow + kRetryStep * std::min(state.mTries, kMaxRetrySteps);
    if (aPeer && mTarget) {
      std::erase(mTarget->mPeers, *aPeer);
    }
  } else {
    mPulls.erase(aHash);
    mTexts[aHash] = *aText;
    if (mTarget && mTarget->mHash == aHash && !mTarget->mHead) {
      TakeTargetHead(*aText, out);
    }
  }
  auto more = Advance(aNow);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

} // namespace monsooncroft::cluster
