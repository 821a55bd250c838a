/**
 * @file manifest_distribution_cmd.cpp
 * What the spread hears of heads; the version in force only ever rises.
 */
#include "cluster/manifest_distribution_base.h"

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

manifest_distribution::effects
manifest_distribution::OnHead(const head_answer& aAnswer,
                              bool aWatch,
                              model::instant aNow)
{
  effects out;
  const bool failed = aAnswer.mOutcome == head_answer::outcome::Failed;
  if (aWatch) {
    mWatchPending = false;
    mNextWatch = failed ? aNow + kWatchRetry : aNow;
  } else {
    mReadPending = false;
    mPlatformAnswered = true;
  }
  if (aAnswer.mOutcome == head_answer::outcome::Found) {
    HandlePlatformHead(aAnswer.mText, out);
  }
  auto more = AdvanceTarget(aNow);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

void
manifest_distribution::HandlePlatformHead(const std::string& aText,
                                          effects& aOut)
{
  const auto head = mFormat.ParseHead(aText);
  if (!head) {
    RaiseAlarm(
      alarm_kind::MalformedHead, "the platform's head is malformed", aOut);
    return;
  }
  const auto hash = mFormat.Hash(aText);
  if (head->mVersion < Version()) {
    RaiseAlarm(alarm_kind::LowerHead,
               "the platform gave " + VersionText(head->mVersion) +
                 ", in force is " + VersionText(Version()),
               aOut);
    return;
  }
  if (head->mVersion == Version() && hash != mHeadHash) {
    RaiseAlarm(alarm_kind::ForkedHead,
               "two heads with " + VersionText(head->mVersion),
               aOut);
    return;
  }
  if (TrySetTarget(head->mVersion, hash, aOut)) {
    mTexts[hash] = aText;
    mTarget->mHead = head;
    mTarget->mFromPlatform = true;
  }
}

manifest_distribution::effects
manifest_distribution::OnPeerHead(model::manifest_version aVersion,
                                  const std::string& aHash,
                                  const model::endpoint& aPeer,
                                  model::instant aNow)
{
  effects out;
  if (aVersion == Version() && aVersion > 0 && aHash != mHeadHash) {
    RaiseAlarm(
      alarm_kind::ForkedHead, "two heads with " + VersionText(aVersion), out);
    return out;
  }
  if (!TrySetTarget(aVersion, aHash, out)) {
    return out;
  }
  auto& holders = mTarget->mHolders;
  if (std::find(holders.begin(), holders.end(), aPeer) == holders.end()) {
    holders.push_back(aPeer);
  }
  auto more = AdvanceTarget(aNow);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

manifest_distribution::effects
manifest_distribution::OnPeerAnswered(model::instant aNow)
{
  ++mPeersAnswered;
  return AdvanceTarget(aNow);
}

/** Makes a head the target if nothing as high is in force or aimed at. */
bool
manifest_distribution::TrySetTarget(model::manifest_version aVersion,
                                    const std::string& aHash,
                                    effects& aOut)
{
  const auto reached =
    mPendingAdoption ? mPendingAdoption->mVersion : Version();
  if (aVersion <= reached || mRejectedHeads.count({ aVersion, aHash }) != 0) {
    return false;
  }
  if (mTarget && mTarget->mVersion == aVersion) {
    const bool same = mTarget->mHash == aHash;
    if (!same) {
      RaiseAlarm(alarm_kind::ForkedHead,
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
manifest_distribution::SetTargetHead(const std::string& aText, effects& aOut)
{
  const auto head = mFormat.ParseHead(aText);
  if (!head || head->mVersion != mTarget->mVersion) {
    mRejectedHeads.insert({ mTarget->mVersion, mTarget->mHash });
    mTarget.reset();
    RaiseAlarm(alarm_kind::MalformedHead, "a peer's head is malformed", aOut);
    return;
  }
  mTarget->mHead = head;
}

manifest_distribution::effects
manifest_distribution::OnAdopted(model::manifest_version aVersion, bool aValid)
{
  effects out;
  if (!mPendingAdoption || mPendingAdoption->mVersion != aVersion) {
    return out;
  }
  const auto done = *mPendingAdoption;
  mPendingAdoption.reset();
  if (aValid) {
    mHeadInForce = done.mHead;
    mHeadHash = done.mHash;
    DropUnreferencedTexts();
  } else {
    mRejectedHeads.insert({ aVersion, done.mHash });
    RaiseAlarm(alarm_kind::InvalidManifest,
               VersionText(aVersion) + " is not valid",
               out);
  }
  return out;
}

/** Drops the texts that neither the head in force nor the target names. */
void
manifest_distribution::DropUnreferencedTexts()
{
  std::set<std::string> named{ mHeadHash };
  const auto name = [&](const manifest_head& aHead) {
    for (const auto& reference : aHead.mChunks) {
      named.insert(reference.mHash);
    }
  };
  name(*mHeadInForce);
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
