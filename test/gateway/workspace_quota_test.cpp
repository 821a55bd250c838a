/**
 * @file workspace_quota_test.cpp
 * Requests that are charged to quotas, with decisions at once and later.
 */
#include "workspace_fixture.h"

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;

class workspace_quota_test : public workspace_fixture
{
protected:
  void StartWithQuotas()
  {
    Start();
    mInstance->SetAdmission(mAdmission);
  }
  /** Sends a request whose quota is not decided on yet. */
  void SendHeld(int aRemainingMs)
  {
    mAdmission.mHolds = true;
    SendInBackground(Key("key-3"), aRemainingMs);
    RunFor(milliseconds(50));
    ASSERT_EQ(mAdmission.mHeld.size(), 1U);
    ASSERT_FALSE(mAnswer);
  }
  int Status() const { return mAnswer ? mAnswer->mStatus : 0; }

  fake_admission mAdmission;
};

TEST_F(workspace_quota_test, EachRequestIsChargedOnce)
{
  StartWithQuotas();
  EXPECT_EQ(Send("key-3").mStatus, 200);
  EXPECT_EQ(Send("key-3").mStatus, 200);
  EXPECT_EQ(mAdmission.mCharged, (std::vector<std::string>{ "bolt", "bolt" }));
}

/** Guards against charges for requests that do not run, and for workspaces
 * without a quota. */
TEST_F(workspace_quota_test, RefusedAndUnlimitedRequestsAreNotCharged)
{
  StartWithQuotas();
  EXPECT_EQ(Send("key-1").mStatus, 200); // Without a limit.
  EXPECT_EQ(Send("unknown").mStatus, 401);
  EXPECT_EQ(Send("key-3", "/none/x").mStatus, 404);
  EXPECT_EQ(Send("key-3", "/open/x").mStatus, 200);
  EXPECT_EQ(SendRequest("/one/x", "", Key("key-3")).mStatus, 400);
  EXPECT_TRUE(mAdmission.mCharged.empty());
}

TEST_F(workspace_quota_test, ARequestOverTheQuotaIsRefusedWithATime)
{
  StartWithQuotas();
  mAdmission.mDecision = { false, milliseconds(1'250) };
  const http_message answer = Send("key-3");
  EXPECT_EQ(answer.mStatus, 429);
  EXPECT_EQ(*answer.Find("Retry-After"), "1.250");
  EXPECT_TRUE(mReceived.empty());
  const std::string log = ReadLog();
  EXPECT_NE(log.find("\"workspace\":\"bolt\""), std::string::npos);
  EXPECT_NE(mMetrics.Exposition().find(
              "workspace_over_quota_total{workspace=\"bolt\"} 1"),
            std::string::npos);
}

/** Guards against refusals that an operator cannot attribute to a workspace. */
TEST_F(workspace_quota_test, RequestsAndRefusalsAreCountedByWorkspace)
{
  StartWithQuotas();
  Send("key-3");
  Send("key-3");
  mLeaves.front()->mOnRequest = [](auto& aConnection, const auto& aRequest) {
    aConnection.Write("HTTP/1.1 503 Full\r\nX-Id: " + *aRequest.Find("X-Id") +
                      "\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n");
  };
  EXPECT_EQ(Send("key-1").mStatus, 503);
  const std::string metrics = mMetrics.Exposition();
  const auto contains = [&](const std::string& aLine) {
    return metrics.find("monsooncroft_workspace_" + aLine + "\n") !=
           std::string::npos;
  };
  EXPECT_TRUE(contains("requests_total{workspace=\"bolt\"} 2")) << metrics;
  EXPECT_TRUE(contains("requests_total{workspace=\"acme\"} 1")) << metrics;
  EXPECT_TRUE(contains("refusals_total{reason=\"refused by the leaf\","
                       "workspace=\"acme\"} 1"))
    << metrics;
  EXPECT_NE(ReadLog().find("\"workspace\":\"acme\""), std::string::npos);
}

TEST_F(workspace_quota_test, ADecisionMayComeLater)
{
  StartWithQuotas();
  SendHeld(900);
  EXPECT_TRUE(mReceived.empty());
  mAdmission.Decide({});
  RunFor(milliseconds(50));
  EXPECT_EQ(Status(), 200);
  SendHeld(900);
  mAdmission.Decide({ false, milliseconds(10) });
  RunFor(milliseconds(50));
  EXPECT_EQ(Status(), 429);
  EXPECT_EQ(mReceived.size(), 1U);
}

/** A request whose caller had left ran nevertheless. */
TEST_F(workspace_quota_test, ACallerThatLeftIsNotServed)
{
  StartWithQuotas();
  SendHeld(900);
  mCaller->Cancel();
  RunFor(milliseconds(50));
  mAdmission.Decide({});
  RunFor(milliseconds(50));
  EXPECT_TRUE(mReceived.empty());
}

TEST_F(workspace_quota_test, ADecisionAfterTheDeadlineHasNoEffect)
{
  StartWithQuotas();
  SendHeld(100);
  RunFor(milliseconds(100));
  EXPECT_EQ(Status(), 503); // It has not run and never will.
  mAdmission.Decide({});
  RunFor(milliseconds(50));
  EXPECT_TRUE(mReceived.empty());
}

/** A key that was withdrawn during the decision still let its request run. */
TEST_F(workspace_quota_test, TheConfigurationMayChangeDuringTheDecision)
{
  StartWithQuotas();
  SendHeld(900);
  auto changed = mStore.mContent;
  changed.mVersion = 2;
  changed.mWorkspaces = { { "acme", { "key-1" }, {}, {}, 0, 0, {} },
                          { "core", { "key-3" }, {}, {}, 5, 1, {} } };
  mStore.PublishConfig(changed);
  mAdmission.Decide({});
  RunFor(milliseconds(80)); // The watch starts again.
  // Moved to another workspace, whose quota counts.
  EXPECT_EQ(mAdmission.mCharged, (std::vector<std::string>{ "bolt", "core" }));
  changed.mVersion = 3;
  changed.mWorkspaces.pop_back();
  mStore.PublishConfig(changed);
  mAdmission.Decide({});
  RunFor(milliseconds(400));
  EXPECT_EQ(Status(), 401);
  EXPECT_TRUE(mReceived.empty());
}

TEST_F(workspace_quota_test, AnInstanceStopsDuringADecision)
{
  StartWithQuotas();
  SendHeld(900);
  mInstance.reset();
  RunFor(milliseconds(50));
  EXPECT_TRUE(mReceived.empty());
}

} // namespace
} // namespace monsooncroft::gateway
