/**
 * @file manifest_spread_cmd.cpp
 * What the spread hears of heads; the version in force only ever rises.
 */
#include "cluster/manifest_spread_base.h"

#include <algorithm>
#include <iterator>

namespace monsooncroft::cluster {

namespace {

constexpr std::chrono::milliseconds kWatchRetry{ 1'000 };

std::string
VersionText(model::manifest_version aVersion)
{
  return "version " + std::to_string(aVersion);
}

} // namespace

manifest_spread::effects
manifest_spread::OnHead(const head_answer& aAnswer,
                        bool aWatch,
                        model::instant aNow)
{
  effects out;
  const bool failed = aAnswer.mOutcome == head_answer::outcome::Failed;
  if (aWatch) {
    mWatching = false;
    mNextWatch = failed ? aNow + kWatchRetry : aNow;
  } else {
    mReading = false;
    mPlatformAnswered = true;
  }
  if (aAnswer.mOutcome == head_answer::outcome::Found) {
    TakeHead(aAnswer.mText, out);
  }
  auto more = Advance(aNow);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

void
manifest_spread::TakeHead(const std::string& aText, effects& aOut)
{
  const auto head = mFormat.ParseHead(aText);
  if (!head) {
    Alarm(alarm_kind::MalformedHead, "the platform's head is malformed", aOut);
    return;
  }
  const auto hash = mFormat.Hash(aText);
  if (head->mVersion < Version()) {
    Alarm(alarm_kind::LowerHead,
          "the platform gave " + VersionText(head->mVersion) +
            ", in force is " + VersionText(Version()),
          aOut);
    return;
  }
  if (head->mVersion == Version() && hash != mHash) {
    Alarm(alarm_kind::ForkedHead,
          "two heads with " + VersionText(head->mVersion),
          aOut);
    return;
  }
  if (Aim(head->mVersion, hash, aOut)) {
    mTexts[hash] = aText;
    mTarget->mHead = head;
    mTarget->mFromPlatform = true;
  }
}

manifest_spread::effects
manifest_spread::OnPeerHead(model::manifest_version aVersion,
                            const std::string& aHash,
                            const model::endpoint& aPeer,
                            model::instant aNow)
{
  effects out;
  if (aVersion == Version() && aVersion > 0 && aHash != mHash) {
    Alarm(
      alarm_kind::ForkedHead, "two heads with " + VersionText(aVersion), out);
    return out;
  }
  if (!Aim(aVersion, aHash, out)) {
    return out;
  }
  auto& holders = mTarget->mPeers;
  if (std::find(holders.begin(), holders.end(), aPeer) == holders.end()) {
    holders.push_back(aPeer);
  }
  auto more = Advance(aNow);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

manifest_spread::effects
manifest_spread::OnPeerAnswered(model::instant aNow)
{
  ++mPeersAnswered;
  return Advance(aNow);
}

/** Makes a head the target if nothing as high is in force or aimed at. */
bool
manifest_spread::Aim(model::manifest_version aVersion,
                     const std::string& aHash,
                     effects& aOut)
{
  const auto reached = mAdopting ? mAdopting->mVersion : Version();
  if (aVersion <= reached || mRefused.count({ aVersion, aHash }) != 0) {
    return false;
  }
  if (mTarget && mTarget->mVersion == aVersion) {
    const bool same = mTarget->mHash == aHash;
    if (!same) {
      Alarm(alarm_kind::ForkedHead,
            "two heads with " + VersionText(aVersion),
            aOut);
    }
    return same;
  }
  if (mTarget && mTarget->mVersion > aVersion) {
    return false;
  }
  mTarget = target{};
  mTarget->mVersion = aVersion;
  mTarget->mHash = aHash;
  return true;
}

void
manifest_spread::TakeTargetHead(const std::string& aText, effects& aOut)
{
  const auto head = mFormat.ParseHead(aText);
  if (!head || head->mVersion != mTarget->mVersion) {
    mRefused.insert({ mTarget->mVersion, mTarget->mHash });
    mTarget.reset();
    Alarm(alarm_kind::MalformedHead, "a peer's head is malformed", aOut);
    return;
  }
  mTarget->mHead = head;
}

manifest_spread::effects
manifest_spread::OnAdopted(model::manifest_version aVersion, bool aValid)
{
  effects out;
  if (!mAdopting || mAdopting->mVersion != aVersion) {
    return out;
  }
  const auto done = *mAdopting;
  mAdopting.reset();
  if (aValid) {
    mInForce = done.mHead;
    mHash = done.mHash;
    ForgetUnnamed();
  } else {
    mRefused.insert({ aVersion, done.mHash });
    Alarm(alarm_kind::Refused, VersionText(aVersion) + " is not valid", out);
  }
  return out;
}

/** Drops the texts that neither the head in force nor the target names. */
void
manifest_spread::ForgetUnnamed()
{
  std::set<std::string> named{ mHash };
  const auto name = [&](const manifest_head& aHead) {
    for (const auto& reference : aHead.mChunks) {
      named.insert(reference.mHash);
    }
  };
  name(*mInForce);
  if (mTarget) {
    named.insert(mTarget->mHash);
  }
  if (mTarget && mTarget->mHead) {
    name(*mTarget->mHead);
  }
  const auto unnamed = [&](const auto& aEntry) {
    return named.count(aEntry.first) == 0;
  };
  std::erase_if(mTexts, unnamed);
  std::erase_if(mPulls, unnamed);
}

} // namespace monsooncroft::cluster
