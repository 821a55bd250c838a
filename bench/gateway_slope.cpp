/**
 * @file gateway_slope.cpp
 * Processor time of an entry instance's loop for each leaf attempt.
 */
#include "gateway/entry_instance_base.h"
#include "gateway/http_channel_base.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "test/gateway/fake_leaf.h"
#include "test/gateway/fake_store.h"

#include <CLI/CLI.hpp>

#include <ctime>
#include <fcntl.h>

#include <atomic>
#include <iostream>
#include <thread>

namespace {

using namespace monsooncroft;
using std::chrono::milliseconds;

const gateway::header_names kNames{ "X-Id",  "X-Left", "X-Sig",    "X-Expect",
                                    "X-Not", "X-Sigs", "X-Missing" };
constexpr std::uint16_t kPort = 23'300;

void
Describe(gateway::fake_store& aStore,
         const std::vector<std::unique_ptr<gateway::fake_leaf>>& aLeaves)
{
  std::vector<std::string> shards;
  for (std::size_t place = 0; place < aLeaves.size(); ++place) {
    shards.push_back("s" + std::to_string(place));
    aStore.Register(
      "i-" + std::to_string(place), shards.back(), aLeaves[place]->Address());
  }
  serving::route route = gateway::MakeFanOutRoute("/", shards);
  route.mTargetLatency = milliseconds(400);
  route.mTopRecords = 20;
  aStore.mContent.mVersion = 1;
  aStore.mContent.mRoutes = { route };
}

/** Asks one fan-out after the other. */
class caller
{
public:
  caller(gateway::event_loop& aLoop, int aRequests, std::function<void()> aDone)
    : mChannel(aLoop, { "127.0.0.1", kPort })
    , mLeft(aRequests)
    , mDone(std::move(aDone))
  {
  }
  void Next()
  {
    if (mLeft-- == 0) {
      mDone();
      return;
    }
    mChannel.Call("GET /x HTTP/1.1\r\nHost: h\r\nX-Id: r" +
                    std::to_string(mLeft) + "\r\nX-Left: 900\r\n\r\n",
                  milliseconds(2'000),
                  [this](const std::optional<gateway::http_message>& aAnswer) {
                    mFailed += aAnswer && aAnswer->mStatus == 200 ? 0 : 1;
                    Next();
                  });
  }
  int mFailed = 0;

private:
  gateway::http_channel mChannel;
  int mLeft;
  std::function<void()> mDone;
};

double
ThreadSeconds()
{
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

int
Measure(int aShards, int aRequests)
{
  const auto sink = std::make_shared<ops::bounded_sink>(
    ::open("/dev/null", O_WRONLY), 1U << 20U);
  const ops::log log("slope", ops::log_level::Info, sink);
  gateway::event_loop outside;
  std::vector<std::unique_ptr<gateway::fake_leaf>> leaves;
  const std::string body(400, 'r');
  leaves.reserve(static_cast<std::size_t>(aShards));
  for (int shard = 0; shard < aShards; ++shard) {
    leaves.push_back(std::make_unique<gateway::fake_leaf>(
      outside, log, [&](auto& aLink, const auto& aRequest) {
        aLink.Write("HTTP/1.1 200 OK\r\nX-Id: " + *aRequest.Find("X-Id") +
                    "\r\nX-Sig: s\r\nContent-Length: 400\r\n\r\n" + body);
      }));
  }
  gateway::fake_store store;
  Describe(store, leaves);
  std::atomic<bool> finished = false;
  double spent = 0;
  std::thread inside([&] {
    gateway::event_loop loop;
    ops::metrics metrics;
    gateway::instance_settings settings;
    settings.mName = "slope";
    settings.mDataCentre = "dc";
    settings.mCallerAddress = { "127.0.0.1", kPort };
    settings.mReadinessAddress = { "127.0.0.1", kPort + 1 };
    settings.mPeerAddress = { "127.0.0.1", kPort + 2 };
    settings.mHeaderNames = kNames;
    gateway::entry_instance instance(loop, settings, store, log, metrics, sink);
    gateway::loop_timer watch(loop, [&] {
      if (finished) {
        loop.Stop();
      } else {
        watch.Start(milliseconds(20));
      }
    });
    watch.Start(milliseconds(20));
    const double begun = ThreadSeconds();
    loop.Run();
    spent = ThreadSeconds() - begun;
  });
  caller asker(outside, aRequests, [&] { outside.Stop(); });
  gateway::loop_timer start(outside, [&] { asker.Next(); });
  start.Start(milliseconds(300));
  outside.Run();
  finished = true;
  inside.join();
  const double attempts = static_cast<double>(aShards) * aRequests;
  std::cout << "shards " << aShards << ", requests " << aRequests << ", failed "
            << asker.mFailed << ", processor time " << 1e6 * spent / attempts
            << " us a leaf attempt, " << 1e6 * spent / aRequests
            << " us a request\n";
  return asker.mFailed == 0 ? 0 : 1;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Processor time of the asynchronous path a leaf attempt");
  int shards = 20;
  int requests = 3'000;
  app.add_option("--shards", shards, "Shards of each fan-out")
    ->check(CLI::Range(1, 300));
  app.add_option("--requests", requests, "Fan-outs, one after the other")
    ->check(CLI::Range(1, 1'000'000));
  CLI11_PARSE(app, argc, argv);
  return Measure(shards, requests);
}
