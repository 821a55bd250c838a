/**
 * @file platform_client_test.cpp
 * What the platform's answers over HTTP are taken for.
 */
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"
#include "net/http_server_base.h"
#include "store/platform_client_base.h"

#include <gtest/gtest.h>

#include <mutex>

namespace monsooncroft::store {
namespace {

using net::http_response;

constexpr std::uint16_t kDeadPort = 28301;
constexpr std::uint16_t kLivePort = 28302;

/** Answers every request alike and counts them. */
class scripted_platform final : public net::http_handler
{
public:
  http_response Handle(const net::http_request&) override
  {
    const std::lock_guard lock(mMutex);
    ++mRequests;
    return mAnswer;
  }

  void Answer(int aStatus, const std::string& aBody)
  {
    const std::lock_guard lock(mMutex);
    mAnswer.mStatus = aStatus;
    mAnswer.mBody = aBody;
    mRequests = 0;
  }

  int Requests()
  {
    const std::lock_guard lock(mMutex);
    return mRequests;
  }

private:
  std::mutex mMutex;
  http_response mAnswer;
  int mRequests = 0;
};

class platform_client_test : public testing::Test
{
protected:
  void SetUp() override
  {
    net::http_server_options options;
    options.mListen = { "127.0.0.1", kLivePort };
    options.mThreads = 2;
    mServer = net::http_server::Start(options, mPlatform);
    mConnector = net::http_connector::Create(1);
    mPool = std::make_unique<net::http_pool>(*mConnector, 2);
    mClient = Client({ 100, 100 });
  }

  void TearDown() override
  {
    mClient.reset();
    mPool.reset();
    mConnector->Stop();
    mServer->Stop();
  }

  std::unique_ptr<platform_client> Client(const rate_share& aShare)
  {
    platform_options options;
    options.mAddresses = { { "127.0.0.1", kDeadPort },
                           { "127.0.0.1", kLivePort } };
    options.mTimeout = std::chrono::milliseconds(5000);
    options.mShare = aShare;
    return std::make_unique<platform_client>(
      *mPool, options, [] { return model::instant(); });
  }

  scripted_platform mPlatform;
  std::unique_ptr<net::http_server> mServer;
  std::unique_ptr<net::http_connector> mConnector;
  std::unique_ptr<net::http_pool> mPool;
  std::unique_ptr<platform_client> mClient;
};

TEST_F(platform_client_test, a_dead_address_is_passed_over)
{
  mPlatform.Answer(200, R"({"found":true,"revision":3,"value":"v"})");
  EXPECT_EQ(mClient->Get("k"), (read_outcome{ store_status::Ok, 3, "v" }));
  mPlatform.Answer(200, R"({"ok":true,"revision":4})");
  EXPECT_EQ(Client({ 100, 100 })->CompareAndSwap("k", 3, "w", ""),
            (write_outcome{ store_status::Ok, 4 }));
}

TEST_F(platform_client_test, outcomes_follow_the_protocol)
{
  mPlatform.Answer(200, R"({"found":false,"revision":0})");
  EXPECT_EQ(mClient->Get("k").mStatus, store_status::NotFound);
  mPlatform.Answer(200, R"({"ok":false,"revision":9})");
  EXPECT_EQ(mClient->CompareAndSwap("k", 3, "w", ""),
            (write_outcome{ store_status::Conflict, 9 }));
  EXPECT_EQ(mClient->KeepAlive("l").mStatus, store_status::NotFound);
  mPlatform.Answer(429, "{}");
  EXPECT_EQ(mClient->Delete("k", 3).mStatus, store_status::Throttled);
  mPlatform.Answer(200, R"({"lease":"l1"})");
  EXPECT_EQ(mClient->GrantLease(std::chrono::milliseconds(9)).mLease, "l1");
}

TEST_F(platform_client_test, a_write_without_a_clear_answer_is_sent_once)
{
  for (const auto& [status, body] :
       { std::pair{ 503, R"({"error":"unavailable"})" },
         std::pair{ 200, "no json" },
         std::pair{ 200, R"({"ok":true})" } }) {
    mPlatform.Answer(status, body);
    EXPECT_EQ(mClient->CompareAndSwap("k", 1, "v", "").mStatus,
              store_status::Ambiguous);
    EXPECT_EQ(mPlatform.Requests(), 1);
    EXPECT_EQ(mClient->Get("k").mStatus, store_status::Unavailable);
  }
}

TEST_F(platform_client_test, with_no_address_up_a_write_is_not_applied)
{
  mServer->Stop();
  const auto fresh = Client({ 100, 100 });
  EXPECT_EQ(fresh->CompareAndSwap("k", 1, "v", "").mStatus,
            store_status::Unavailable);
  EXPECT_EQ(fresh->List().mStatus, store_status::Unavailable);
}

TEST_F(platform_client_test, no_call_goes_out_over_the_share)
{
  mPlatform.Answer(200, R"({"found":true,"revision":3,"value":"v"})");
  const auto thrifty = Client({ 1, 2 });
  EXPECT_EQ(thrifty->Get("k").mStatus, store_status::Ok);
  EXPECT_EQ(thrifty->Get("k").mStatus, store_status::Throttled);
  EXPECT_EQ(mPlatform.Requests(), 1);
}

TEST_F(platform_client_test, the_instance_list_skips_what_it_cannot_read)
{
  mPlatform.Answer(200, R"({"instances":[
    {"id":"e1","role":"entry","address":"127.0.0.1:7","state":"leaving",
     "caller_address":"127.0.0.1:8","data_centre":"dc1"},
    {"id":"x","role":"entry","address":"nowhere"}, 7]})");
  const auto got = mClient->List();
  ASSERT_EQ(got.mStatus, store_status::Ok);
  ASSERT_EQ(got.mInstances.size(), 1U);
  EXPECT_EQ(got.mInstances[0].mCallerAddress.mPort, 8);
  EXPECT_TRUE(got.mInstances[0].mLeaving);
}

} // namespace
} // namespace monsooncroft::store
