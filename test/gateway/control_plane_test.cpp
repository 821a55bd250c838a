/**
 * @file control_plane_test.cpp
 * Control planes of a fleet over loopback, with stores set by the test.
 */
#include "fake_store.h"
#include "gateway/control_plane_base.h"
#include "gateway/event_loop_base.h"
#include "gateway/loop_timer_base.h"
#include "ops/bounded_sink_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fcntl.h>
#include <map>
#include <set>

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 24;
constexpr std::uint16_t kFirstPort = 29'300;
/** A draining leaf must get no more work after this time. */
constexpr seconds kDrainBound{ 3 };

/** Entry instances without callers and leaves: registrations only. */
class control_plane_test : public testing::Test
{
protected:
  control_plane_test()
    : mSink(std::make_shared<ops::bounded_sink>(::open("/dev/null", O_WRONLY),
                                                1U << 20U))
    , mLog("test", ops::log_level::Info, mSink)
    , mStores(kInstances)
    , mLeaves(kInstances)
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      mStores[index].mContent.mVersion = 1;
      mPlanes.push_back(MakePlane(index));
    }
  }

  std::unique_ptr<control_plane> MakePlane(std::size_t aIndex)
  {
    const auto peer = [](std::size_t aPeer) {
      return model::endpoint{ "127.0.0.1",
                              static_cast<std::uint16_t>(kFirstPort + aPeer) };
    };
    serving::fleet_member self;
    self.mName = "i" + std::to_string(aIndex);
    self.mDataCentre = "dc" + std::to_string(aIndex % 3);
    self.mPeerEndpoint = peer(aIndex);
    self.mIncarnation = 1;
    control_plane::hooks hooks;
    hooks.mOnConfig = [](const serving::routing_config_ptr&) {};
    hooks.mOnLeaves =
      [this, aIndex](const serving::leaf_directory::changes& aChanges) {
        for (const auto& leaf : aChanges.mChangedLeaves) {
          mLeaves[aIndex].insert_or_assign(leaf.mId, leaf);
        }
        for (const std::string& id : aChanges.mRemovedIds) {
          mLeaves[aIndex].erase(id);
        }
      };
    hooks.mSuspectedLeaves = [] {
      return std::vector<serving::leaf_suspicion>{};
    };
    hooks.mCrashMarks = [this, aIndex] {
      return aIndex == 0 ? mCrashMarks : std::vector<once::crash_mark>{};
    };
    hooks.mOnCrashMark = [this](const once::crash_mark& aMark) {
      mReceivedMarks.insert(once::CrashMarkName(aMark));
    };
    hooks.mLeafLimits = [] {
      return std::vector<serving::leaf_limit_report>{};
    };
    hooks.mLeafDepartures = [] {
      return std::vector<serving::leaf_departure>{};
    };
    return std::make_unique<control_plane>(
      mLoop,
      mStores[aIndex],
      serving::fleet_membership(self, { peer(0), peer(1) }, {}, aIndex),
      control_settings{},
      std::move(hooks),
      mLog,
      mMetrics);
  }

  /** Runs all instances until the condition holds or the time is over. */
  template<class F>
  void RunUntil(F aCondition, model::duration aAtMost)
  {
    const model::instant end = event_loop::Now() + aAtMost;
    for (int tick = 0; event_loop::Now() < end && !aCondition(); ++tick) {
      loop_timer timer(mLoop, [this] { mLoop.Stop(); });
      timer.Start(milliseconds(50));
      mLoop.Run();
      for (const auto& plane : mPlanes) {
        if (plane == nullptr) {
          continue; // Lost.
        }
        plane->OnTick(event_loop::Now());
        if (tick % 5 == 0) {
          plane->OnGossipRound(event_loop::Now());
        }
      }
    }
  }

  /** Registers leaves in the store of all instances. */
  void Register(std::size_t aCount)
  {
    for (fake_store& store : mStores) {
      ++store.mRevision;
      for (std::size_t leaf = 0; leaf < aCount; ++leaf) {
        store.Register("leaf-" + std::to_string(leaf),
                       "service-" + std::to_string(leaf),
                       { "10.0.0.1", 80 });
      }
    }
  }
  void Drain()
  {
    for (fake_store& store : mStores) {
      ++store.mRevision;
      for (serving::leaf_registration& leaf : store.mLeaves) {
        leaf.mDraining = true;
        leaf.mRevision = store.mRevision;
      }
    }
  }
  bool AllKnow(std::size_t aCount, bool aDraining) const
  {
    return std::all_of(
      mLeaves.begin(), mLeaves.end(), [&](const auto& aLeaves) {
        return aLeaves.size() == aCount &&
               std::all_of(
                 aLeaves.begin(), aLeaves.end(), [&](const auto& aEntry) {
                   return aEntry.second.mDraining == aDraining;
                 });
      });
  }
  /** Watches get no response from now on, and reads that may be stale show the
   * store as it is now. */
  void KeepReadsOld()
  {
    for (fake_store& store : mStores) {
      store.mOldDirectory = { store.mRevision, store.mLeaves };
    }
  }
  /** Answers the watches of the registrations that are pending with a change of
   * a leaf that nobody uses. */
  void ChangeThroughWatches()
  {
    for (fake_store& store : mStores) {
      ++store.mRevision;
      store.mLeaves.back().mColdRemainingMs = static_cast<int>(store.mRevision);
      store.mLeaves.back().mRevision = store.mRevision;
      if (const auto watch = std::exchange(store.mDirectoryWatch, nullptr)) {
        serving::directory_delta delta;
        delta.mBaseRevision = store.mRevision - 1;
        delta.mRevision = store.mRevision;
        delta.mChangedLeaves = { store.mLeaves.back() };
        watch(delta);
      }
    }
  }
  bool AllHaveConfig(std::uint64_t aVersion) const
  {
    return std::all_of(mPlanes.begin(), mPlanes.end(), [&](const auto& aPlane) {
      return aPlane->Config() && aPlane->Config()->Version() == aVersion;
    });
  }
  int FreshReads() const
  {
    int reads = 0;
    for (const fake_store& store : mStores) {
      reads += store.mFreshReads;
    }
    return reads;
  }
  /** Reads of the registrations by all instances. */
  int DirectoryReads() const
  {
    int reads = 0;
    for (const fake_store& store : mStores) {
      reads += store.mDirectoryReads;
    }
    return reads;
  }

  int ConfigReads() const
  {
    int reads = 0;
    for (const fake_store& store : mStores) {
      reads += store.mConfigReads;
    }
    return reads;
  }

  event_loop mLoop;
  std::shared_ptr<ops::bounded_sink> mSink;
  ops::log mLog;
  ops::metrics mMetrics;
  std::vector<once::crash_mark> mCrashMarks; ///< Of the first instance.
  std::set<std::string> mReceivedMarks;      ///< Names, of all instances.
  std::vector<fake_store> mStores; ///< By instance, all of the same content.
  /** Known registrations by instance and id. */
  std::vector<std::map<std::string, serving::leaf_registration>> mLeaves;
  std::vector<std::unique_ptr<control_plane>> mPlanes;
};

/** Guards against crash marks, and clearings of them, that instances which
 * missed the first message never learn of: a gossip message holds three, and
 * these were always the same. */
TEST_F(control_plane_test, AllCrashMarksReachPeersInTurn)
{
  for (std::uint64_t number = 0; number < 8; ++number) {
    once::crash_mark mark;
    mark.mSuspicion.mCrash = { number, 1 };
    mark.mExpires = model::wall_instant(std::chrono::hours(1'000'000));
    mCrashMarks.push_back(mark);
  }
  RunUntil([&] { return mReceivedMarks.size() == mCrashMarks.size(); },
           seconds(4));
  EXPECT_EQ(mReceivedMarks.size(), mCrashMarks.size());
}

/** A change of very many registrations fits no datagram; if nobody pulled it,
 * requests would reach leaves that have drained. */
TEST_F(control_plane_test, AChangeTooLargeForADatagramReachesAllInstances)
{
  constexpr std::size_t kLeaves = 1'200;
  Register(kLeaves);
  RunUntil([&] { return AllKnow(kLeaves, false); }, seconds(10));
  ASSERT_TRUE(AllKnow(kLeaves, false));
  RunUntil([] { return false; }, seconds(2));
  const int readsBefore = DirectoryReads();
  const int configReadsBefore = ConfigReads();
  const model::instant drainedAt = event_loop::Now();
  Drain();
  RunUntil([&] { return AllKnow(kLeaves, true); }, 2 * kDrainBound);
  EXPECT_TRUE(AllKnow(kLeaves, true));
  EXPECT_LT(event_loop::Now() - drainedAt, kDrainBound);
  // The reader of the moment reads once in 0.9 s; nobody else has to.
  EXPECT_LE(DirectoryReads() - readsBefore + ConfigReads() - configReadsBefore,
            2 * kDrainBound.count());
}

/** A store that went back without telling it answers with lower revisions, also
 * to fresh reads. All instances read it again and again without a pause. */
TEST_F(control_plane_test, OldAnswersDoNotCauseAStormOfReads)
{
  Register(1);
  RunUntil([&] { return AllKnow(1, false); }, seconds(10));
  ASSERT_TRUE(AllKnow(1, false));
  RunUntil([] { return false; }, seconds(1));
  for (fake_store& store : mStores) {
    store.mRevision = 1;
  }
  const int readsBefore = DirectoryReads();
  RunUntil([] { return false; }, seconds(6));
  // A cheap and a fresh read a second by each instance, when all take over.
  EXPECT_LE(DirectoryReads() - readsBefore,
            6 * 2 * static_cast<int>(kInstances));
}

/** After an outage every instance read all registrations, although the first
 * one to do so had told the others that it has them. */
TEST_F(control_plane_test, AfterAnOutageInstancesPullWhatAPeerHasRead)
{
  Register(2);
  RunUntil([&] { return AllKnow(2, false); }, seconds(10));
  ASSERT_TRUE(AllKnow(2, false));
  RunUntil([] { return false; }, seconds(2));
  for (fake_store& store : mStores) {
    store.mDown = true;
  }
  RunUntil([] { return false; }, milliseconds(2'200));
  Drain();
  for (fake_store& store : mStores) {
    store.mDown = false;
  }
  const int readsBefore = DirectoryReads();
  RunUntil([&] { return AllKnow(2, true); }, kDrainBound);
  EXPECT_TRUE(AllKnow(2, true));
  EXPECT_LE(DirectoryReads() - readsBefore, static_cast<int>(kInstances) / 2);
}

/** Guards against requests to a leaf that has left (DRAIN): the instances that
 * read the registrations lost power as it left, and the others took the time
 * until they noticed for an outage of the store, after which they kept it. The
 * next one to read cannot reach the store, and need not drop it. */
TEST_F(control_plane_test, ALeafThatLeavesAsTheReadersAreLostIsDropped)
{
  constexpr std::size_t kLost = 13; // A share of 0.55.
  Register(2);
  RunUntil([&] { return AllKnow(2, false); }, seconds(10));
  ASSERT_TRUE(AllKnow(2, false));
  RunUntil([] { return false; }, seconds(3));
  const model::instant now = event_loop::Now();
  std::vector<std::size_t> ranks;
  for (const auto& plane : mPlanes) {
    ranks.push_back(plane->Fleet().DutyRank("directory", false, now));
  }
  for (std::size_t index = 0; index < kInstances; ++index) {
    fake_store& store = mStores[index];
    ++store.mRevision;
    store.mLeaves.pop_back();
    store.mDown = ranks[index] == kLost;
    if (ranks[index] < kLost) {
      mPlanes[index].reset();
    }
  }
  const auto isDropped = [&] {
    for (std::size_t index = 0; index < kInstances; ++index) {
      if (mPlanes[index] != nullptr && !mStores[index].mDown &&
          mLeaves[index].size() != 1) {
        return false;
      }
    }
    return true;
  };
  RunUntil(isDropped, kDrainBound);
  EXPECT_TRUE(isDropped());
}

/** Guards against callers that are refused after an outage of the store, in
 * which registrations lapse: live leaves write theirs again within 2 s. */
TEST_F(control_plane_test, LapsedRegistrationsAreKeptAfterAnOutage)
{
  constexpr std::size_t kLeaves = 3;
  Register(kLeaves);
  RunUntil([&] { return AllKnow(kLeaves, false); }, seconds(10));
  ASSERT_TRUE(AllKnow(kLeaves, false));
  RunUntil([] { return false; }, seconds(2));
  for (fake_store& store : mStores) {
    store.mDown = true;
  }
  RunUntil([] { return false; }, milliseconds(3'600));
  std::vector<std::vector<serving::leaf_registration>> leaves;
  for (fake_store& store : mStores) {
    leaves.push_back(std::exchange(store.mLeaves, {}));
    ++store.mRevision;
    store.mDown = false;
  }
  const auto anyLost = [&] { return !AllKnow(kLeaves, false); };
  // Without a watch, the next read brings them.
  RunUntil(anyLost, milliseconds(1'200));
  EXPECT_FALSE(anyLost());
  for (std::size_t index = 0; index < kInstances; ++index) {
    mStores[index].mLeaves = leaves[index];
    ++mStores[index].mRevision;
  }
  RunUntil(anyLost, seconds(3));
  EXPECT_FALSE(anyLost());
}

/** Guards against leaves that get requests after they have drained (DRAIN): the
 * connection of the watch is silent, and reads that may be stale are older than
 * the drain, so that all that the instances hear confirms what they know. */
TEST_F(control_plane_test, ADrainIsNoticedBesideASilentWatchAndOldReads)
{
  Register(2);
  RunUntil([&] { return AllKnow(2, false); }, seconds(10));
  ASSERT_TRUE(AllKnow(2, false));
  KeepReadsOld();
  RunUntil([] { return false; }, seconds(4));
  const model::instant drainedAt = event_loop::Now();
  Drain();
  RunUntil([&] { return AllKnow(2, true); }, kDrainBound);
  EXPECT_TRUE(AllKnow(2, true));
  EXPECT_LT(event_loop::Now() - drainedAt, kDrainBound);
  // The silent watch ends, and another one begins.
  RunUntil([] { return false; }, seconds(2));
  int ended = 0;
  for (const fake_store& store : mStores) {
    ended += store.mDirectoryWatchesEnded;
  }
  EXPECT_EQ(ended, 1);
}

/** Guards against a configuration that comes into force 20 s late (CONFIG): its
 * watches got no response, and the fallback, a read with each periodic read of
 * the registrations, did not take place while these changed all the time. */
TEST_F(control_plane_test, AConfigurationIsNoticedWhileRegistrationsChange)
{
  constexpr milliseconds kChangePeriod{ 400 };
  Register(2);
  RunUntil([&] { return AllKnow(2, false) && AllHaveConfig(1); }, seconds(10));
  ASSERT_TRUE(AllHaveConfig(1));
  model::instant nextChange = event_loop::Now();
  const auto change = [&] {
    if (event_loop::Now() >= nextChange) {
      nextChange += kChangePeriod;
      ChangeThroughWatches();
    }
    return false;
  };
  RunUntil(change, seconds(4));
  for (fake_store& store : mStores) {
    store.mConfigRevision = ++store.mRevision;
    store.mContent.mVersion = 2;
  }
  const model::instant changedAt = event_loop::Now();
  RunUntil([&] { return change() || AllHaveConfig(2); }, seconds(3));
  EXPECT_TRUE(AllHaveConfig(2));
  EXPECT_LT(event_loop::Now() - changedAt, seconds(3));
  // The watches that have not brought it end, and one a data centre begins.
  RunUntil(change, seconds(3));
  int ended = 0;
  int pending = 0;
  for (const fake_store& store : mStores) {
    ended += store.mConfigWatchesEnded;
    pending += store.mConfigWatch ? 1 : 0;
  }
  EXPECT_GE(ended, 3);
  EXPECT_EQ(pending, 3);
}

/** Fresh reads are ten times as expensive as others: one instance makes them
 * for all. */
TEST_F(control_plane_test, FewReadsAreFresh)
{
  Register(2);
  RunUntil([&] { return AllKnow(2, false); }, seconds(10));
  ASSERT_TRUE(AllKnow(2, false));
  RunUntil([] { return false; }, seconds(2));
  const int readsBefore = FreshReads();
  RunUntil([] { return false; }, seconds(6));
  EXPECT_LE(FreshReads() - readsBefore, 4);
}

} // namespace
} // namespace monsooncroft::gateway
