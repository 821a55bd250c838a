/**
 * @file fleet_orders_test.cpp
 * What instances decide together, in seeded orders of events and virtual time:
 * members, duties, shares of budgets and connections, configuration in force,
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
constexpr milliseconds kPeriod{ 250 };
/** Long enough for all news to reach all after the last disturbance. */
constexpr seconds kCalm{ 6 };

/** Instances of three data centres that crash, start again, are cut off and
 * lose a part of their datagrams. */
class fleet_world
{
public:
  explicit fleet_world(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mNodes(2 + aSeed % 14)
  {
    for (std::size_t place = 0; place < mNodes.size(); ++place) {
      StartAgain(place);
    }
  }

  /** Some seconds of random disturbances. */
  void Disturb()
  {
    for (int step = 0; step < 200; ++step) {
      const std::size_t place = mRandom() % mNodes.size();
      switch (mRandom() % 40) {
        case 0:
          mNodes[place].mView.reset();
          break;
        case 1:
          StartAgain(place);
          break;
        case 2:
          mCutOff = static_cast<int>(mRandom() % 4) - 1;
          break;
        case 3:
          mLost = mRandom() % 60;
          break;
        case 4:
          Push(place);
          break;
        default:
          break;
      }
      Step();
    }
  }

  void Calm()
  {
    mCutOff = -1;
    mLost = 0;
    for (std::size_t place = 0; place < mNodes.size(); ++place) {
      if (!mNodes[place].mView) {
        StartAgain(place);
      }
    }
    for (const auto end = mNow + kCalm; mNow < end;) {
      Step();
    }
  }

  std::size_t Size() const { return mNodes.size(); }
  fleet_membership& View(std::size_t aPlace) { return *mNodes[aPlace].mView; }
  model::instant Now() const { return mNow; }
  std::uint64_t Newest() const { return mNewest; }
  bool WentBack() const { return mWentBack; }

private:
  struct node
  {
    std::unique_ptr<fleet_membership> mView;
    model::instant mNextRound;
    std::uint64_t mInForce = 0;
  };
  struct datagram
  {
    model::instant mAt;
    std::size_t mFrom;
    std::size_t mTo;
    std::string mBytes;
  };

  void StartAgain(std::size_t aPlace)
  {
    fleet_member self;
    self.mName = "i" + std::to_string(aPlace);
    self.mDataCentre = "dc" + std::to_string(aPlace % 3);
    self.mPeerEndpoint = { "10.0.0." + std::to_string(aPlace + 1), 7000 };
    self.mIncarnation = ++mIncarnations;
    self.mReachesStore = true;
    mNodes[aPlace].mView = std::make_unique<fleet_membership>(
      self,
      std::vector<model::endpoint>{ { "10.0.0.1", 7000 },
                                    { "10.0.0.2", 7000 } },
      fleet_membership_settings{},
      mRandom());
    mNodes[aPlace].mNextRound = mNow + milliseconds(mRandom() % 250);
    mNodes[aPlace].mInForce = 0;
  }

  /** An instance that reaches the store learns of a new configuration. */
  void Push(std::size_t aPlace)
  {
    if (mNodes[aPlace].mView) {
      Adopt(aPlace, ++mNewest);
    }
  }

  void Adopt(std::size_t aPlace, std::uint64_t aVersion)
  {
    node& here = mNodes[aPlace];
    here.mView->SetConfigVersion(aVersion);
    mWentBack = mWentBack || here.mView->Self().mConfigVersion < here.mInForce;
    here.mInForce = here.mView->Self().mConfigVersion;
  }

  bool Passes(std::size_t aFrom, std::size_t aTo)
  {
    const bool cut = mCutOff >= 0 && (static_cast<int>(aFrom % 3) == mCutOff) !=
                                       (static_cast<int>(aTo % 3) == mCutOff);
    return !cut && mRandom() % 100 >= mLost;
  }

  void Send(std::size_t aFrom, std::size_t aTo, std::string aBytes)
  {
    if (Passes(aFrom, aTo)) {
      mFlying.push_back({ mNow + milliseconds(1 + mRandom() % 400),
                          aFrom,
                          aTo,
                          std::move(aBytes) });
    }
  }

  void Step()
  {
    mNow += kStep;
    std::shuffle(mFlying.begin(), mFlying.end(), mRandom);
    const auto due = std::stable_partition(
      mFlying.begin(), mFlying.end(), [&](const datagram& aFlying) {
        return aFlying.mAt > mNow;
      });
    const std::deque<datagram> arrived(due, mFlying.end());
    mFlying.erase(due, mFlying.end());
    for (const datagram& each : arrived) {
      Take(each);
    }
    for (std::size_t place = 0; place < mNodes.size(); ++place) {
      node& here = mNodes[place];
      if (!here.mView || mNow < here.mNextRound) {
        continue;
      }
      here.mNextRound = mNow + kPeriod;
      const auto targets = here.mView->StartGossipRound(mNow);
      fleet_message message = here.mView->BuildMessage(mNow);
      message.mWantsReply = here.mView->LiveMembers(mNow).empty();
      for (const model::endpoint& target : targets) {
        Send(place, PlaceOf(target), EncodeMessage(message));
      }
      Pull(place);
    }
  }

  void Take(const datagram& aFlying)
  {
    node& here = mNodes[aFlying.mTo];
    const auto message = DecodeMessage(aFlying.mBytes);
    if (!here.mView || !message) {
      return;
    }
    here.mView->OnMessage(*message, mNow);
    if (message->mWantsReply) {
      Send(aFlying.mTo,
           aFlying.mFrom,
           EncodeMessage(here.mView->BuildMessage(mNow)));
    }
  }

  /** Takes a newer configuration from a peer that has one. */
  void Pull(std::size_t aPlace)
  {
    const auto newer = mNodes[aPlace].mView->MemberWithNewerConfig(mNow);
    if (!newer) {
      return;
    }
    const std::size_t from = PlaceOf(newer->mPeerEndpoint);
    if (mNodes[from].mView && Passes(aPlace, from)) {
      // The peer may have started again since, knowing nothing.
      Adopt(aPlace, mNodes[from].mInForce);
    }
  }

  static std::size_t PlaceOf(const model::endpoint& aPeer)
  {
    return std::stoul(aPeer.mAddress.substr(7)) - 1;
  }

  std::mt19937 mRandom;
  std::vector<node> mNodes;
  std::deque<datagram> mFlying;
  model::instant mNow{ seconds(100) };
  std::uint64_t mIncarnations = 0;
  std::uint64_t mNewest = 0;
  int mCutOff = -1;
  std::uint32_t mLost = 0;
  bool mWentBack = false;
};

TEST(FleetOrders, AfterAnyDisturbanceAllAgreeOnMembersDutiesAndShares)
{
  for (int seed = 0; seed < kSeeds; ++seed) {
    fleet_world fleet(seed);
    fleet.Disturb();
    fleet.Calm();
    ASSERT_FALSE(fleet.WentBack()) << "seed " << seed;
    std::uint64_t newest = 0;
    for (std::size_t place = 0; place < fleet.Size(); ++place) {
      newest = std::max(newest, fleet.View(place).Self().mConfigVersion);
    }
    int first = 0;
    double budget = 0;
    std::map<std::string, std::size_t> connections;
    constexpr int kLimit = 26;
    const std::vector<replica_limits> replicas{ { "a", kLimit, 2, false },
                                                { "b", kLimit, 6, false } };
    for (std::size_t place = 0; place < fleet.Size(); ++place) {
      fleet_membership& view = fleet.View(place);
      const fleet_size size = view.FleetSize(fleet.Now());
      ASSERT_EQ(size.mTotal, fleet.Size()) << "seed " << seed;
      first += view.DutyRank("duty", false, fleet.Now()) == 0 ? 1 : 0;
      budget += 1.0 / static_cast<double>(size.mTotal);
      const auto shares =
        AllocateConnections(view.Self().mName, replicas, size);
      for (std::size_t leaf = 0; leaf < replicas.size(); ++leaf) {
        connections[replicas[leaf].mLeafId] += shares[leaf].mMaxConnections;
      }
      // Whoever still knows the newest version has spread it.
      EXPECT_EQ(view.Self().mConfigVersion, newest) << "seed " << seed;
    }
    EXPECT_EQ(first, 1) << "seed " << seed;
    EXPECT_LE(budget, 1.0001) << "seed " << seed;
    for (const auto& [leaf, count] : connections) {
      EXPECT_LE(count, static_cast<std::size_t>(kLimit)) << "seed " << seed;
    }
  }
}

/** Registrations as the store has held them at each revision. */
class store_model
{
public:
  void Change(std::mt19937& aRandom)
  {
    const std::string id(1, static_cast<char>('a' + aRandom() % 4));
    ++mRevision;
    auto& known = mNow[id];
    if (known && aRandom() % 3 == 0) {
      known.reset();
    } else {
      leaf_registration entry;
      entry.mId = id;
      entry.mService = "s";
      entry.mDraining = known && !known->mDraining;
      entry.mRevision = mRevision;
      known = entry;
    }
    mLast[id] = mRevision;
    mHistory[mRevision] = mNow;
  }
  directory_snapshot Read(std::uint64_t aRevision) const
  {
    directory_snapshot read;
    read.mRevision = aRevision;
    const auto found = mHistory.find(aRevision);
    if (found != mHistory.end()) {
      for (const auto& [id, entry] : found->second) {
        if (entry) {
          read.mLeaves.push_back(*entry);
        }
      }
    }
    return read;
  }
  /** What a watch brings that goes on after a revision. */
  directory_delta Since(std::uint64_t aRevision) const
  {
    directory_delta delta;
    delta.mBaseRevision = aRevision;
    delta.mRevision = mRevision;
    for (const auto& [id, entry] : mNow) {
      const auto last = mLast.find(id);
      if (last == mLast.end() || last->second <= aRevision) {
        continue;
      }
      if (entry) {
        delta.mChangedLeaves.push_back(*entry);
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
      std::count_if(mNow.begin(), mNow.end(), [](const auto& aEntry) {
        return aEntry.second.has_value();
      }));
  }

private:
  using state = std::map<std::string, std::optional<leaf_registration>>;

  std::uint64_t mRevision = 10;
  state mNow;
  std::map<std::string, std::uint64_t> mLast;
  std::map<std::uint64_t, state> mHistory;
};

/** What one instance shows of each leaf must never become older. */
class shown_leaves
{
public:
  void Take(const leaf_directory::changes& aChanges, int aSeed)
  {
    for (const leaf_registration& entry : aChanges.mChangedLeaves) {
      EXPECT_GE(entry.mRevision, mShown[entry.mId]) << "seed " << aSeed;
      mShown[entry.mId] = entry.mRevision;
    }
  }

private:
  std::map<std::string, std::uint64_t> mShown;
};

TEST(FleetOrders, DrainMarksNeverGoBackWhateverReadsWatchesAndNewsCross)
{
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937 random(seed);
    store_model store;
    std::vector<leaf_directory> directories(3);
    std::vector<shown_leaves> shown(3);
    std::vector<directory_delta> news;
    model::instant now{ seconds(100) };
    for (int step = 0; step < 120; ++step) {
      now += milliseconds(random() % 300);
      const std::size_t place = random() % directories.size();
      leaf_directory& here = directories[place];
      std::optional<directory_delta> told;
      switch (random() % 5) {
        case 0:
          store.Change(random);
          break;
        case 1:
          // It may be old.
          told =
            here.OnSnapshot(store.Read(store.Revision() - random() % 4), now);
          break;
        case 2:
          if (here.LastCompleteTime()) {
            told = here.OnWatch(store.Since(here.Revision()), now);
          }
          break;
        case 3:
          if (!news.empty()) {
            here.OnDelta(news[random() % news.size()], now);
          }
          break;
        default:
          told = here.RemoveMissing(now);
          break;
      }
      if (told) {
        news.push_back(*told);
      }
      shown[place].Take(here.TakeChanges(), seed);
    }
    for (leaf_directory& each : directories) {
      // Longer than registrations may take to return to the store.
      for (int read = 0; read < 5; ++read) {
        each.OnSnapshot(store.Read(store.Revision()), now + seconds(read));
      }
      EXPECT_EQ(each.Size(), store.Size()) << "seed " << seed;
    }
  }
}

} // namespace
} // namespace monsooncroft::serving
