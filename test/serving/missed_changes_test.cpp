/**
 * @file missed_changes_test.cpp
 * A large fleet in which half of the instances miss a change of the leaf
 * registrations, in virtual time.
 */
#include "serving/fleet_codec_func.h"
#include "serving/fleet_membership_base.h"
#include "serving/leaf_directory_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 84;
constexpr int kLeaves = 675;
constexpr int kDrainedLeaves = 62;
constexpr milliseconds kStep{ 50 };
constexpr int kStepsPerGossipRound = 5;
constexpr std::size_t kLinkBytesPerStep = 109'375; ///< At 17.5 Mbit/s.
constexpr std::size_t kConfigBytes = 70'000;
constexpr std::size_t kMaxPushesPerStep = 4;
constexpr int kGossipLossPercent = 5;
/** A draining leaf must get no more work after this time. */
constexpr seconds kDrainBound{ 3 };

/** Instances with their directories. One of them, the reader, has a change that
 * reached only half of the others. */
class fleet_behind
{
public:
  explicit fleet_behind(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
    directory_snapshot all;
    all.mRevision = kLeaves;
    for (int index = 0; index < kLeaves; ++index) {
      all.mLeaves.push_back(Leaf(index, index + 1));
    }
    for (std::size_t index = 0; index < kInstances; ++index) {
      fleet_member self;
      self.mName = "i" + std::to_string(index);
      self.mDataCentre = "dc" + std::to_string(index % 3);
      self.mPeerEndpoint = { "10.0.0." + std::to_string(index + 1), 7000 };
      self.mIncarnation = 1;
      self.mReachesStore = true;
      mInstances.emplace_back(self, mRandom());
      mInstances.back().mDirectory.OnSnapshot(all, mNow);
      mInstances.back().UpdateRevision();
    }
    for (int step = 0; step < 100; ++step) {
      Step([](std::size_t) {});
    }
    directory_delta drained{ kLeaves, kLeaves + kDrainedLeaves, {}, {} };
    for (int index = 0; index < kDrainedLeaves; ++index) {
      drained.mChangedLeaves.push_back(Leaf(index, kLeaves + index + 1));
      drained.mChangedLeaves.back().mDraining = true;
    }
    const auto change = mInstances[kReader].mDirectory.OnWatch(drained, mNow);
    for (instance& each : mInstances) {
      if (mRandom() % 2 == 0) {
        each.mDirectory.OnDelta(change, mNow);
      }
      each.UpdateRevision();
    }
  }

  /** Pulls the changes from any peer that has them. */
  void PullFromPeers(std::size_t aIndex)
  {
    instance& self = mInstances[aIndex];
    if (const auto newer = self.mMembership.MemberWithNewerDirectory(mNow)) {
      instance& source = mInstances[IndexOf(newer->mPeerEndpoint)];
      fleet_snapshot snapshot;
      snapshot.mDirectory =
        source.mDirectory.ChangesSince(self.mDirectory.Revision());
      Transfer(source, self, snapshot);
    }
  }

  /** Pulls everything from the instance that read the change. */
  void PullAllFromReader(std::size_t aIndex)
  {
    instance& self = mInstances[aIndex];
    instance& source = mInstances[kReader];
    if (self.mDirectory.Revision() < source.mDirectory.Revision()) {
      fleet_snapshot snapshot;
      snapshot.mConfigText = std::string(kConfigBytes, 'c');
      snapshot.mDirectory = source.mDirectory.ChangesSince(0);
      Transfer(source, self, snapshot);
    }
  }

  /** @return Time until all instances know the change. */
  template<class F>
  model::duration TimeUntilAllKnow(F aPull)
  {
    const model::instant start = mNow;
    while (mNow - start < seconds(60) &&
           !std::all_of(
             mInstances.begin(), mInstances.end(), [](const auto& aInstance) {
               return aInstance.mDirectory.Revision() ==
                      kLeaves + kDrainedLeaves;
             })) {
      Step([&](std::size_t aIndex) { (this->*aPull)(aIndex); });
    }
    return mNow - start;
  }

private:
  struct instance
  {
    instance(const fleet_member& aSelf, std::uint64_t aSeed)
      : mMembership(aSelf, { { "10.0.0.1", 7000 } }, {}, aSeed)
    {
    }
    void UpdateRevision()
    {
      mMembership.SetDirectoryRevision(mDirectory.Revision());
    }
    fleet_membership mMembership;
    leaf_directory mDirectory;
    std::size_t mBytesSent = 0; ///< In this step.
    std::size_t mPushes = 0;    ///< In this step.
    model::instant mNextPull;
  };

  static constexpr std::size_t kReader = 7;

  static leaf_registration Leaf(int aIndex, std::uint64_t aRevision)
  {
    leaf_registration leaf;
    leaf.mId = "i-00000000" + std::to_string(aIndex);
    leaf.mService = "service" + std::to_string(aIndex / 3);
    leaf.mAddress = { "10.1.64." + std::to_string(aIndex % 250), 8183 };
    leaf.mDataCentre = "dc" + std::to_string(aIndex % 3);
    leaf.mIncarnation = 1'775'903'256'017;
    leaf.mRevision = aRevision;
    return leaf;
  }

  static std::size_t IndexOf(const model::endpoint& aPeer)
  {
    return std::stoul(aPeer.mAddress.substr(7)) - 1;
  }

  /** Transfers a snapshot if the source's link and its limit of transfers
   * allow; otherwise the next pull is made after the usual delay. */
  void Transfer(instance& aSource,
                instance& aTo,
                const fleet_snapshot& aSnapshot)
  {
    if (mNow < aTo.mNextPull) {
      return;
    }
    const std::string bytes = EncodeSnapshot(aSnapshot);
    if (aSource.mPushes == kMaxPushesPerStep ||
        aSource.mBytesSent >= kLinkBytesPerStep) {
      aTo.mNextPull = mNow + milliseconds(250);
      return;
    }
    ++aSource.mPushes;
    aSource.mBytesSent += bytes.size();
    aTo.mDirectory.OnPulledChanges(DecodeSnapshot(bytes)->mDirectory, mNow);
    aTo.UpdateRevision();
  }

  template<class F>
  void Step(F aPull)
  {
    mNow += kStep;
    ++mSteps;
    for (instance& each : mInstances) {
      // What exceeds the link's capacity delays the next transfers.
      each.mBytesSent -= std::min(each.mBytesSent, kLinkBytesPerStep);
      each.mPushes = 0;
    }
    for (std::size_t index = 0; index < mInstances.size(); ++index) {
      if ((mSteps + index) % kStepsPerGossipRound == 0) {
        Gossip(index);
      }
      aPull(index);
    }
  }

  void Gossip(std::size_t aIndex)
  {
    fleet_membership& self = mInstances[aIndex].mMembership;
    const auto targets = self.StartGossipRound(mNow);
    fleet_message message = self.BuildMessage(mNow);
    message.mWantsReply = self.LiveMembers(mNow).empty();
    for (const model::endpoint& target : targets) {
      if (mRandom() % 100 < kGossipLossPercent) {
        continue;
      }
      fleet_membership& peer = mInstances[IndexOf(target)].mMembership;
      peer.OnMessage(message, mNow);
      if (message.mWantsReply) {
        self.OnMessage(peer.BuildMessage(mNow), mNow);
      }
    }
  }

  std::mt19937 mRandom;
  std::deque<instance> mInstances;
  model::instant mNow{ seconds(100) };
  std::size_t mSteps = 0;
};

/** Requests reached leaves that had left long before: half of the fleet had
 * missed the datagram that said so, and all of them pulled everything from the
 * one instance that had sent it. */
TEST(MissedChanges, ReachAllInstancesWithinTheDrainBound)
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    EXPECT_LT(fleet_behind(seed).TimeUntilAllKnow(&fleet_behind::PullFromPeers),
              kDrainBound)
      << "seed " << seed;
  }
  EXPECT_GT(fleet_behind(1).TimeUntilAllKnow(&fleet_behind::PullAllFromReader),
            kDrainBound);
}

} // namespace
} // namespace monsooncroft::serving
