/**
 * @file leaf_client_test.cpp
 * Reported outcomes of attempts, selection of connections, and connections
 * that stop replying.
 */
#include "fake_connector.h"
#include "link/leaf_client_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::link {
namespace {

using namespace std::chrono_literals;
using model::attempt_outcome;
using net::exchange_error;
using net::send_state;

std::string
Reply(const std::string& aAttempt,
      const std::string& aOutcome,
      const std::string& aMore)
{
  return R"({"request_id":"r","attempt_id":")" + aAttempt +
         R"(","shard":"s","outcome":")" + aOutcome +
         R"(","boot_id":"b","draining":false,)"
         R"("load":{"running":1,"queued":0,"slots":2},"held":[3,4])" +
         aMore + "}";
}

const std::string kOk = R"(,"snapshot":4,"result":[1])";
const std::string kState =
  R"({"boot_id":"b","draining":false,"load":{"running":0,"queued":0,"slots":2},"held":{}})";

class leaf_client_test : public testing::Test
{
protected:
  leaf_client_test()
  {
    connection_settings settings;
    settings.mLimit = 3;
    mClient = leaf_client::Create(
      mConnector, model::leaf{}, settings, [this] { return mNow; });
  }

  void Execute(const std::string& aAttempt, bool aIdempotent = true)
  {
    execute_request request;
    request.mRequest = model::request_id("r");
    request.mAttempt = model::attempt_id(aAttempt);
    request.mShard = model::shard_id("s");
    request.mSnapshot = 4;
    request.mRemaining = 100ms;
    request.mIdempotent = aIdempotent;
    request.mBody = "{}";
    mClient->Execute(
      request,
      100ms,
      [this] { return mMaySend; },
      [this](const auto& aEnd) { mEnds.push_back(aEnd); });
  }

  fake_connection& Made(std::size_t aNumber)
  {
    return *mConnector.mMade.at(aNumber);
  }
  void ReplyOk(std::size_t aConnection, const std::string& aAttempt)
  {
    Made(aConnection).Reply(net::kHttpOk, Reply(aAttempt, "ok", kOk));
  }
  attempt_outcome Last() const { return mEnds.back().mResult.mOutcome; }

  fake_connector mConnector;
  model::instant mNow{ 1h };
  bool mMaySend = true;
  std::vector<attempt_end> mEnds;
  std::shared_ptr<leaf_client> mClient;
};

TEST_F(leaf_client_test, outcomes_are_what_the_leaf_said)
{
  const std::string reason = R"(,"reason":"shedding")";
  Execute("1");
  ReplyOk(0, "1");
  EXPECT_EQ(Last(), attempt_outcome::Ok);
  EXPECT_EQ(mEnds.back().mResult.mResult, "[1]");
  EXPECT_EQ(mEnds.back().mReport->mHeld,
            (std::vector<model::index_version>{ 3, 4 }));
  Execute("2");
  Made(0).Reply(net::kHttpUnavailable, Reply("2", "refused", reason));
  EXPECT_EQ(Last(), attempt_outcome::Refused);
  EXPECT_EQ(mEnds.back().mResult.mReason, "shedding");
  Execute("3");
  Made(0).Reply(net::kHttpOk, Reply("3", "not_held", ""));
  EXPECT_EQ(Last(), attempt_outcome::NotHeld);
  Execute("4");
  Made(0).Reply(net::kHttpServerError, Reply("4", "error", reason));
  EXPECT_EQ(Last(), attempt_outcome::Error);
  EXPECT_EQ(mConnector.mMade.size(), 1U) << "one connection carried all";
}

TEST_F(leaf_client_test, wrong_snapshot_is_an_error_never_a_result)
{
  Execute("1");
  Made(0).Reply(net::kHttpOk,
                Reply("1", "ok", R"(,"snapshot":3,"result":[1])"));
  EXPECT_EQ(Last(), attempt_outcome::Error);
  EXPECT_EQ(mEnds.back().mResult.mResult, "");
}

TEST_F(leaf_client_test,
       reply_of_another_attempt_is_dropped_with_its_connection)
{
  Execute("2");
  ReplyOk(0, "1");
  EXPECT_EQ(Last(), attempt_outcome::Lost);
  EXPECT_FALSE(mEnds.back().mReport);
  EXPECT_TRUE(Made(0).mClosed);
}

TEST_F(leaf_client_test, bad_replies_prove_nothing)
{
  const std::string deep(100000, '[');
  const std::vector<std::pair<int, std::string>> replies = {
    { net::kHttpUnavailable, "" },
    { net::kHttpUnavailable, "{}" },
    { net::kHttpOk, Reply("1", "refused", R"(,"reason":"x")") },
    { net::kHttpUnavailable, Reply("1", "ok", kOk) },
    { net::kHttpOk, Reply("1", "ok", R"(,"snapshot":-4,"result":[])") },
    { net::kHttpOk, Reply("1", "ok", R"(,"snapshot":4)") },
    { net::kHttpOk, Reply("1", "ok", R"(,"snapshot":4,"result":)" + deep) },
    { net::kHttpOk,
      Reply("1",
            "ok",
            R"(,"snapshot":4,"result":)" + deep + std::string(100000, ']')) },
    { net::kHttpOk, Reply("1", "ok", kOk + R"(,"held":[4,3])") },
    { net::kHttpOk, "\xff" },
  };
  for (std::size_t i = 0; i < replies.size(); ++i) {
    Execute("1");
    Made(i).Reply(replies[i].first, replies[i].second);
    EXPECT_EQ(Last(), attempt_outcome::Lost) << i;
    EXPECT_TRUE(Made(i).mClosed) << i;
  }
}

TEST_F(leaf_client_test, failures_say_how_far_it_came)
{
  Execute("1");
  Made(0).End(send_state::NotSent, exchange_error::ConnectRefused);
  EXPECT_EQ(Last(), attempt_outcome::NotSent);
  EXPECT_TRUE(mEnds.back().mConnectRefused);
  EXPECT_FALSE(mEnds.back().mConnectionDied);
  Execute("2");
  Made(1).End(send_state::MaybeSent, exchange_error::Closed);
  EXPECT_EQ(Last(), attempt_outcome::Lost);
  EXPECT_TRUE(mEnds.back().mConnectionDied);
  mMaySend = false;
  Execute("3");
  EXPECT_EQ(Last(), attempt_outcome::NotSent);
  EXPECT_EQ(mEnds.back().mResult.mReason, kReasonExpired);
  EXPECT_EQ(mClient->Connections(), 0U);
}

TEST_F(leaf_client_test, limit_holds_and_the_most_recently_used_goes_first)
{
  for (const char* attempt : { "1", "2", "3", "4" }) {
    Execute(attempt);
  }
  EXPECT_EQ(Last(), attempt_outcome::NotSent);
  EXPECT_EQ(mEnds.back().mResult.mReason, kReasonNoConnection);
  for (const std::size_t next : { 2, 0, 1 }) {
    mNow += 1ms;
    ReplyOk(next, std::to_string(next + 1));
  }
  Execute("5");
  EXPECT_EQ(Made(1).mSent.size(), 2U);
  mNow += 2min;
  mClient->OnTimer();
  EXPECT_TRUE(Made(0).mClosed && Made(2).mClosed);
  mClient->SetLimit(0);
  EXPECT_FALSE(Made(1).mClosed) << "still busy";
  ReplyOk(1, "5");
  EXPECT_TRUE(Made(1).mClosed);
}

TEST_F(leaf_client_test, silent_connections_are_passed_over_and_then_retired)
{
  Execute("1");
  Execute("2");
  ReplyOk(0, "1");
  ReplyOk(1, "2");
  mNow += 1s;
  Execute("3"); // On the second connection, which no longer replies.
  Execute("4"); // On the first connection.
  mNow += 100ms;
  Made(1).End(send_state::MaybeSent, exchange_error::Timeout);
  EXPECT_TRUE(Made(1).mClosed);
  Execute("5");
  ASSERT_EQ(mConnector.mMade.size(), 3U);
  mNow += 1ms;
  ReplyOk(2, "5");
  Made(0).End(send_state::MaybeSent, exchange_error::Timeout);
  EXPECT_TRUE(Made(0).mClosed);
  Execute("6");
  EXPECT_EQ(Made(2).mSent.size(), 2U) << "the live one is kept";
}

TEST_F(leaf_client_test, idle_connections_in_doubt_are_not_used_again)
{
  Execute("1");
  Execute("2");
  ReplyOk(0, "1");
  ReplyOk(1, "2");
  mNow += 1s;
  Execute("3");
  mNow += 100ms;
  Made(1).End(send_state::MaybeSent, exchange_error::Timeout);
  Execute("4");
  ASSERT_EQ(mConnector.mMade.size(), 3U) << "not on the idle first one";
  EXPECT_FALSE(Made(0).mClosed) << "no newer one has shown life yet";
  mNow += 1ms;
  ReplyOk(2, "4");
  EXPECT_TRUE(Made(0).mClosed);
  EXPECT_EQ(mClient->Connections(), 1U);
}

TEST_F(leaf_client_test, idle_connection_is_proved_before_a_non_idempotent_use)
{
  Execute("1");
  ReplyOk(0, "1");
  mNow += 6s;
  Execute("2", false);
  EXPECT_EQ(Made(0).mSent.back().mTarget, kStateTarget);
  mNow += 10ms;
  Made(0).Reply(net::kHttpOk, kState);
  EXPECT_EQ(Made(0).mSent.back().mTarget, kExecuteTarget);
  EXPECT_NE(Made(0).mSent.back().mBody.find(R"("remaining_ms":90)"),
            std::string::npos);
  ReplyOk(0, "2");
  mNow += 6s;
  Execute("3", false);
  Made(0).End(send_state::MaybeSent, exchange_error::Timeout);
  ASSERT_EQ(mConnector.mMade.size(), 2U);
  EXPECT_EQ(Made(1).mSent.back().mTarget, kExecuteTarget);
  ReplyOk(1, "3");
  EXPECT_EQ(Last(), attempt_outcome::Ok);
}

TEST_F(leaf_client_test, closed_idle_connection_is_replaced_when_no_byte_left)
{
  Execute("1");
  ReplyOk(0, "1");
  Execute("2", false);
  Made(0).End(send_state::NotSent, exchange_error::Closed);
  ASSERT_EQ(mConnector.mMade.size(), 2U);
  ReplyOk(1, "2");
  EXPECT_EQ(Last(), attempt_outcome::Ok);
  EXPECT_EQ(mEnds.size(), 2U);
}

} // namespace
} // namespace monsooncroft::link
