/**
 * @file http_answer_test.cpp
 * Servers of the older data path, of the manifest store and of the command
 * line whose answers are not HTTP/1.1, or of unusual form.
 */
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"

#include "support/answer_cases.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace monsooncroft::net {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using test_support::answer_case;
using test_support::broken_part;

/** Answers requests, one connection after the other, with bytes set by the
 * test. */
class raw_server
{
public:
  raw_server()
    : mAcceptor(mContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mThread([this] { Run(); })
  {
  }
  ~raw_server()
  {
    mStopping = true;
    tcp::socket waker(mContext);
    boost::system::error_code ignored;
    waker.connect(mAcceptor.local_endpoint(), ignored);
    mThread.join();
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;
  raw_server(raw_server&&) = delete;
  raw_server& operator=(raw_server&&) = delete;

  model::endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  /** Set between calls only. */
  answer_case mAnswer;
  std::atomic<int> mConnections = 0;

private:
  void Run()
  {
    while (!mStopping) {
      tcp::socket socket(mContext);
      boost::system::error_code error;
      mAcceptor.accept(socket, error);
      ++mConnections;
      std::string request;
      while (!mStopping && !error) {
        request.clear();
        boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (!error) {
          boost::asio::write(socket, boost::asio::buffer(mAnswer.mText), error);
        }
        if (mAnswer.mCloseDelimited) {
          break;
        }
      }
    }
  }

  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::atomic<bool> mStopping = false;
  std::thread mThread;
};

class http_answers : public testing::Test
{
protected:
  exchange_result Call(const answer_case& aAnswer)
  {
    mServer.mAnswer = aAnswer;
    return mPool->Call(mServer.Address(), { "GET", "/", "" }, 500ms);
  }

  raw_server mServer;
  std::string mDefect; ///< Of the last malformed answer.
  std::unique_ptr<http_connector> mConnector =
    http_connector::Create(1,
                           [this](const model::endpoint& /*aPeer*/,
                                  const char* aDefect) { mDefect = aDefect; });
  std::unique_ptr<http_pool> mPool =
    std::make_unique<http_pool>(*mConnector, 4);
};

class broken_http_answers
  : public http_answers
  , public testing::WithParamInterface<broken_part>
{};

TEST_P(broken_http_answers, count_as_none)
{
  for (const answer_case& each : GetParam().mMake("")) {
    const int before = mServer.mConnections;
    mDefect.clear();
    const exchange_result result = Call(each);
    EXPECT_EQ(result.mState, send_state::MaybeSent) << each.mName;
    EXPECT_EQ(result.mError, exchange_error::Malformed) << each.mName;
    EXPECT_EQ(result.mResponse, http_response()) << each.mName;
    EXPECT_FALSE(mDefect.empty()) << each.mName;
    EXPECT_EQ(mServer.mConnections, before + 1) << each.mName;
  }
}

INSTANTIATE_TEST_SUITE_P(parts,
                         broken_http_answers,
                         testing::ValuesIn(test_support::BrokenParts()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

TEST_F(http_answers, of_unusual_form_are_accepted)
{
  for (const answer_case& each : test_support::UnusualAnswers("")) {
    mPool = std::make_unique<http_pool>(*mConnector, 4);
    const exchange_result result = Call(each);
    EXPECT_EQ(result.mState, send_state::Replied) << each.mName;
    EXPECT_EQ(result.mResponse.mBody, "x") << each.mName;
  }
}

/** The next caller got the second answer. */
TEST_F(http_answers, second_answer_belongs_to_no_request)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
  EXPECT_EQ(Call({ "two", head + "a" + head + "b" }).mResponse.mBody, "a");
  EXPECT_EQ(Call({ "one", head + "c" }).mResponse.mBody, "c");
}

} // namespace
} // namespace monsooncroft::net
