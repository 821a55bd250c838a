/**
 * @file store_fleet.h
 * Control planes of a fleet over loopback, with a store of the test's own.
 */
#ifndef MONSOONCROFT_TEST_ADAPTER_STORE_FLEET_H
#define MONSOONCROFT_TEST_ADAPTER_STORE_FLEET_H

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

namespace monsooncroft::adapter {

/** Entry instances without callers. The last one never reaches the store. */
class store_fleet : public testing::Test
{
protected:
  static constexpr std::size_t kInstances = 6;
  static constexpr std::uint16_t kFirstPort = 29'500;
  static constexpr int kLeaves = 20;

  store_fleet()
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
      timer.Start(std::chrono::milliseconds(50));
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

} // namespace monsooncroft::adapter

#endif
