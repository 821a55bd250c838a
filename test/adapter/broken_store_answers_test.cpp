/**
 * @file broken_store_answers_test.cpp
 * A store whose answers are not HTTP/1.1.
 */
#include "gateway/event_loop_base.h"
#include "gateway/fake_leaf.h"
#include "gateway/loop_timer_base.h"
#include "ops/bounded_sink_base.h"
#include "ops/log_base.h"
#include "store_client.h"
#include "support/answer_cases.h"

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace monsooncroft::adapter {
namespace {

using gateway::store_error;
using test_support::answer_case;
using test_support::broken_part;

class store_answers : public testing::Test
{
protected:
  store_answers()
  {
    EXPECT_EQ(::pipe2(mLogPipe.data(), O_NONBLOCK), 0);
    mSink = std::make_shared<ops::bounded_sink>(mLogPipe[1], 1U << 20U);
    mLog = std::make_unique<ops::log>("test", ops::log_level::Info, mSink);
    mServer = std::make_unique<gateway::fake_leaf>(
      mLoop, *mLog, [this](auto& aConnection, const auto& /*aRequest*/) {
        aConnection.Write(mAnswer);
      });
    mClient = std::make_unique<store_client>(mLoop, mServer->Address(), *mLog);
  }

  /** Ends the loop with the result of a call. */
  template<class T>
  gateway::control_store::callback<T> Done()
  {
    return [this](const gateway::store_result<T>& aResult) {
      const auto* error = std::get_if<store_error>(&aResult);
      mError = error == nullptr ? std::nullopt : std::optional(*error);
      mLoop.Stop();
    };
  }

  std::array<int, 2> mLogPipe{};
  gateway::event_loop mLoop;
  std::shared_ptr<ops::bounded_sink> mSink;
  std::unique_ptr<ops::log> mLog;
  std::string mAnswer;
  std::unique_ptr<gateway::fake_leaf> mServer;
  std::unique_ptr<store_client> mClient;
  std::optional<store_error> mError;
};

class broken_store_answers
  : public store_answers
  , public testing::WithParamInterface<broken_part>
{};

/** A broken answer with status 404 or 410 counted: the configuration, or the
 * history, was taken for gone. */
TEST_P(broken_store_answers, CountAsNone)
{
  const std::chrono::milliseconds wait{ 100 };
  for (const answer_case& each : GetParam().mMake("")) {
    mAnswer = each.mText;
    const auto position = mAnswer.find(" 200 OK\r\n");
    if (position != std::string::npos) {
      mAnswer.replace(position, 9, " 404 No\r\n");
    }
    mClient->ReadConfig(false, Done<gateway::config_text>());
    mLoop.Run();
    EXPECT_EQ(mError, store_error::Malformed) << each.mName;
    mClient->ReadDirectory(false, Done<serving::directory_snapshot>());
    mLoop.Run();
    EXPECT_EQ(mError, store_error::Malformed) << each.mName;
    mClient->WatchConfig({}, wait, Done<gateway::config_change>());
    mLoop.Run();
    EXPECT_EQ(mError, store_error::Malformed) << each.mName;
    mClient->WatchDirectory({}, wait, Done<serving::directory_delta>());
    mLoop.Run();
    EXPECT_EQ(mError, store_error::Malformed) << each.mName;
  }
}

TEST_F(store_answers, AreLoggedWithTheirDefect)
{
  mAnswer = "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n";
  mClient->ReadConfig(false, Done<gateway::config_text>());
  mLoop.Run();
  mSink->Drain();
  std::array<char, 1024> log{};
  const auto size = ::read(mLogPipe[0], log.data(), log.size());
  ASSERT_GT(size, 0);
  EXPECT_NE(std::string_view(log.data(), static_cast<std::size_t>(size))
              .find("status not from 100 to 599"),
            std::string_view::npos);
}

INSTANTIATE_TEST_SUITE_P(parts,
                         broken_store_answers,
                         testing::ValuesIn(test_support::BrokenParts()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

} // namespace
} // namespace monsooncroft::adapter
