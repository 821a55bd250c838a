/**
 * @file manifest_distribution_cmd.cpp
 * Handling of heads from the platform and from peers. The version in force only
 * increases.
 */
#include "cluster/manifest_distribution_base.h"

#include <algorithm>
#include <iterator>

namespace monsooncroft::cluster {

namespace {

constexpr std::chrono::milliseconds kWatchRetryDelay{ 1'000 };

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
    mNextWatch = failed ? aNow + kWatchRetryDelay : aNow;
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
               "the platform's head has " + VersionText(head->mVersion) +
                 ", lower than the manifest in force, " +
                 VersionText(Version()),
               aOut);
    return;
  }
  if (head->mVersion == Version() && hash != mHeadHash) {
    RaiseAlarm(alarm_kind::ForkedHead,
               "two different heads have " + VersionText(head->mVersion),
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
    RaiseAlarm(alarm_kind::ForkedHead,
               "two different heads have " + VersionText(aVersion),
               out);
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

/**
 * Makes a head the target if its version is higher than that of the target and
 * of the manifest in force or being adopted, and the head was not rejected.
 * @return Whether the head is the target now.
 */
bool
manifest_distribution::TrySetTarget(model::manifest_version aVersion,
                                    const std::string& aHash,
                                    effects& aOut)
{
  const auto highest =
    mPendingAdoption ? mPendingAdoption->mVersion : Version();
  if (aVersion <= highest || mRejectedHeads.count({ aVersion, aHash }) != 0) {
    return false;
  }
  if (mTarget && mTarget->mVersion == aVersion) {
    const bool same = mTarget->mHash == aHash;
    if (!same) {
      RaiseAlarm(alarm_kind::ForkedHead,
                 "two different heads have " + VersionText(aVersion),
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
  const auto adopted = *mPendingAdoption;
  mPendingAdoption.reset();
  if (aValid) {
    mHeadInForce = adopted.mHead;
    mHeadHash = adopted.mHash;
    DropUnreferencedTexts();
  } else {
    mRejectedHeads.insert({ aVersion, adopted.mHash });
    RaiseAlarm(alarm_kind::InvalidManifest,
               VersionText(aVersion) + " of the manifest is invalid",
               out);
  }
  return out;
}

/**
 * Drops the texts and pulls that neither the head in force nor the target
 * refers to.
 */
void
manifest_distribution::DropUnreferencedTexts()
{
  std::set<std::string> referenced{ mHeadHash };
  const auto addChunks = [&](const manifest_head& aHead) {
    for (const auto& reference : aHead.mChunks) {
      referenced.insert(reference.mHash);
    }
  };
  addChunks(*mHeadInForce);
  if (mTarget) {
    referenced.insert(mTarget->mHash);
  }
  if (mTarget && mTarget->mHead) {
    addChunks(*mTarget->mHead);
  }
  const auto isUnreferenced = [&](const auto& aEntry) {
    return referenced.count(aEntry.first) == 0;
  };
  std::erase_if(mTexts, isUnreferenced);
  std::erase_if(mPulls, isUnreferenced);
}

} // namespace monsooncroft::cluster
