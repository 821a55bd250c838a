/**
 * @file http_test.cpp
 * HTTP server, client connections and connection pool over loopback.
 */
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"
#include "net/http_server_base.h"

#include <gtest/gtest.h>

#include <thread>

namespace monsooncroft::net {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kPort = 20101;
constexpr std::uint16_t kClosedPort = 20102;

class echo_handler : public http_handler
{
public:
  http_response Handle(const http_request& aRequest) override
  {
    if (aRequest.mTarget == "/slow") {
      std::this_thread::sleep_for(500ms);
    }
    http_response response;
    response.mBody = aRequest.mMethod + aRequest.mTarget + aRequest.mBody;
    return response;
  }
};

class http : public testing::Test
{
protected:
  http()
  {
    http_server_options options;
    options.mListen = mPeer;
    options.mMaxBodyBytes = 1000;
    mServer = http_server::Start(options, mHandler);
  }

  model::endpoint mPeer{ "127.0.0.1", kPort };
  echo_handler mHandler;
  std::unique_ptr<http_server> mServer;
  std::unique_ptr<http_connector> mConnector = http_connector::Create(1);
  http_pool mPool{ *mConnector, 4 };
};

TEST_F(http, answers_many_on_kept_connections)
{
  for (int i = 0; i < 20; ++i) {
    const std::string body = std::to_string(i);
    const auto result = mPool.Call(mPeer, { "POST", "/a", body }, 5s);
    ASSERT_EQ(result.mState, send_state::Replied);
    EXPECT_EQ(result.mResponse.mBody, "POST/a" + body);
  }
}

TEST_F(http, timeout_is_maybe_sent)
{
  const auto result = mPool.Call(mPeer, { "GET", "/slow", "" }, 50ms);
  EXPECT_EQ(result.mState, send_state::MaybeSent);
  EXPECT_EQ(result.mError, exchange_error::Timeout);
}

TEST_F(http, refused_connection_is_not_sent)
{
  const auto result =
    mPool.Call({ "127.0.0.1", kClosedPort }, { "GET", "/", "" }, 5s);
  EXPECT_EQ(result.mState, send_state::NotSent);
  EXPECT_EQ(result.mError, exchange_error::ConnectRefused);
}

TEST_F(http, kept_connection_closed_by_the_server_is_not_used)
{
  ASSERT_EQ(mPool.Call(mPeer, { "POST", "/a", "1" }, 5s).mState,
            send_state::Replied);
  mServer.reset();
  http_server_options options;
  options.mListen = mPeer;
  mServer = http_server::Start(options, mHandler);
  const auto result = mPool.Call(mPeer, { "POST", "/a", "2" }, 5s);
  EXPECT_EQ(result.mState, send_state::Replied);
}

TEST_F(http, long_body_gets_413_and_the_server_goes_on)
{
  const auto refused =
    mPool.Call(mPeer, { "POST", "/a", std::string(5000, 'x') }, 5s);
  EXPECT_EQ(refused.mResponse.mStatus, kHttpTooLarge);
  const auto next = mPool.Call(mPeer, { "POST", "/a", "y" }, 5s);
  EXPECT_EQ(next.mResponse.mStatus, kHttpOk);
}

} // namespace
} // namespace monsooncroft::net
