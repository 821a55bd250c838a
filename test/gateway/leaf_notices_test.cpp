/**
 * @file leaf_notices_test.cpp
 * Leaves that say in their answers that they are leaving, or that they want no
 * request for a while.
 */
#include "instance_fixture.h"

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The end of an answer that the leaf of this test begins. */
enum class answer_end : std::uint8_t
{
  Complete,
  CutOff, ///< The connection is reset in the body.
  Late,   ///< The caller has left before.
};

struct leaving_answer
{
  const char* mName;
  int mStatus;
  const char* mFields; ///< Besides the request's id and the notice.
  answer_end mEnd;
};

class leaf_notices : public instance_fixture
{
protected:
  static std::string Answer(const http_message& aRequest,
                            int aStatus,
                            const std::string& aFields)
  {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " Status\r\nX-Id: " + *aRequest.Find("X-Id") + "\r\nX-Sig: s\r\n" +
           aFields + "Content-Length: 1\r\n\r\nx";
  }
  static fake_leaf::on_request Answering(int aStatus,
                                         const std::string& aFields)
  {
    return [=](auto& aConnection, const auto& aRequest) {
      aConnection.Write(Answer(aRequest, aStatus, aFields));
    };
  }
  /** Publishes a change of the first leaf's registration. */
  void ChangeRegistration(std::uint64_t aRevision, std::uint64_t aIncarnation)
  {
    serving::leaf_registration changed = mStore.mLeaves.front();
    changed.mRevision = aRevision;
    changed.mIncarnation = aIncarnation;
    changed.mSlots += 1; // So that it counts as changed.
    mStore.mLeaves.front() = changed;
    Publish(aRevision, { changed }, {});
  }
  /** Registers another leaf after the start of the instance. */
  fake_leaf& AddLeafLater(fake_leaf::on_request aOnRequest)
  {
    fake_leaf& leaf = AddLeaf("plain", std::move(aOnRequest));
    mStore.mLeaves.back().mRevision = mStore.mRevision + 1;
    Publish(mStore.mRevision + 1, { mStore.mLeaves.back() }, {});
    return leaf;
  }
  void Publish(std::uint64_t aRevision,
               std::vector<serving::leaf_registration> aChanged,
               std::vector<std::string> aRemoved)
  {
    for (int wait = 0; !mStore.mDirectoryWatch && wait < 100; ++wait) {
      RunFor(milliseconds(20));
    }
    const std::uint64_t before = std::exchange(mStore.mRevision, aRevision);
    const auto watch = std::exchange(mStore.mDirectoryWatch, nullptr);
    watch(serving::directory_delta{
      before, aRevision, std::move(aChanged), std::move(aRemoved) });
    RunFor(milliseconds(50));
  }
  int SendMany(int aCount, const std::string& aPrefix)
  {
    int answered = 0;
    for (int request = 0; request < aCount; ++request) {
      answered +=
        SendRequest("/one/x", aPrefix + std::to_string(request)).mStatus == 200;
    }
    return answered;
  }
};

class leaving_leaf
  : public leaf_notices
  , public testing::WithParamInterface<leaving_answer>
{};

/** A leaf that said in an answer that it leaves got further requests as long as
 * its registration did not say so. */
TEST_P(leaving_leaf, GetsNoRequestAfterAnAnswerThatSaysSo)
{
  const leaving_answer& param = GetParam();
  const std::string fields = std::string(param.mFields) + "X-Leaving: 1\r\n";
  std::vector<std::unique_ptr<loop_timer>> timers;
  fake_leaf& leaving =
    AddLeaf("plain", [&](auto& aConnection, const auto& aRequest) {
      const std::string answer = Answer(aRequest, param.mStatus, fields);
      switch (param.mEnd) {
        case answer_end::Complete:
          aConnection.Write(answer);
          return;
        case answer_end::CutOff:
          aConnection.Write(answer.substr(0, answer.size() - 1));
          timers.push_back(std::make_unique<loop_timer>(
            mLoop, [&aConnection] { aConnection.Reset(); }));
          timers.back()->Start(milliseconds(20));
          return;
        case answer_end::Late:
          mCaller.reset();
          timers.push_back(std::make_unique<loop_timer>(
            mLoop, [&aConnection, answer] { aConnection.Write(answer); }));
          timers.back()->Start(milliseconds(50));
      }
    });
  AddSingleServiceRoute(serving::repeatability::Idempotent);
  Start();
  SendRequest("/one/x", "first");
  ASSERT_EQ(leaving.mRequests, 1);
  RunFor(milliseconds(100));
  AddLeafLater(Answering(200, ""));
  EXPECT_EQ(SendMany(20, "r"), 20);
  EXPECT_EQ(leaving.mRequests, 1);
  leaving.mOnRequest = nullptr;
}

INSTANTIATE_TEST_SUITE_P(
  answers,
  leaving_leaf,
  testing::Values(
    leaving_answer{ "Success", 200, "", answer_end::Complete },
    leaving_answer{ "Failure", 500, "", answer_end::Complete },
    leaving_answer{ "NotRun", 503, "X-Not: 1\r\n", answer_end::Complete },
    leaving_answer{ "CutOff", 200, "", answer_end::CutOff },
    leaving_answer{ "Late", 200, "", answer_end::Late }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/** The registration of a leaf that leaves may be read again, or lapse and
 * return, without saying so; a leaf of the same id that has started again must
 * be used. */
TEST_F(leaf_notices, ADepartureEndsWithTheProcessThatSaidSo)
{
  fake_leaf& leaf = AddLeaf("plain", Answering(200, "X-Leaving: 1\r\n"));
  AddSingleServiceRoute(serving::repeatability::Idempotent);
  Start();
  EXPECT_EQ(SendRequest("/one/x", "r1").mStatus, 200);
  ChangeRegistration(5, 1);
  EXPECT_EQ(SendRequest("/one/x", "r2").mStatus, 503);
  const auto leaves = std::exchange(mStore.mLeaves, {});
  Publish(6, {}, { "leaf0" });
  mStore.mLeaves = leaves;
  ChangeRegistration(7, 1);
  EXPECT_EQ(SendRequest("/one/x", "r3").mStatus, 503);
  EXPECT_EQ(leaf.mRequests, 1);
  leaf.mOnRequest = Answering(200, "");
  const auto startedNow = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  ChangeRegistration(8, static_cast<std::uint64_t>(startedNow.count()));
  EXPECT_EQ(SendRequest("/one/x", "r4").mStatus, 200);
}

/** A departure named in an answer that the leaf's restart cut off counted for
 * the process that had just started. */
TEST_F(leaf_notices, ARestartThatCutsOffAnAnswerEndsTheDeparture)
{
  fake_leaf& leaf =
    AddLeaf("plain", [](auto& aConnection, const auto& aRequest) {
      aConnection.Write("HTTP/1.1 200 OK\r\nX-Id: " + *aRequest.Find("X-Id") +
                        "\r\nX-Sig: s\r\nX-Leaving: 1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
    });
  AddSingleServiceRoute(serving::repeatability::RunOnce);
  Start();
  http_channel caller(mLoop, mSettings.mCallerAddress);
  caller.Call(
    "GET /one/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Left: 900\r\n\r\n",
    seconds(2),
    [](const std::optional<http_message>& /*aAnswer*/) {});
  RunFor(milliseconds(30));
  ASSERT_EQ(leaf.mRequests, 1);
  leaf.mOnRequest = Answering(200, "");
  const auto startedNow = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  ChangeRegistration(5, static_cast<std::uint64_t>(startedNow.count()));
  EXPECT_EQ(SendRequest("/one/x", "r2").mStatus, 200);
}

/** A peer that has got no answer of the leaf learns that it is leaving. */
TEST_F(leaf_notices, PeersLearnOfADeparture)
{
  fake_leaf& leaf = AddLeaf("plain", Answering(200, "X-Leaving: 1\r\n"));
  AddSingleServiceRoute(serving::repeatability::Idempotent);
  instance_settings other = mSettings;
  other.mName = "other";
  other.mCallerAddress.mPort = 32'500;
  other.mReadinessAddress.mPort = 32'501;
  other.mPeerAddress.mPort = 32'502;
  mSettings.mSeeds = { other.mPeerAddress };
  fake_store otherStore;
  otherStore.mLeaves = mStore.mLeaves;
  otherStore.mContent = mStore.mContent;
  entry_instance peer(mLoop, other, otherStore, mLog, mMetrics, mSink);
  Start();
  RunFor(milliseconds(400));
  EXPECT_EQ(SendRequest("/one/x", "r1").mStatus, 200);
  RunFor(milliseconds(600));
  mSettings.mCallerAddress = other.mCallerAddress;
  EXPECT_EQ(SendRequest("/one/x", "r2").mStatus, 503);
  EXPECT_EQ(leaf.mRequests, 1);
}

/** A leaf that turned a request away and named a time got the next request at
 * once. */
TEST_F(leaf_notices, ALeafThatAsksForAPauseGetsNoRequest)
{
  fake_leaf& paused =
    AddLeaf("plain", Answering(503, "X-Not: 1\r\nRetry-After: 1.5\r\n"));
  AddSingleServiceRoute(serving::repeatability::Idempotent);
  Start();
  EXPECT_EQ(SendRequest("/one/x", "first").mStatus, 503);
  ASSERT_EQ(paused.mRequests, 1);
  fake_leaf& other = AddLeafLater(Answering(200, ""));
  EXPECT_EQ(SendMany(30, "r"), 30);
  EXPECT_EQ(paused.mRequests, 1);
  paused.mOnRequest = Answering(200, "");
  RunFor(milliseconds(1'500));
  other.mOnRequest = Answering(503, "X-Not: 1\r\nRetry-After: 30\r\n");
  EXPECT_EQ(SendMany(10, "s"), 10);
  EXPECT_GT(paused.mRequests, 1);
}

/** While all leaves of a service pause, requests waited for their deadline;
 * they are refused at once, and told when a leaf accepts them again. */
TEST_F(leaf_notices, RequestsAreRefusedAtOnceWhileAllLeavesPause)
{
  fake_leaf& leaf =
    AddLeaf("plain", Answering(503, "X-Not: 1\r\nRetry-After: 2.5\r\n"));
  AddSingleServiceRoute(serving::repeatability::RunOnce);
  Start();
  EXPECT_EQ(SendRequest("/one/x", "r1").mStatus, 503);
  const model::instant start = event_loop::Now();
  const http_message refused = SendRequest("/one/x", "r2");
  EXPECT_LT(event_loop::Now() - start, milliseconds(200));
  EXPECT_EQ(refused.mStatus, 503);
  ASSERT_NE(refused.Find("Retry-After"), nullptr);
  EXPECT_GT(std::stod(*refused.Find("Retry-After")), 2.0);
  EXPECT_LT(std::stod(*refused.Find("Retry-After")), 3.0);
  EXPECT_EQ(leaf.mRequests, 1);
}

/** A fan-out that may leave a shard out is answered without the one whose
 * leaves pause; one that may not is refused before any leaf runs it. */
TEST_F(leaf_notices, AFanOutLeavesOutAShardThatPauses)
{
  fake_leaf& running = AddLeaf("s1", Answering(200, ""));
  fake_leaf& paused =
    AddLeaf("s2", Answering(503, "X-Not: 1\r\nRetry-After: 5\r\n"));
  AddFanOutRoute({ "s1", "s2" }, 0.5);
  AddFanOutRoute({ "s1", "s2" }, 1);
  mStore.mContent.mRoutes.back().mName = "whole";
  mStore.mContent.mRoutes.back().mPrefix = "/whole/";
  Start();
  EXPECT_EQ(SendRequest("/all/x", "r1").mStatus, 200);
  const http_message partial = SendRequest("/all/x", "r2");
  EXPECT_EQ(partial.mStatus, 200);
  EXPECT_EQ(*partial.Find("X-Missing"), "1");
  EXPECT_EQ(paused.mRequests, 1);
  running.mRequests = 0;
  const http_message refused = SendRequest("/whole/x", "r3");
  EXPECT_EQ(refused.mStatus, 503);
  EXPECT_GT(std::stod(*refused.Find("Retry-After")), 3.0);
  EXPECT_EQ(running.mRequests, 0);
}

/** A time that is no time, or absurdly long, must not keep a leaf out of use
 * for long or end a connection. */
TEST_F(leaf_notices, UnreadableTimesAreIgnoredAndLongOnesAreCut)
{
  mSettings.mQuery.mMaxLeafPause = milliseconds(300);
  fake_leaf& leaf = AddLeaf("plain", Answering(200, ""));
  AddSingleServiceRoute(serving::repeatability::RunOnce);
  mStore.mContent.mRoutes.back().mMaxAttempts = 1;
  Start();
  int arrived = 0;
  for (const char* value : { "soon", "-5", "nan", "inf", "", "1 2", "0" }) {
    leaf.mOnRequest =
      Answering(503, std::string("X-Not: 1\r\nRetry-After: ") + value + "\r\n");
    SendRequest("/one/x", "r");
    EXPECT_EQ(leaf.mRequests, ++arrived) << value;
  }
  for (const char* value : { "1e300", "86400" }) {
    leaf.mOnRequest =
      Answering(503, std::string("X-Not: 1\r\nRetry-After: ") + value + "\r\n");
    SendRequest("/one/x", "r");
    EXPECT_EQ(leaf.mRequests, ++arrived) << value;
    SendRequest("/one/x", "paused");
    EXPECT_EQ(leaf.mRequests, arrived) << value;
    RunFor(milliseconds(350));
  }
  leaf.mOnRequest = Answering(200, "X-Leaving: perhaps\r\n");
  EXPECT_EQ(SendMany(3, "r"), 3);
  EXPECT_EQ(mLeaves.front()->mConnections.size(), 1U);
}

} // namespace
} // namespace monsooncroft::gateway
