/**
 * @file restored_store_test.cpp
 * Control planes of a fleet over loopback, with a store that comes back from an
 * older copy.
 */
#include "gateway/control_plane_base.h"
#include "gateway/event_loop_base.h"
#include "gateway/loop_timer_base.h"
#include "ops/bounded_sink_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "standin_store.h"
#include "store_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fcntl.h>
#include <set>

namespace monsooncroft::adapter {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 6;
constexpr std::uint16_t kFirstPort = 29'500;
/** A confirmed configuration must be in force after this time. */
constexpr seconds kConfigBound{ 3 };
constexpr int kLeaves = 20;
/** Time after a restore in which leaves may be missing in the store. */
constexpr milliseconds kReregistrationPeriod{ 2'300 };

/** Entry instances without callers. The last one never reaches the store. */
class restored_store : public testing::TestWithParam<bool>
{
protected:
  restored_store()
    : mSink(std::make_shared<ops::bounded_sink>(::open("/dev/null", O_WRONLY),
                                                1U << 20U))
    , mLog("test", ops::log_level::Info, mSink)
    , mStore(mLoop, mLog)
    , mVersions(kInstances)
    , mLeaves(kInstances)
  {
    PutConfig(1);
    for (int leaf = 0; leaf < kLeaves; ++leaf) {
      PutLeaf(leaf);
    }
    for (std::size_t index = 0; index < kInstances; ++index) {
      AddInstance(index);
    }
  }

  void PutConfig(int aVersion)
  {
    mStore.Put("op/config",
               R"({"version":)" + std::to_string(aVersion) +
                 R"(,"routes":[],"services":[]})");
  }
  void PutLeaf(int aIndex, const std::string& aState = "ready")
  {
    mStore.Put("servers/i-" + std::to_string(aIndex),
               R"({"service":"s","address":"10.1.0.1:80","zone":"dc0",)"
               R"("slots":2,"born":1700000000000,"state":")" +
                 aState + R"("})");
  }

  void AddInstance(std::size_t aIndex)
  {
    const auto peer = [](std::size_t aPeer) {
      return model::endpoint{ "127.0.0.1",
                              static_cast<std::uint16_t>(kFirstPort + aPeer) };
    };
    const bool cutOff = aIndex + 1 == kInstances;
    mClients.push_back(std::make_unique<store_client>(
      mLoop,
      cutOff ? model::endpoint{ "127.0.0.1", 1 } : mStore.Address(),
      mLog));
    serving::fleet_member self;
    self.mName = "i" + std::to_string(aIndex);
    self.mDataCentre = "dc" + std::to_string(aIndex % 3);
    self.mPeerEndpoint = peer(aIndex);
    self.mIncarnation = 1;
    mPlanes.push_back(std::make_unique<gateway::control_plane>(
      mLoop,
      *mClients.back(),
      serving::fleet_membership(self, { peer(0), peer(1) }, {}, aIndex),
      gateway::control_settings{},
      MakeHooks(aIndex),
      mLog,
      mMetrics));
  }

  gateway::control_plane::hooks MakeHooks(std::size_t aIndex)
  {
    gateway::control_plane::hooks hooks;
    hooks.mOnConfig = [this,
                       aIndex](const serving::routing_config_ptr& aConfig) {
      mVersions[aIndex].push_back(static_cast<int>(aConfig->Version()));
    };
    hooks.mOnLeaves =
      [this, aIndex](const serving::leaf_directory::changes& aChanges) {
        for (const auto& leaf : aChanges.mChangedLeaves) {
          mLeaves[aIndex].insert_or_assign(leaf.mId, leaf.mDraining);
        }
        for (const std::string& id : aChanges.mRemovedIds) {
          mLeaves[aIndex].erase(id);
        }
      };
    hooks.mSuspectedLeaves = [] {
      return std::vector<serving::leaf_suspicion>{};
    };
    hooks.mCrashMarks = [] { return std::vector<once::crash_mark>{}; };
    hooks.mLeafLimits = [] {
      return std::vector<serving::leaf_limit_report>{};
    };
    hooks.mLeafDepartures = [] {
      return std::vector<serving::leaf_departure>{};
    };
    return hooks;
  }

  /** Runs all instances until the condition holds or the time is over. */
  template<class F>
  bool RunUntil(F aCondition, model::duration aAtMost)
  {
    const model::instant end = gateway::event_loop::Now() + aAtMost;
    for (int tick = 0; gateway::event_loop::Now() < end && !aCondition();
         ++tick) {
      gateway::loop_timer timer(mLoop, [this] { mLoop.Stop(); });
      timer.Start(milliseconds(50));
      mLoop.Run();
      for (const auto& plane : mPlanes) {
        plane->OnTick(gateway::event_loop::Now());
        if (tick % 5 == 0) {
          plane->OnGossipRound(gateway::event_loop::Now());
        }
      }
    }
    return aCondition();
  }
  void Run(model::duration aTime)
  {
    RunUntil([] { return false; }, aTime);
  }
  bool AllHaveVersion(int aVersion) const
  {
    return std::all_of(
      mVersions.begin(), mVersions.end(), [&](const auto& aSeen) {
        return !aSeen.empty() && aSeen.back() == aVersion;
      });
  }
  /** @return Whether all instances know these leaves, with their drains. */
  bool AllKnow(const std::map<std::string, bool>& aLeaves) const
  {
    return std::all_of(mLeaves.begin(), mLeaves.end(), [&](const auto& aKnown) {
      return aKnown == aLeaves;
    });
  }
  static std::map<std::string, bool> ReadyLeaves(int aFrom, int aTo)
  {
    std::map<std::string, bool> leaves;
    for (int leaf = aFrom; leaf < aTo; ++leaf) {
      leaves["i-" + std::to_string(leaf)] = false;
    }
    return leaves;
  }

  gateway::event_loop mLoop;
  std::shared_ptr<ops::bounded_sink> mSink;
  ops::log mLog;
  ops::metrics mMetrics;
  standin_store mStore;
  std::vector<std::vector<int>> mVersions; ///< In force, by instance.
  /** Known leaves by instance and id, with whether they drain. */
  std::vector<std::map<std::string, bool>> mLeaves;
  std::vector<std::unique_ptr<store_client>> mClients;
  std::vector<std::unique_ptr<gateway::control_plane>> mPlanes;
};

/** A configuration that was confirmed after the restore was never in force: it
 * had a revision that the watch had passed before. */
TEST_P(restored_store, ConfigurationsWrittenAfterARestoreComeIntoForce)
{
  const auto old = mStore.Save();
  PutConfig(2);
  for (int leaf = 0; leaf < kLeaves; ++leaf) {
    PutLeaf(leaf);
  }
  ASSERT_TRUE(RunUntil([&] { return AllHaveVersion(2); }, seconds(10)));
  Run(seconds(1));
  for (int version = 3; version < 6; version += 2) {
    const std::uint64_t knownRevision = mStore.Revision();
    mStore.Restore(old, GetParam());
    PutConfig(version);
    // Now the revisions pass those that the instances know.
    while (mStore.Revision() <= knownRevision + 1) {
      PutLeaf(0);
    }
    EXPECT_TRUE(RunUntil([&] { return AllHaveVersion(version); }, kConfigBound))
      << version;
    PutConfig(version + 1);
    EXPECT_TRUE(
      RunUntil([&] { return AllHaveVersion(version + 1); }, kConfigBound))
      << version + 1;
  }
}

/** The copy has the configuration before the confirmed one; no instance may go
 * back to it. */
TEST_P(restored_store, ConfirmedConfigurationsStayInForce)
{
  ASSERT_TRUE(RunUntil([&] { return AllHaveVersion(1); }, seconds(10)));
  const auto old = mStore.Save();
  PutConfig(2);
  ASSERT_TRUE(RunUntil([&] { return AllHaveVersion(2); }, seconds(10)));
  mStore.Restore(old, GetParam());
  Run(seconds(2));
  PutConfig(2);
  Run(seconds(1));
  for (const auto& versions : mVersions) {
    EXPECT_TRUE(std::is_sorted(versions.begin(), versions.end()));
    EXPECT_EQ(versions.back(), 2);
  }
}

/** Leaves that registered, drained and left after the copy was made: the first
 * are missing in it, the others look ready. */
TEST_P(restored_store, LeavesAreKnownAsTheyAre)
{
  ASSERT_TRUE(
    RunUntil([&] { return AllKnow(ReadyLeaves(0, kLeaves)); }, seconds(10)));
  const auto old = mStore.Save();
  PutLeaf(0, "draining");
  mStore.Remove("servers/i-1");
  PutLeaf(kLeaves);
  PutLeaf(kLeaves + 1);
  auto leaves = ReadyLeaves(2, kLeaves + 2);
  leaves["i-0"] = true;
  ASSERT_TRUE(RunUntil([&] { return AllKnow(leaves); }, seconds(10)));
  mStore.Restore(old, GetParam());
  Run(seconds(1));
  EXPECT_TRUE(AllKnow(leaves));
  // One of the new leaves registers again, the other one has crashed.
  PutLeaf(kLeaves);
  PutLeaf(0, "draining");
  mStore.Remove("servers/i-1");
  PutLeaf(kLeaves + 2);
  leaves["i-" + std::to_string(kLeaves + 2)] = false;
  EXPECT_TRUE(RunUntil([&] { return AllKnow(leaves); }, seconds(1)));
  leaves.erase("i-" + std::to_string(kLeaves + 1));
  EXPECT_TRUE(RunUntil([&] { return AllKnow(leaves); }, kReregistrationPeriod));
}

/** Every instance read all registrations without a pause, until the store's
 * revisions had passed those from before the restore. */
TEST_P(restored_store, CallsToTheStoreAreAtMostDoubled)
{
  constexpr seconds kPeriod{ 10 };
  ASSERT_TRUE(
    RunUntil([&] { return AllKnow(ReadyLeaves(0, kLeaves)); }, seconds(10)));
  const auto old = mStore.Save();
  for (int leaf = 0; leaf < kLeaves; ++leaf) {
    PutLeaf(leaf, leaf == 0 ? "draining" : "ready");
  }
  Run(seconds(2));
  const int callsAtStart = mStore.Calls();
  Run(kPeriod);
  const int callsBefore = mStore.Calls() - callsAtStart;
  mStore.Restore(old, GetParam());
  Run(kPeriod);
  EXPECT_LE(mStore.Calls() - callsAtStart - callsBefore, 2 * callsBefore);
}

class silent_watches : public restored_store
{};

/** The instances that watch the configuration were cut off, and nobody noticed:
 * a version was not in force until their watches ended, 17 s later. */
TEST_F(silent_watches, ConfigurationsAreFoundWhileAllWatchesAreSilent)
{
  ASSERT_TRUE(RunUntil([&] { return AllHaveVersion(1); }, seconds(10)));
  Run(seconds(1));
  mStore.SilenceWatches();
  PutConfig(2);
  EXPECT_TRUE(RunUntil([&] { return AllHaveVersion(2); }, kConfigBound));
}

INSTANTIATE_TEST_SUITE_P(Watches,
                         restored_store,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "End" : "AreNeverAnswered";
                         });

} // namespace
} // namespace monsooncroft::adapter
