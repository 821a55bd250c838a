/**
 * @file instance_fixture.h
 * A complete entry instance over loopback with leaves, a store and a caller.
 */
#ifndef MONSOONCROFT_TEST_GATEWAY_INSTANCE_FIXTURE_H
#define MONSOONCROFT_TEST_GATEWAY_INSTANCE_FIXTURE_H

#include "fake_leaf.h"
#include "fake_store.h"
#include "gateway/entry_instance_base.h"
#include "gateway/http_channel_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>

namespace monsooncroft::gateway {

/** Sets up an event loop, a store, leaves, one instance and a caller. */
class instance_fixture : public testing::Test
{
protected:
  instance_fixture()
    : mSink(std::make_shared<ops::bounded_sink>(::open("/dev/null", O_WRONLY),
                                                1U << 20U))
    , mLog("test", ops::log_level::Info, mSink)
  {
    std::signal(SIGPIPE, SIG_IGN); // As the product's processes do.
    sPort = static_cast<std::uint16_t>(sPort + 3);
    mSettings.mName = "test";
    mSettings.mDataCentre = "dc";
    mSettings.mCallerAddress = { "127.0.0.1", sPort };
    mSettings.mReadinessAddress = { "127.0.0.1",
                                    static_cast<std::uint16_t>(sPort + 1) };
    mSettings.mPeerAddress = { "127.0.0.1",
                               static_cast<std::uint16_t>(sPort + 2) };
    mSettings.mReadinessPath = "/ready";
    mSettings.mHeaderNames = { "X-Id",      "X-Left",  "X-Sig",
                               "X-Expect",  "X-Not",   "X-Sigs",
                               "X-Missing", "X-Limit", "X-Leaving" };
    mSettings.mRetryBudget.mSlack = 100;
    // Start() waits longer: an instance has no slack in its first window.
    mSettings.mRetryBudget.mWindow = std::chrono::milliseconds(100);
    mStore.mContent.mVersion = 1;
  }

  ~instance_fixture() override
  {
    mCaller.reset();
    mInstance.reset();
    mLeaves.clear();
    RunFor(std::chrono::milliseconds(5));
  }

  /** Starts and registers a leaf that handles requests by the function. */
  fake_leaf& AddLeaf(const std::string& aService,
                     fake_leaf::on_request aOnRequest)
  {
    const std::string id = "leaf" + std::to_string(mLeaves.size());
    mLeaves.push_back(
      std::make_unique<fake_leaf>(mLoop, mLog, std::move(aOnRequest)));
    mStore.Register(id, aService, mLeaves.back()->Address());
    return *mLeaves.back();
  }

  void AddFanOutRoute(const std::vector<std::string>& aShards,
                      double aMinSuccessShare)
  {
    serving::route route = MakeFanOutRoute("/all/", aShards);
    route.mTargetLatency = std::chrono::milliseconds(200);
    route.mMaxAttempts = 2;
    route.mTopRecords = 2;
    route.mMinSuccessShare = aMinSuccessShare;
    mStore.mContent.mRoutes.push_back(route);
  }

  void AddSingleServiceRoute(serving::repeatability aRepeatability)
  {
    serving::route route;
    route.mName = "one";
    route.mHost = "h";
    route.mPrefix = "/one/";
    route.mRepeatability = aRepeatability;
    route.mTimeout = std::chrono::milliseconds(1'000);
    route.mTargetLatency = std::chrono::milliseconds(400);
    route.mMaxAttempts = 2;
    route.mTargets = { { "plain", 1 } };
    mStore.mContent.mRoutes.push_back(route);
  }

  void Start()
  {
    mInstance = std::make_unique<entry_instance>(
      mLoop, mSettings, mStore, mLog, mMetrics, mSink);
    RunFor(std::chrono::milliseconds(120));
  }

  void RunFor(model::duration aFor)
  {
    loop_timer timer(mLoop, [this] { mLoop.Stop(); });
    timer.Start(aFor);
    mLoop.Run();
  }

  http_message SendRequest(const std::string& aTarget,
                           const std::string& aId,
                           const std::string& aExtraFields = "",
                           const std::string& aMethod = "GET")
  {
    mCaller = std::make_unique<http_channel>(mLoop, mSettings.mCallerAddress);
    std::optional<http_message> answer;
    bool done = false;
    mCaller->Call(aMethod + " " + aTarget + " HTTP/1.1\r\nHost: h\r\nX-Id: " +
                    aId + "\r\nX-Left: 900\r\n" + aExtraFields + "\r\n",
                  std::chrono::seconds(3),
                  [&](std::optional<http_message> aAnswer) {
                    answer = std::move(aAnswer);
                    done = true;
                  });
    for (int round = 0; round < 300 && !done; ++round) {
      RunFor(std::chrono::milliseconds(10));
    }
    return answer.value_or(http_message{});
  }

  static std::string OkAnswer(const http_message& aRequest,
                              const std::string& aSignature,
                              const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nX-Id: " + *aRequest.Find("X-Id") +
           "\r\nX-Sig: " + aSignature +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  inline static std::uint16_t sPort = 23'400;
  event_loop mLoop;
  std::shared_ptr<ops::bounded_sink> mSink;
  ops::log mLog;
  ops::metrics mMetrics;
  instance_settings mSettings;
  fake_store mStore;
  std::vector<std::unique_ptr<fake_leaf>> mLeaves;
  std::unique_ptr<entry_instance> mInstance;
  std::unique_ptr<http_channel> mCaller;
};

} // namespace monsooncroft::gateway

#endif
