/**
 * @file workspace_spread_test.cpp
 * Keys that are added, moved and withdrawn, at control planes over loopback.
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
#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace monsooncroft::adapter {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 3;
constexpr std::uint16_t kFirstPort = 29'560;
/** A configuration must be in force after this time. */
constexpr seconds kConfigBound{ 5 };

/** Entry instances without callers. The last one never reaches the store. */
class workspace_spread : public testing::Test
{
protected:
  workspace_spread()
    : mLog("test", ops::log_level::Info, MakeSink())
    , mStore(mLoop, mLog)
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      AddInstance(index);
    }
  }
  ~workspace_spread() override { ::close(mLogEnd); }

  std::shared_ptr<ops::bounded_sink> MakeSink()
  {
    std::array<int, 2> ends{};
    EXPECT_EQ(::pipe2(ends.data(), O_NONBLOCK), 0);
    mLogEnd = ends[0];
    mSink = std::make_shared<ops::bounded_sink>(ends[1], 1U << 20U);
    return mSink;
  }

  void AddInstance(std::size_t aIndex)
  {
    const auto peer = [](std::size_t aPeer) {
      return model::endpoint{ "127.0.0.1",
                              static_cast<std::uint16_t>(kFirstPort + aPeer) };
    };
    mClients.push_back(std::make_unique<store_client>(
      mLoop,
      aIndex + 1 == kInstances ? model::endpoint{ "127.0.0.1", 1 }
                               : mStore.Address(),
      mLog));
    serving::fleet_member self;
    self.mName = "i" + std::to_string(aIndex);
    self.mDataCentre = "dc" + std::to_string(aIndex);
    self.mPeerEndpoint = peer(aIndex);
    self.mIncarnation = 1;
    gateway::control_plane::hooks hooks;
    hooks.mOnConfig = [](const serving::routing_config_ptr&) {};
    hooks.mOnLeaves = [](const serving::leaf_directory::changes&) {};
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
    mPlanes.push_back(std::make_unique<gateway::control_plane>(
      mLoop,
      *mClients.back(),
      serving::fleet_membership(self, { peer(0), peer(1) }, {}, aIndex),
      gateway::control_settings{},
      std::move(hooks),
      mLog,
      mMetrics));
  }

  void PutConfig(int aVersion, const std::string& aTenants)
  {
    mStore.Put("op/config",
               R"({"version":)" + std::to_string(aVersion) +
                 R"(,"routes":[],"services":[],"tenants":[)" + aTenants +
                 R"(,{"name":"bad","api_keys":["secret-0",7]}]})");
  }

  /** Whether all instances find these workspaces for the keys; an empty name
   * stands for none. */
  bool AllFind(
    const std::vector<std::pair<std::string, std::string>>& aKeys) const
  {
    return std::all_of(mPlanes.begin(), mPlanes.end(), [&](const auto& aPlane) {
      const auto& config = aPlane->Config();
      return config &&
             std::all_of(aKeys.begin(), aKeys.end(), [&](const auto& aKey) {
               const auto* found = config->FindWorkspace(aKey.first);
               return (found == nullptr ? "" : found->mName) == aKey.second;
             });
    });
  }

  template<class F>
  bool RunUntil(F aCondition)
  {
    const model::instant end = gateway::event_loop::Now() + kConfigBound;
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

  std::string ReadLog()
  {
    mSink->Drain();
    std::string text(1U << 20U, '\0');
    const auto count = ::read(mLogEnd, text.data(), text.size());
    text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, count)));
    return text;
  }

  int mLogEnd = -1;
  gateway::event_loop mLoop;
  std::shared_ptr<ops::bounded_sink> mSink;
  ops::log mLog;
  ops::metrics mMetrics;
  standin_store mStore;
  std::vector<std::unique_ptr<store_client>> mClients;
  std::vector<std::unique_ptr<gateway::control_plane>> mPlanes;
};

/** Guards against instances that go on with withdrawn keys, or do not know new
 * ones, among them one that gets its configuration from peers only; and against
 * a log that repeats a malformed entry, or shows a key. */
TEST_F(workspace_spread, KeysAreAddedMovedAndWithdrawnAtAllInstances)
{
  PutConfig(1,
            R"({"name":"a","api_keys":["secret-1","secret-2"]},
               {"name":"b","api_keys":["secret-3"]})");
  EXPECT_TRUE(RunUntil([&] {
    return AllFind({ { "secret-0", "" },
                     { "secret-1", "a" },
                     { "secret-2", "a" },
                     { "secret-3", "b" },
                     { "secret-4", "" } });
  }));
  PutConfig(2,
            R"({"name":"a","api_keys":["secret-4"]},
               {"name":"b","api_keys":["secret-2"]})");
  EXPECT_TRUE(RunUntil([&] {
    return AllFind({ { "secret-0", "" },
                     { "secret-1", "" },
                     { "secret-2", "b" },
                     { "secret-3", "" },
                     { "secret-4", "a" } });
  }));
  RunUntil([] { return false; });
  const std::string log = ReadLog();
  std::size_t lines = 0;
  for (auto at = log.find("config_entry_malformed"); at != std::string::npos;
       at = log.find("config_entry_malformed", at + 1)) {
    ++lines;
  }
  EXPECT_EQ(lines, 2 * kInstances) << log;
  EXPECT_EQ(log.find("secret"), std::string::npos) << log;
}

} // namespace
} // namespace monsooncroft::adapter
