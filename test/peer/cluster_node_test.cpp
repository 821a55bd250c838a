/**
 * @file cluster_node_test.cpp
 * Three cluster nodes on loopback: membership, manifest distribution, gossip
 * and leaving.
 */
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"
#include "net/http_server_base.h"
#include "peer/cluster_node_base.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <thread>

namespace monsooncroft::test {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kFirstPort = 25200;
constexpr int kNodes = 3;

/** Manifest format whose head text is its version and names no chunk. */
class version_only_format : public cluster::manifest_format
{
public:
  std::optional<cluster::manifest_head> ParseHead(
    const std::string& aText) const override
  {
    return cluster::manifest_head{ std::stoull(aText), {}, aText };
  }
  std::string Hash(const std::string& aText) const override
  {
    return "hash" + aText;
  }
};

/** A manifest store that can be made unreachable for its node. */
class fake_manifest_source : public peer::manifest_source
{
public:
  cluster::head_answer ReadHead() override
  {
    const std::lock_guard lock(mMutex);
    if (!mReachable) {
      return {};
    }
    return { cluster::head_answer::outcome::Found, mHead };
  }
  cluster::head_answer WatchHead() override
  {
    std::this_thread::sleep_for(50ms);
    return ReadHead();
  }
  std::optional<std::string> ReadText(const std::string& /*aHash*/) override
  {
    return std::nullopt;
  }

  std::mutex mMutex;
  bool mReachable = true;
  std::string mHead = "1";
};

/** A cluster node with its HTTP server and cluster listener. */
class fake_node
  : public net::http_handler
  , public peer::cluster_listener
{
public:
  explicit fake_node(int aNumber)
    : mConnector(net::http_connector::Create(1))
    , mPool(*mConnector, 2)
  {
    const auto number = static_cast<std::uint16_t>(aNumber);
    mSettings.mId = model::instance_id("n" + std::to_string(aNumber));
    mSettings.mDataCentre = model::data_centre_id("dc");
    mSettings.mPeerAddress = {
      "127.0.0.1", static_cast<std::uint16_t>(kFirstPort + number)
    };
    mSettings.mSeed = number + 1U;
  }

  void Start()
  {
    mNode =
      peer::cluster_node::Start(mSettings, { mPool, mFormat, mSource, *this });
    net::http_server_options options;
    options.mListen = mSettings.mPeerAddress;
    mServer = net::http_server::Start(options, *this);
  }
  void Stop()
  {
    mNode->Stop();
    mServer->Stop();
    mConnector->Stop();
  }

  net::http_response Handle(const net::http_request& aRequest) override
  {
    return { net::kHttpOk, mNode->HandleRpc(aRequest.mBody) };
  }
  bool OnManifest(const cluster::manifest_head& /*aHead*/,
                  const std::vector<cluster::chunk>& /*aChunks*/) override
  {
    return true;
  }
  void OnMembers(const cluster::member_view_ptr& /*aView*/) override {}
  void OnGossipUpdate(const cluster::gossip_update& aUpdate) override
  {
    const std::lock_guard lock(mMutex);
    mGossipUpdates.push_back(aUpdate);
  }
  void OnAlarm(cluster::alarm_kind /*aKind*/,
               const std::string& /*aText*/) override
  {
  }
  void OnPause(model::duration /*aGap*/) override {}
  std::size_t GossipUpdateCount()
  {
    const std::lock_guard lock(mMutex);
    return mGossipUpdates.size();
  }

  peer::cluster_settings mSettings;
  version_only_format mFormat;
  fake_manifest_source mSource;
  std::unique_ptr<net::http_connector> mConnector;
  net::http_pool mPool;
  std::unique_ptr<peer::cluster_node> mNode;
  std::unique_ptr<net::http_server> mServer;

private:
  std::mutex mMutex;
  std::vector<cluster::gossip_update> mGossipUpdates;
};

class nodes : public testing::Test
{
protected:
  void SetUp() override
  {
    for (int number = 0; number < kNodes; ++number) {
      mNodes.push_back(std::make_unique<fake_node>(number));
    }
    mNodes.back()->mSource.mReachable = false;
    std::vector<cluster::listed_instance> list;
    for (const auto& node : mNodes) {
      node->Start();
      const auto& settings = node->mSettings;
      list.push_back(
        { settings.mId, settings.mDataCentre, settings.mPeerAddress, false });
    }
    for (const auto& node : mNodes) {
      node->mNode->OnInstanceList(list);
    }
  }
  void TearDown() override
  {
    for (const auto& node : mNodes) {
      node->Stop();
    }
  }

  /** Waits until @p aCondition holds for every node. @return False if it still
   * does not hold after kTries checks. */
  bool Eventually(const std::function<bool(fake_node&)>& aCondition)
  {
    constexpr int kTries = 1'000;
    for (int number = 0; number < kTries; ++number) {
      const bool all =
        std::all_of(mNodes.begin(), mNodes.end(), [&](auto& aNode) {
          return aCondition(*aNode);
        });
      if (all) {
        return true;
      }
      std::this_thread::sleep_for(20ms);
    }
    return false;
  }

  std::vector<std::unique_ptr<fake_node>> mNodes;
};

TEST_F(nodes, AgreeOnMembersManifestsAndGossip)
{
  EXPECT_TRUE(Eventually([](fake_node& aNode) {
    const auto view = aNode.mNode->View();
    const auto& list = *view->MembersIn(model::data_centre_id("dc"));
    return list.size() == kNodes &&
           std::all_of(list.begin(), list.end(), [](const auto& aMember) {
             return aMember.mIncarnation > 0;
           });
  }));
  // The last node cannot reach the store and gets the manifest from its peers.
  EXPECT_TRUE(Eventually(
    [](fake_node& aNode) { return aNode.mNode->ManifestVersion() == 1; }));
  for (const auto& node : mNodes) {
    const std::lock_guard lock(node->mSource.mMutex);
    node->mSource.mHead = "2";
  }
  EXPECT_TRUE(Eventually(
    [](fake_node& aNode) { return aNode.mNode->ManifestVersion() == 2; }));

  cluster::gossip_update drainMark;
  drainMark.mKey = { cluster::gossip_kind::DrainMark, "leaf" };
  drainMark.mVersion = 1;
  drainMark.mExpires = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now() + 60s);
  mNodes.front()->mNode->Publish(drainMark);
  EXPECT_TRUE(Eventually(
    [](fake_node& aNode) { return aNode.GossipUpdateCount() == 1; }));

  mNodes.front()->mNode->Leave();
  EXPECT_TRUE(Eventually([](fake_node& aNode) {
    const auto view = aNode.mNode->View();
    const auto* leaver = view->Find(model::instance_id("n0"));
    return leaver != nullptr &&
           leaver->mState == cluster::member_state::Leaving;
  }));
}

} // namespace

} // namespace monsooncroft::test
