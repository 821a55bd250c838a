/**
 * @file quota_fleet_node.h
 * One instance of a simulated_quota_fleet.
 */
#ifndef MONSOONCROFT_TEST_SERVING_QUOTA_FLEET_NODE_H
#define MONSOONCROFT_TEST_SERVING_QUOTA_FLEET_NODE_H

#include "quota_fleet.h"

#include "cluster/rendezvous_func.h"

#include <algorithm>

namespace monsooncroft::serving {

constexpr std::chrono::milliseconds kFailureTimeout{ 2'000 };
constexpr std::chrono::milliseconds kWarmUp{ 750 };
constexpr std::chrono::milliseconds kMaxWarmUp{ 3'000 };
constexpr std::size_t kSeeds = 3;

/** Ignores the changes. */
class silent_observer : public quota_observer
{
public:
  void OnQuotaChange(const quota_change& /*aChange*/) override {}
  void OnQuotaSilence(quota_group /*aGroup*/,
                      bool /*aSilent*/,
                      model::duration /*aHeardAge*/) override
  {
  }
  void OnQuotaDecision(quota_source /*aSource*/, bool /*aAdmitted*/) override {}
  void OnQuotaEvent(const char* /*aEvent*/) override {}
};

inline model::endpoint
EndpointOf(std::size_t aIndex)
{
  return { "10.0.0.1", static_cast<std::uint16_t>(aIndex + 1) };
}

inline std::size_t
IndexOf(const model::endpoint& aPeer)
{
  return aPeer.mPort - 1U;
}

/** Membership and network as one instance sees them. */
class simulated_quota_fleet::peers : public quota_peers
{
public:
  peers(simulated_quota_fleet& aFleet, std::size_t aIndex)
    : mFleet(aFleet)
    , mIndex(aIndex)
    , mStartedAt(aFleet.mNow)
    , mLastContact(aFleet.mNodes.size())
  {
  }

  quota_keepers Keepers(quota_group /*aGroup*/) const override
  {
    const std::size_t issuer = Best(std::nullopt, false);
    const std::size_t deputy = Best(issuer, true);
    return { { EndpointOf(issuer), issuer == mIndex },
             deputy == issuer ? std::nullopt
                              : std::optional(quota_keeper_address{
                                  EndpointOf(deputy), deputy == mIndex }) };
  }
  std::size_t KnownInstances() const override
  {
    return std::max(Count(std::chrono::seconds(60)),
                    std::min(kSeeds + 1, mLastContact.size()));
  }
  std::size_t ReachableInstances() const override
  {
    return mFleet.mSettings.mSplitsRate ? Count(kFailureTimeout)
                                        : KnownInstances();
  }
  bool MembershipIsComplete() const override
  {
    return (mFirstContact && mFleet.mNow - *mFirstContact >= kWarmUp) ||
           mFleet.mNow - mStartedAt >= kMaxWarmUp;
  }
  void SendQuota(const model::endpoint& aTo,
                 const quota_message& aMessage) override
  {
    mFleet.Deliver(mIndex, IndexOf(aTo), aMessage);
  }
  void SendQuotaToAll(const quota_message& aMessage) override
  {
    for (std::size_t index = 0; index < mLastContact.size(); ++index) {
      if (index != mIndex) {
        mFleet.Deliver(mIndex, index, aMessage);
      }
    }
  }
  void SendQuotaToDataCentre(const quota_message& aMessage) override
  {
    for (std::size_t index = mIndex % 3;
         mFleet.mSettings.mWarnsPeers && index < mLastContact.size();
         index += 3) {
      if (index != mIndex) {
        mFleet.Deliver(mIndex, index, aMessage);
      }
    }
  }

  /** A message of another instance, which also names those that it knows. */
  void OnContact(std::size_t aIndex, model::instant aAt, const peers& aOther)
  {
    if (aAt < mStartedAt) {
      return;
    }
    mLastContact[aIndex] = std::max(mLastContact[aIndex].value_or(aAt), aAt);
    mFirstContact = mFirstContact.value_or(mFleet.mNow);
    mHasConfig = mHasConfig || aOther.mHasConfig;
    for (std::size_t index = 0; index < mLastContact.size(); ++index) {
      if (!mLastContact[index] && index != mIndex &&
          aOther.mLastContact[index]) {
        mLastContact[index] = mFleet.mNow;
      }
    }
  }
  /** From the store or from a peer; without one, it admits nothing. */
  bool HasConfig() const { return mHasConfig; }
  void OnStoreReached() { mHasConfig = true; }

private:
  bool IsWithin(std::size_t aIndex, model::duration aTime) const
  {
    return aIndex == mIndex || (mLastContact[aIndex] &&
                                mFleet.mNow - *mLastContact[aIndex] <= aTime);
  }
  std::size_t Count(model::duration aTime) const
  {
    std::size_t count = 0;
    for (std::size_t index = 0; index < mLastContact.size(); ++index) {
      count += IsWithin(index, aTime) ? 1 : 0;
    }
    return count;
  }
  /** The live member of the highest weight, other than one. */
  std::size_t Best(std::optional<std::size_t> aOther, bool aElsewhere) const
  {
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < mLastContact.size(); ++index) {
      const std::uint64_t weight = cluster::RendezvousWeight(17, index);
      if (index != aOther && IsWithin(index, kFailureTimeout) &&
          !(aElsewhere && index % 3 == *aOther % 3) && weight > bestWeight) {
        best = index;
        bestWeight = weight;
      }
    }
    if (!best && aElsewhere) {
      return Best(aOther, false);
    }
    return best.value_or(aOther.value_or(mIndex));
  }

  simulated_quota_fleet& mFleet;
  std::size_t mIndex;
  model::instant mStartedAt;
  std::optional<model::instant> mFirstContact;
  bool mHasConfig = false;
  std::vector<std::optional<model::instant>> mLastContact;
};

struct simulated_quota_fleet::node
{
  std::unique_ptr<peers> mPeers; ///< Null while it is crashed.
  silent_observer mObserver;
  std::unique_ptr<quota_agent> mAgent;
  std::uint64_t mIncarnation = 0;
  model::instant mFrozenUntil;
  int mSide = 0;
  quota_limit mLimit;
  std::vector<std::function<void()>> mMissed; ///< While it was frozen.
};

} // namespace monsooncroft::serving

#endif
