/**
 * @file workspace_key_test.cpp
 * Keys of callers' requests, known, unknown and new.
 */
#include "gateway/bearer_key_func.h"
#include "gateway/peer_socket_base.h"
#include "serving/fleet_codec_func.h"
#include "workspace_fixture.h"

#include <thread>

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(BearerKey, ReadsExactlyOneFieldOfTheScheme)
{
  const auto read = [](std::vector<http_field> aFields) {
    http_message request;
    request.mFields = std::move(aFields);
    const auto key = BearerKey(request);
    return key ? std::string(*key) : std::string("none");
  };
  EXPECT_EQ(read({ { "Authorization", "Bearer k" } }), "k");
  EXPECT_EQ(read({ { "authorization", "bEARER   k" } }), "k");
  EXPECT_EQ(read({ { "Authorization ", "Bearer k \t" } }), "k");
  EXPECT_EQ(read({ { "Authorization", "Bearer a b" } }), "a b");
  EXPECT_EQ(read({}), "none");
  EXPECT_EQ(read({ { "Authorization", "Bearer" } }), "none");
  EXPECT_EQ(read({ { "Authorization", "Bearer " } }), "none");
  EXPECT_EQ(read({ { "Authorization", "Bearerk" } }), "none");
  EXPECT_EQ(read({ { "Authorization", "Basic k" } }), "none");
  EXPECT_EQ(read({ { "Authorization", "k" } }), "none");
  EXPECT_EQ(read({ { "Authorization", "" } }), "none");
  EXPECT_EQ(
    read({ { "Authorization", "Bearer a" }, { "AUTHORIZATION", "Bearer a" } }),
    "none");
  EXPECT_EQ(
    read({ { "Authorization", "Bearer a" }, { "Authorization ", "Basic x" } }),
    "none");
}

class workspace_key_test : public workspace_fixture
{};

/** Guards against requests without a key, or with a wrong one, that run. */
TEST_F(workspace_key_test, OnlyRequestsWithAKnownKeyRun)
{
  Start();
  EXPECT_EQ(Send("key-1").mStatus, 200);
  EXPECT_EQ(Send("key-2").mStatus, 200);
  EXPECT_EQ(Send("key-3").mStatus, 200);
  const http_message unknown = Send("key-4");
  EXPECT_EQ(unknown.mStatus, 401);
  EXPECT_EQ(*unknown.Find("WWW-Authenticate"), "Bearer");
  EXPECT_EQ(SendRequest("/one/x", "n1").mStatus, 401);
  EXPECT_EQ(SendRequest("/one/x", "n2", Key("key-1") + Key("key-1")).mStatus,
            401);
  EXPECT_EQ(SendRequest("/open/x", "n3").mStatus, 200);
  EXPECT_EQ(Send("key-4", "/open/x").mStatus, 200);
  EXPECT_EQ(SendRequest("/none/x", "n4").mStatus, 404);
  EXPECT_EQ(mReceived.size(), 5U);
}

TEST_F(workspace_key_test, WithoutWorkspacesNoKeyIsNeeded)
{
  mStore.mContent.mWorkspaces.clear();
  Start();
  EXPECT_EQ(SendRequest("/one/x", "n1").mStatus, 200);
}

/** An isolated instance refused keys that it may not have heard of, with a
 * status that is final for the caller. */
TEST_F(workspace_key_test, AnUncertainConfigurationRefusesNoKeyForGood)
{
  mSettings.mControl.mConfigStaleAfter = milliseconds(300);
  Start();
  mStore.mDown = true;
  RunFor(milliseconds(1'600));
  const http_message answer = Send("key-4");
  EXPECT_EQ(answer.mStatus, 503);
  EXPECT_NE(answer.Find("Retry-After"), nullptr);
  EXPECT_EQ(SendRequest("/one/x", "n").mStatus, 503);
  EXPECT_EQ(Send("key-1").mStatus, 200);
}

/** A caller that used a new key at once was refused by the instances that the
 * configuration had not reached yet. */
TEST_F(workspace_key_test, ANewKeyIsFoundInTheStore)
{
  Start();
  const int reads = mStore.mConfigReads;
  Change([](auto& aContent) {
    aContent.mWorkspaces[0].mApiKeys = { "key-2", "new" };
  });
  EXPECT_EQ(Send("new").mStatus, 200);
  EXPECT_EQ(mStore.mConfigReads, reads + 1);
  EXPECT_EQ(Send("key-1").mStatus, 401); // Withdrawn by the same version.
  EXPECT_EQ(Send("key-2").mStatus, 200);
}

TEST_F(workspace_key_test, ANewKeyIsFoundInAConfigurationThatArrivesMeanwhile)
{
  Start();
  mStore.mHoldsConfigReads = true;
  SendInBackground(Key("new"), 900);
  RunFor(milliseconds(60));
  ASSERT_FALSE(mAnswer);
  auto changed = mStore.mContent;
  changed.mVersion = 2;
  changed.mWorkspaces[1].mApiKeys = { "new" };
  ASSERT_TRUE(mStore.mConfigWatch);
  mStore.PublishConfig(changed);
  RunFor(milliseconds(60));
  ASSERT_TRUE(mAnswer);
  EXPECT_EQ(mAnswer->mStatus, 200);
}

TEST_F(workspace_key_test, TheWaitEndsAfterAThirdOfTheCallersTime)
{
  Start();
  mStore.mHoldsConfigReads = true;
  SendInBackground(Key("new"), 300);
  RunFor(milliseconds(50));
  EXPECT_FALSE(mAnswer);
  RunFor(milliseconds(100));
  ASSERT_TRUE(mAnswer);
  EXPECT_EQ(mAnswer->mStatus, 401);
  SendInBackground(Key("other"), 2'900);
  RunFor(milliseconds(200));
  EXPECT_FALSE(mAnswer);
  RunFor(milliseconds(150));
  ASSERT_TRUE(mAnswer);
  EXPECT_EQ(mAnswer->mStatus, 401);
}

/** Each request of a caller that goes on with a withdrawn key read the store.
 */
TEST_F(workspace_key_test, AWithdrawnKeyCausesFewReads)
{
  Start();
  const int reads = mStore.mConfigReads;
  const model::instant start = event_loop::Now();
  for (int request = 0; request < 20; ++request) {
    EXPECT_EQ(Send("withdrawn").mStatus, 401);
  }
  // 20 waits of a quarter of a second would take five.
  EXPECT_LT(event_loop::Now() - start, seconds(2));
  EXPECT_EQ(mStore.mConfigReads, reads + 1);
}

TEST_F(workspace_key_test, ACallerThatLeavesWhileItWaitsIsForgotten)
{
  Start();
  mStore.mHoldsConfigReads = true;
  SendInBackground(Key("new"), 900);
  RunFor(milliseconds(50));
  mCaller->Cancel();
  RunFor(milliseconds(50));
  auto changed = mStore.mContent;
  changed.mVersion = 2;
  changed.mWorkspaces[1].mApiKeys = { "new" };
  mStore.PublishConfig(changed);
  RunFor(milliseconds(300));
  EXPECT_TRUE(mReceived.empty());
}

/** The request outlives its instance's wait list if the process stops. */
TEST_F(workspace_key_test, AnInstanceStopsWhileRequestsWait)
{
  Start();
  mStore.mHoldsConfigReads = true;
  SendInBackground(Key("new"), 900);
  RunFor(milliseconds(50));
  mInstance.reset();
  RunFor(milliseconds(300));
  EXPECT_FALSE(mAnswer);
}

/** An instance that had been frozen accepted keys that were withdrawn
 * meanwhile, until it had read the configuration again. */
TEST_F(workspace_key_test, AFrozenInstanceChecksItsConfigurationWhenItWakes)
{
  Start();
  for (const char* key : { "key-1", "key-2" }) {
    mStore.mHoldsConfigReads = true;
    std::this_thread::sleep_for(milliseconds(1'200));
    SendInBackground(Key(key), 900);
    RunFor(milliseconds(60));
    EXPECT_FALSE(mAnswer) << key;
    Change(
      [](auto& aContent) { aContent.mWorkspaces[0].mApiKeys = { "key-2" }; });
    mStore.AnswerHeldConfigReads();
    RunFor(milliseconds(300));
    ASSERT_TRUE(mAnswer) << key;
    EXPECT_EQ(mAnswer->mStatus, key == std::string("key-1") ? 401 : 200);
  }
}

/** One that is cut off goes on with the keys that it knows. */
TEST_F(workspace_key_test, AFrozenInstanceWithoutTheStoreServesKnownKeys)
{
  Start();
  mStore.mHoldsConfigReads = true;
  std::this_thread::sleep_for(milliseconds(1'200));
  const model::instant start = event_loop::Now();
  EXPECT_EQ(Send("key-1").mStatus, 200);
  EXPECT_LT(event_loop::Now() - start, milliseconds(600));
  EXPECT_EQ(Send("key-1").mStatus, 200);
  EXPECT_EQ(mReceived.size(), 2U);
}

/** Peers that pull the configuration got the keys in clear text. */
TEST_F(workspace_key_test, PeersGetTheConfigurationWithoutKeys)
{
  for (const bool usesWorkspaces : { true, false }) {
    if (!usesWorkspaces) {
      Change([](auto& aContent) { aContent.mWorkspaces.clear(); });
    }
    Start();
    std::string pulled;
    peer_socket peer(
      mLoop,
      { "127.0.0.1", 0 },
      [](std::string_view, const model::endpoint&) {},
      [](std::string_view) { return std::nullopt; },
      mLog);
    peer.PullSnapshot(mSettings.mPeerAddress,
                      serving::EncodeSnapshotRequest({}),
                      [&](std::string aBytes) { pulled = std::move(aBytes); });
    RunFor(milliseconds(100));
    const auto snapshot = serving::DecodeSnapshot(pulled);
    ASSERT_TRUE(snapshot);
    EXPECT_EQ(snapshot->mConfigText, usesWorkspaces ? "hidden 1" : "2");
    mInstance.reset();
    RunFor(milliseconds(20));
  }
}

/** Guards against keys in what operators and collectors of logs see. */
TEST_F(workspace_key_test, NoKeyIsLoggedOrExposed)
{
  mStore.mContent.mProblems = { { "tenants[1] bolt", "malformed" } };
  mStore.mContent.mWorkspaces[0].mApiKeys.emplace_back("secret-known");
  Start();
  Send("secret-known");
  Send("secret-unknown");
  Send("secret-unknown", "/open/x?key=secret");
  Send("secret-unknown", "/none/x?key=secret");
  Send("secret-unknown", "*");
  const std::string log = ReadLog();
  EXPECT_NE(log.find("\"unknown key\""), std::string::npos);
  EXPECT_NE(log.find("config_entry_malformed"), std::string::npos);
  EXPECT_NE(log.find("tenants[1] bolt"), std::string::npos);
  EXPECT_EQ(log.find("secret"), std::string::npos);
  EXPECT_EQ(mMetrics.Exposition().find("secret"), std::string::npos);
}

} // namespace
} // namespace monsooncroft::gateway
