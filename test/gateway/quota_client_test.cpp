/**
 * @file quota_client_test.cpp
 * Quotas of workspaces on the event loop, alone and between instances over
 * loopback.
 */
#include "fake_store.h"
#include "gateway/control_plane_base.h"
#include "gateway/event_loop_base.h"
#include "gateway/quota_client_base.h"
#include "ops/bounded_sink_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fcntl.h>

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const serving::quota_settings kSettings{ milliseconds(5'000), 0.1, 20 };

/** Issuer and deputy are other instances; the test replies for them. */
class recording_peers : public serving::quota_peers
{
public:
  serving::quota_keepers Keepers(serving::quota_group /*aGroup*/) const override
  {
    return { { mIssuer, false },
             serving::quota_keeper_address{ mDeputy, false } };
  }
  std::size_t KnownInstances() const override { return 1'000; }
  std::size_t ReachableInstances() const override { return 1'000; }
  bool MembershipIsComplete() const override { return true; }
  void SendQuota(const model::endpoint& aTo,
                 const serving::quota_message& aMessage) override
  {
    mSent.emplace_back(aTo, aMessage);
  }
  void SendQuotaToAll(const serving::quota_message& /*aMessage*/) override {}
  void SendQuotaToDataCentre(
    const serving::quota_message& /*aMessage*/) override
  {
  }

  const model::endpoint mIssuer{ "127.0.0.1", 8 };
  const model::endpoint mDeputy{ "127.0.0.1", 9 };
  std::vector<std::pair<model::endpoint, serving::quota_message>> mSent;
};

class quota_client_test : public testing::Test
{
protected:
  quota_client_test()
    : mSink(std::make_shared<ops::bounded_sink>(::open("/dev/null", O_WRONLY),
                                                1U << 20U))
    , mLog("test", ops::log_level::Info, mSink)
  {
    mWorkspace.mName = "w";
    mWorkspace.mRatePerSecond = 5;
    mWorkspace.mBurst = 5;
  }

  void RunFor(model::duration aFor)
  {
    loop_timer timer(mLoop, [this] { mLoop.Stop(); });
    timer.Start(aFor);
    mLoop.Run();
  }

  event_loop mLoop;
  std::shared_ptr<ops::bounded_sink> mSink;
  ops::log mLog;
  ops::metrics mMetrics;
  serving::workspace mWorkspace;
};

/** One instance with peers that the test plays. */
class single_client : public quota_client_test
{
protected:
  single_client()
    : mClient(mLoop, mPeers, kSettings, mLog, mMetrics, 1'000)
  {
  }

  void Admit(const serving::workspace& aWorkspace)
  {
    mClient.Admit(aWorkspace,
                  event_loop::Now(),
                  [this](const admission_decision& aDecision) {
                    mDecisions.push_back(aDecision);
                  });
  }
  /** A notice of the issuer: it is alive, and nothing is restricted. */
  void Notice()
  {
    serving::quota_message message;
    for (serving::quota_group group = 0; group < serving::kQuotaGroups;
         ++group) {
      message.mNotices.push_back({ group, ++mNumber, true, {} });
    }
    mClient.OnMessage(message, 7, mPeers.mIssuer);
  }

  recording_peers mPeers;
  quota_client mClient;
  std::vector<admission_decision> mDecisions;
  std::uint64_t mNumber = 0;
};

/** A datagram for each admission would cost the data path a system call each.
 */
TEST_F(single_client, AdmissionsOfALoopIterationAreOneDatagramForEachKeeper)
{
  Notice();
  std::vector<serving::workspace> workspaces;
  for (int index = 0; index < 20; ++index) {
    workspaces.push_back(mWorkspace);
    workspaces.back().mName = "w" + std::to_string(index);
    Admit(workspaces.back());
  }
  EXPECT_EQ(mDecisions.size(), 20U);
  EXPECT_TRUE(mPeers.mSent.empty());
  RunFor(milliseconds(1));
  EXPECT_EQ(mPeers.mSent.size(), 2U * serving::kQuotaGroups);
}

TEST_F(single_client, AsksWhenTheIssuerWasNotHeardAndUsesTheReply)
{
  Admit(mWorkspace);
  Admit(mWorkspace);
  RunFor(milliseconds(1));
  EXPECT_TRUE(mDecisions.empty());
  ASSERT_EQ(mPeers.mSent.size(), 1U); // Nothing to report to the deputy yet.
  EXPECT_EQ(mPeers.mSent.front().first, mPeers.mIssuer);
  const auto& request = mPeers.mSent.front().second.mRequests.front();
  EXPECT_EQ(request.mItems.front().mAsked, 2U);
  serving::quota_reply reply;
  reply.mId = request.mId;
  reply.mGroup = request.mGroup;
  reply.mDecides = true;
  reply.mDecisions = { { request.mItems.front().mWorkspace,
                         1,
                         true,
                         0,
                         milliseconds(150),
                         milliseconds(200) } };
  serving::quota_message message;
  message.mReplies = { reply };
  mClient.OnMessage(message, 7, mPeers.mIssuer);
  ASSERT_EQ(mDecisions.size(), 2U);
  EXPECT_TRUE(mDecisions[0].mAdmitted);
  EXPECT_EQ(mDecisions[1], (admission_decision{ false, milliseconds(150) }));
  EXPECT_STREQ(mClient.Status(mWorkspace).mState, "restricted");
}

/** A request waited without end for an issuer that had crashed. */
TEST_F(single_client, DecidesByTheOwnShareWithoutAReply)
{
  Admit(mWorkspace);
  RunFor(milliseconds(60));
  EXPECT_TRUE(mDecisions.empty());
  EXPECT_EQ(mPeers.mSent.back().first, mPeers.mDeputy);
  RunFor(milliseconds(200));
  ASSERT_EQ(mDecisions.size(), 1U);
  EXPECT_FALSE(mDecisions[0].mAdmitted); // One of a thousand instances.
  Admit(mWorkspace);
  RunFor(milliseconds(2));
  EXPECT_EQ(mDecisions.size(), 2U); // Without another wait.
  EXPECT_STREQ(mClient.Status(mWorkspace).mState, "own share");
}

TEST_F(single_client, WorkspacesWithoutARateAreNotLimited)
{
  mWorkspace.mRatePerSecond = 0;
  Admit(mWorkspace);
  EXPECT_EQ(mDecisions.size(), 1U);
  EXPECT_TRUE(mDecisions[0].mAdmitted);
  RunFor(milliseconds(1));
  EXPECT_TRUE(mPeers.mSent.empty());
}

/** Three instances over loopback. */
class quota_fleet_over_loopback : public quota_client_test
{
protected:
  static constexpr std::size_t kInstances = 3;
  static constexpr std::uint16_t kFirstPort = 29'700;

  struct instance
  {
    fake_store mStore;
    std::unique_ptr<control_plane> mPlane;
    std::unique_ptr<quota_client> mClient;
  };

  quota_fleet_over_loopback()
    : mInstances(kInstances)
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      Start(index);
    }
  }

  void Start(std::size_t aIndex)
  {
    instance& here = mInstances[aIndex];
    here.mStore.mContent.mVersion = 1;
    here.mStore.mContent.mWorkspaces = { mWorkspace };
    serving::fleet_member self;
    self.mName = "i" + std::to_string(aIndex);
    self.mDataCentre = "dc" + std::to_string(aIndex);
    self.mPeerEndpoint = PeerOf(aIndex);
    self.mIncarnation = 1;
    control_plane::hooks hooks;
    hooks.mOnConfig = [&here](const serving::routing_config_ptr& aConfig) {
      here.mClient->SetConfig(*aConfig);
    };
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
    hooks.mOnQuota = [&here](const serving::quota_message& aMessage,
                             const serving::fleet_member& aFrom) {
      here.mClient->OnMessage(
        aMessage, aFrom.mPeerEndpoint.mPort, aFrom.mPeerEndpoint);
    };
    here.mPlane = std::make_unique<control_plane>(
      mLoop,
      here.mStore,
      serving::fleet_membership(self, { PeerOf(0), PeerOf(1) }, {}, aIndex),
      control_settings{},
      std::move(hooks),
      mLog,
      mMetrics);
    here.mClient = std::make_unique<quota_client>(
      mLoop, *here.mPlane, kSettings, mLog, mMetrics, aIndex * 1'000'000);
  }

  static model::endpoint PeerOf(std::size_t aIndex)
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(kFirstPort + aIndex) };
  }

  /** Runs all instances. @param aRequests Sent to them in turn. */
  void Run(model::duration aFor, std::size_t aRequests)
  {
    const std::size_t ticks = std::max<std::size_t>(1, aFor / milliseconds(50));
    for (std::size_t tick = 0; tick < ticks; ++tick) {
      for (instance& each : mInstances) {
        if (each.mPlane) {
          each.mPlane->OnTick(event_loop::Now());
          each.mClient->OnTick();
          if (mTicks % 5 == 0) {
            each.mPlane->OnGossipRound(event_loop::Now());
          }
        }
      }
      ++mTicks;
      const std::size_t due =
        (tick + 1) * aRequests / ticks - tick * aRequests / ticks;
      for (std::size_t request = 0; request < due; ++request) {
        Send();
      }
      RunFor(milliseconds(50));
    }
  }

  void Send()
  {
    instance& here = mInstances[mSent++ % kInstances];
    if (here.mClient) {
      here.mClient->Admit(mWorkspace,
                          event_loop::Now(),
                          [this](const admission_decision& aDecision) {
                            ++(aDecision.mAdmitted ? mAdmitted : mRefused);
                          });
    }
  }

  std::vector<instance> mInstances;
  std::size_t mTicks = 0;
  std::size_t mSent = 0;
  std::size_t mAdmitted = 0;
  std::size_t mRefused = 0;
};

/** Each instance admitted the whole quota. */
TEST_F(quota_fleet_over_loopback, QuotaHoldsForAllInstancesTogether)
{
  Run(milliseconds(2'500), 0);
  Run(milliseconds(1'000), 4); // Inside the quota.
  EXPECT_EQ(mAdmitted, 4U);
  EXPECT_EQ(mRefused, 0U);
  const std::size_t before = mAdmitted;
  Run(milliseconds(3'000), 150);
  Run(milliseconds(200), 0);
  EXPECT_EQ(mAdmitted + mRefused, 154U);
  EXPECT_GE(mAdmitted - before, 16U);
  EXPECT_LE(mAdmitted - before, 30U); // Rate, burst and allowance: 22.6.
}

/** Without the issuer, each instance had a third of the rate, one token at
 * most, and most requests inside the quota were refused. */
TEST_F(quota_fleet_over_loopback,
       RequestsInsideTheQuotaAreServedWithoutTheIssuer)
{
  Run(milliseconds(2'500), 0);
  const auto issuer = mInstances[0].mClient->Status(mWorkspace).mIssuer;
  instance& lost = mInstances[issuer.mPort - kFirstPort];
  lost.mClient.reset();
  lost.mPlane.reset();
  Run(milliseconds(2'000), 5); // At the rate of a deputy that is alone.
  Run(milliseconds(200), 0);
  EXPECT_GE(mAdmitted, 3U);
  EXPECT_EQ(mRefused, 0U);
}

/** The interface says which limit applies and what is known of it. */
TEST_F(quota_fleet_over_loopback, RaisedLimitsReachTheIssuerWithTheConfig)
{
  Run(milliseconds(2'500), 0);
  Run(milliseconds(500), 60);
  EXPECT_GT(mRefused, 0U);
  mWorkspace.mRatePerSecond = 200;
  mWorkspace.mBurst = 200;
  for (instance& each : mInstances) {
    serving::routing_config::content content;
    content.mVersion = 2;
    content.mWorkspaces = { mWorkspace };
    each.mClient->SetConfig(
      *serving::routing_config::Create(std::move(content)));
  }
  const std::size_t refused = mRefused;
  Run(milliseconds(400), 60);
  Run(milliseconds(200), 0);
  EXPECT_EQ(mRefused, refused);
  const auto status = mInstances[0].mClient->Status(mWorkspace);
  EXPECT_EQ(status.mLimit.mRatePerSecond, 200);
  EXPECT_TRUE(status.mLevel);
}

} // namespace
} // namespace monsooncroft::gateway
