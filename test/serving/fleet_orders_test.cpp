/**
 * @file fleet_orders_test.cpp
 * Randomized simulations of a fleet, seeded and in virtual time: membership,
 * duty ranks, shares of budget and connections, configuration versions, leaf
 * registrations and drain marks.
 */
#include "serving/connection_allocation_func.h"
#include "serving/fleet_codec_func.h"
#include "serving/fleet_membership_base.h"
#include "serving/leaf_directory_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeeds = 200;
constexpr milliseconds kStep{ 50 };
constexpr milliseconds kGossipPeriod{ 250 };
/** Time for gossip to reach all instances after the last disturbance. */
constexpr seconds kSettleTime{ 6 };

/** Instances of three data centres that crash, restart, are partitioned and
 * lose part of their datagrams. */
class simulated_fleet
{
public:
  explicit simulated_fleet(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mNodes(2 + aSeed % 14)
  {
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      Restart(index);
    }
  }

  /** Runs for some seconds with random disturbances. */
  void Disturb()
  {
    for (int step = 0; step < 200; ++step) {
      const std::size_t index = mRandom() % mNodes.size();
      switch (mRandom() % 40) {
        case 0:
          mNodes[index].mMembership.reset();
          break;
        case 1:
          Restart(index);
          break;
        case 2:
          mCutOffDataCentre = static_cast<int>(mRandom() % 4) - 1;
          break;
        case 3:
          mLossPercent = mRandom() % 60;
          break;
        case 4:
          PublishConfig(index);
          break;
        default:
          break;
      }
      Step();
    }
  }

  /** Ends all disturbances and runs until gossip has settled. */
  void Settle()
  {
    mCutOffDataCentre = -1;
    mLossPercent = 0;
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      if (!mNodes[index].mMembership) {
        Restart(index);
      }
    }
    for (const auto end = mNow + kSettleTime; mNow < end;) {
      Step();
    }
  }

  std::size_t Size() const { return mNodes.size(); }
  fleet_membership& Instance(std::size_t aIndex)
  {
    return *mNodes[aIndex].mMembership;
  }
  model::instant Now() const { return mNow; }
  std::uint64_t NewestVersion() const { return mNewestVersion; }
  bool AnyVersionDecreased() const { return mVersionDecreased; }

private:
  struct node
  {
    std::unique_ptr<fleet_membership> mMembership; ///< Null after a crash.
    model::instant mNextRound;
    std::uint64_t mConfigVersion = 0;
  };
  struct datagram
  {
    model::instant mArrivesAt;
    std::size_t mFrom;
    std::size_t mTo;
    std::string mBytes;
  };

  void Restart(std::size_t aIndex)
  {
    fleet_member self;
    self.mName = "i" + std::to_string(aIndex);
    self.mDataCentre = "dc" + std::to_string(aIndex % 3);
    self.mPeerEndpoint = { "10.0.0." + std::to_string(aIndex + 1), 7000 };
    self.mIncarnation = ++mIncarnations;
    self.mReachesStore = true;
    mNodes[aIndex].mMembership = std::make_unique<fleet_membership>(
      self,
      std::vector<model::endpoint>{ { "10.0.0.1", 7000 },
                                    { "10.0.0.2", 7000 } },
      fleet_membership_settings{},
      mRandom());
    mNodes[aIndex].mNextRound = mNow + milliseconds(mRandom() % 250);
    mNodes[aIndex].mConfigVersion = 0;
  }

  /** An instance reads a new configuration version from the store. */
  void PublishConfig(std::size_t aIndex)
  {
    if (mNodes[aIndex].mMembership) {
      AdoptConfig(aIndex, ++mNewestVersion);
    }
  }

  void AdoptConfig(std::size_t aIndex, std::uint64_t aVersion)
  {
    node& here = mNodes[aIndex];
    here.mMembership->SetConfigVersion(aVersion);
    mVersionDecreased =
      mVersionDecreased ||
      here.mMembership->Self().mConfigVersion < here.mConfigVersion;
    here.mConfigVersion = here.mMembership->Self().mConfigVersion;
  }

  bool IsDelivered(std::size_t aFrom, std::size_t aTo)
  {
    const bool cut = mCutOffDataCentre >= 0 &&
                     (static_cast<int>(aFrom % 3) == mCutOffDataCentre) !=
                       (static_cast<int>(aTo % 3) == mCutOffDataCentre);
    return !cut && mRandom() % 100 >= mLossPercent;
  }

  void Send(std::size_t aFrom, std::size_t aTo, std::string aBytes)
  {
    if (IsDelivered(aFrom, aTo)) {
      mInTransit.push_back({ mNow + milliseconds(1 + mRandom() % 400),
                             aFrom,
                             aTo,
                             std::move(aBytes) });
    }
  }

  void Step()
  {
    mNow += kStep;
    std::shuffle(mInTransit.begin(), mInTransit.end(), mRandom);
    const auto due = std::stable_partition(
      mInTransit.begin(), mInTransit.end(), [&](const datagram& aDatagram) {
        return aDatagram.mArrivesAt > mNow;
      });
    const std::deque<datagram> arrived(due, mInTransit.end());
    mInTransit.erase(due, mInTransit.end());
    for (const datagram& each : arrived) {
      Receive(each);
    }
    for (std::size_t index = 0; index < mNodes.size(); ++index) {
      node& here = mNodes[index];
      if (!here.mMembership || mNow < here.mNextRound) {
        continue;
      }
      here.mNextRound = mNow + kGossipPeriod;
      const auto targets = here.mMembership->StartGossipRound(mNow);
      fleet_message message = here.mMembership->BuildMessage(mNow);
      message.mWantsReply = here.mMembership->LiveMembers(mNow).empty();
      for (const model::endpoint& target : targets) {
        Send(index, IndexOf(target), EncodeMessage(message));
      }
      PullConfig(index);
    }
  }

  void Receive(const datagram& aDatagram)
  {
    node& here = mNodes[aDatagram.mTo];
    const auto message = DecodeMessage(aDatagram.mBytes);
    if (!here.mMembership || !message) {
      return;
    }
    here.mMembership->OnMessage(*message, mNow);
    if (message->mWantsReply) {
      Send(aDatagram.mTo,
           aDatagram.mFrom,
           EncodeMessage(here.mMembership->BuildMessage(mNow)));
    }
  }

  /** Pulls a newer configuration from a peer that has one. */
  void PullConfig(std::size_t aIndex)
  {
    const auto newer = mNodes[aIndex].mMembership->MemberWithNewerConfig(mNow);
    if (!newer) {
      return;
    }
    const std::size_t from = IndexOf(newer->mPeerEndpoint);
    if (mNodes[from].mMembership && IsDelivered(aIndex, from)) {
      // The peer may have restarted since, without any configuration.
      AdoptConfig(aIndex, mNodes[from].mConfigVersion);
    }
  }

  static std::size_t IndexOf(const model::endpoint& aPeer)
  {
    return std::stoul(aPeer.mAddress.substr(7)) - 1;
  }

  std::mt19937 mRandom;
  std::vector<node> mNodes;
  std::deque<datagram> mInTransit;
  model::instant mNow{ seconds(100) };
  std::uint64_t mIncarnations = 0;
  std::uint64_t mNewestVersion = 0;
  int mCutOffDataCentre = -1; ///< -1: none.
  std::uint32_t mLossPercent = 0;
  bool mVersionDecreased = false;
};

TEST(FleetOrders, InstancesAgreeOnMembersDutiesAndSharesAfterDisturbances)
{
  for (int seed = 0; seed < kSeeds; ++seed) {
    simulated_fleet fleet(seed);
    fleet.Disturb();
    fleet.Settle();
    ASSERT_FALSE(fleet.AnyVersionDecreased()) << "seed " << seed;
    std::uint64_t newest = 0;
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      newest = std::max(newest, fleet.Instance(index).Self().mConfigVersion);
    }
    int first = 0;
    double budget = 0;
    std::map<std::string, std::size_t> connections;
    constexpr int kLimit = 26;
    const std::vector<replica_limits> replicas{ { "a", kLimit, 2, false },
                                                { "b", kLimit, 6, false } };
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      fleet_membership& instance = fleet.Instance(index);
      const fleet_size size = instance.FleetSize(fleet.Now());
      ASSERT_EQ(size.mTotal, fleet.Size()) << "seed " << seed;
      first += instance.DutyRank("duty", false, fleet.Now()) == 0 ? 1 : 0;
      budget += 1.0 / static_cast<double>(size.mTotal);
      const auto allocation =
        AllocateConnections(instance.Self().mName, replicas, size);
      for (std::size_t leaf = 0; leaf < replicas.size(); ++leaf) {
        connections[replicas[leaf].mLeafId] += allocation[leaf].mMaxConnections;
      }
      // The newest version that any instance still has reaches all of them.
      EXPECT_EQ(instance.Self().mConfigVersion, newest) << "seed " << seed;
    }
    EXPECT_EQ(first, 1) << "seed " << seed;
    EXPECT_LE(budget, 1.0001) << "seed " << seed;
    for (const auto& [leaf, count] : connections) {
      EXPECT_LE(count, static_cast<std::size_t>(kLimit)) << "seed " << seed;
    }
  }
}

/** The store's registrations at each revision. */
class simulated_store
{
public:
  /** Registers, changes or removes a random leaf. */
  void Change(std::mt19937& aRandom)
  {
    const std::string id(1, static_cast<char>('a' + aRandom() % 4));
    ++mRevision;
    auto& current = mLeaves[id];
    if (current && aRandom() % 3 == 0) {
      current.reset();
    } else {
      leaf_registration leaf;
      leaf.mId = id;
      leaf.mService = "s";
      leaf.mDraining = current && !current->mDraining;
      leaf.mRevision = mRevision;
      current = leaf;
    }
    mLastChange[id] = mRevision;
    mHistory[mRevision] = mLeaves;
  }
  directory_snapshot Read(std::uint64_t aRevision) const
  {
    directory_snapshot snapshot;
    snapshot.mRevision = aRevision;
    const auto found = mHistory.find(aRevision);
    if (found != mHistory.end()) {
      for (const auto& [id, leaf] : found->second) {
        if (leaf) {
          snapshot.mLeaves.push_back(*leaf);
        }
      }
    }
    return snapshot;
  }
  /** Changes after a revision, as a watch that resumes there returns them. */
  directory_delta ChangesSince(model::store_revision aRevision) const
  {
    directory_delta delta;
    delta.mBaseRevision = aRevision;
    delta.mRevision = mRevision;
    for (const auto& [id, leaf] : mLeaves) {
      const auto last = mLastChange.find(id);
      if (last == mLastChange.end() || last->second <= aRevision) {
        continue;
      }
      if (leaf) {
        delta.mChangedLeaves.push_back(*leaf);
      } else {
        delta.mRemovedIds.push_back(id);
      }
    }
    return delta;
  }
  std::uint64_t Revision() const { return mRevision; }
  std::size_t Size() const
  {
    return static_cast<std::size_t>(
      std::count_if(mLeaves.begin(), mLeaves.end(), [](const auto& aEntry) {
        return aEntry.second.has_value();
      }));
  }

private:
  using state = std::map<std::string, std::optional<leaf_registration>>;

  std::uint64_t mRevision = 10;
  state mLeaves; ///< Nothing for a removed leaf.
  std::map<std::string, std::uint64_t> mLastChange; ///< Revision by leaf id.
  std::map<std::uint64_t, state> mHistory;          ///< By revision.
};

/** Checks that no leaf's registration is replaced by an older one. */
class revision_checker
{
public:
  void Check(const leaf_directory::changes& aChanges, int aSeed)
  {
    for (const leaf_registration& leaf : aChanges.mChangedLeaves) {
      EXPECT_GE(leaf.mRevision, mRevisions[leaf.mId]) << "seed " << aSeed;
      mRevisions[leaf.mId] = leaf.mRevision;
    }
  }

private:
  std::map<std::string, model::store_revision> mRevisions; ///< By leaf id.
};

/** A drain mark is undone if an older registration replaces a newer one.
 * Snapshots, watches and peers' deltas arrive in random order here. */
TEST(FleetOrders, DrainMarksAreNotUndoneByOldSnapshotsOrDeltas)
{
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937 random(seed);
    simulated_store store;
    std::vector<leaf_directory> directories(3);
    std::vector<revision_checker> checkers(3);
    std::vector<directory_delta> gossip;
    model::instant now{ seconds(100) };
    for (int step = 0; step < 120; ++step) {
      now += milliseconds(random() % 300);
      const std::size_t index = random() % directories.size();
      leaf_directory& directory = directories[index];
      std::optional<directory_delta> delta;
      switch (random() % 5) {
        case 0:
          store.Change(random);
          break;
        case 1:
          // The snapshot may be older than the directory.
          delta = directory.OnSnapshot(
            store.Read(store.Revision() - random() % 4), now);
          break;
        case 2:
          if (directory.LastCompleteTime()) {
            delta =
              directory.OnWatch(store.ChangesSince(directory.Revision()), now);
          }
          break;
        case 3:
          if (!gossip.empty()) {
            directory.OnDelta(gossip[random() % gossip.size()], now);
          }
          break;
        default:
          directory.RemoveMissing(now);
          break;
      }
      if (delta) {
        gossip.push_back(*delta);
      }
      checkers[index].Check(directory.TakeChanges(), seed);
    }
    for (leaf_directory& directory : directories) {
      // The reads span more than the re-registration period.
      for (int read = 0; read < 5; ++read) {
        directory.OnSnapshot(store.Read(store.Revision()), now + seconds(read));
      }
      EXPECT_EQ(directory.Size(), store.Size()) << "seed " << seed;
    }
  }
}

} // namespace
} // namespace monsooncroft::serving
