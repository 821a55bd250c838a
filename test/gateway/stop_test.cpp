/**
 * @file stop_test.cpp
 * Requests that an instance has not answered when it stops.
 */
#include "workspace_fixture.h"

#include <map>
#include <thread>

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Requests in the background, and the time at which the instance exits. */
class stop_test : public instance_fixture
{
protected:
  stop_test() { mSettings.mStopBound = milliseconds(1'200); }

  void Send(const std::string& aId)
  {
    mCallers.push_back(
      std::make_unique<http_channel>(mLoop, mSettings.mCallerAddress));
    mCallers.back()->Call("GET /one/" + aId + " HTTP/1.1\r\nHost: h\r\nX-Id: " +
                            aId + "\r\nX-Left: 5000\r\n\r\n",
                          seconds(9),
                          [this, aId](std::optional<http_message> aAnswer) {
                            mAnswers[aId] =
                              std::move(aAnswer).value_or(http_message{});
                          });
    RunFor(milliseconds(30));
  }
  /** Stops the instance and returns when the process would exit. */
  void StopAndWait()
  {
    const model::instant start = event_loop::Now();
    mInstance->Stop("test");
    RunFor(seconds(3)); // The instance stops the loop when it exits.
    EXPECT_LT(event_loop::Now() - start, mSettings.mStopBound);
  }
  void AddRoute(serving::repeatability aRepeatability)
  {
    AddSingleServiceRoute(aRepeatability);
    mStore.mContent.mRoutes.back().mTimeout = seconds(5);
  }

  std::map<std::string, http_message> mAnswers; ///< By request; status 0: none.
  std::vector<std::unique_ptr<http_channel>> mCallers;
  std::vector<std::unique_ptr<loop_timer>> mTimers;
};

/** Guards against callers whose connection ends without an answer: a request
 * waited for a busy leaf until the instance exited (LOST). It has not run, and
 * its caller needs time for another instance. */
TEST_F(stop_test, ARequestThatWaitsForALeafIsRefused)
{
  std::vector<std::string> run;
  AddLeaf("plain", [&](auto& /*aConnection*/, const auto& aRequest) {
    run.push_back(*aRequest.Find("X-Id"));
  });
  AddRoute(serving::repeatability::RunOnce);
  mStore.mContent.mServices["plain"] = { 1 };
  Start();
  Send("sent");
  Send("waits");
  StopAndWait();
  EXPECT_EQ(run, std::vector<std::string>{ "sent" });
  ASSERT_EQ(mAnswers.size(), 2U);
  EXPECT_EQ(mAnswers["waits"].mStatus, 503);
  EXPECT_NE(mAnswers["waits"].Find("Retry-After"), nullptr);
  // It may have run, so that nothing is promised.
  EXPECT_EQ(mAnswers["sent"].mStatus, 502);
}

/** Guards against requests that are cut since the process did not run when it
 * should have answered them: on a busy machine, its next step was the exit. */
TEST_F(stop_test, AProcessThatRunsLateAnswersBeforeItExits)
{
  AddLeaf("plain", [](auto& /*aConnection*/, const auto& /*aRequest*/) {});
  AddRoute(serving::repeatability::Idempotent);
  mStore.mContent.mServices["plain"] = { 1 };
  Start();
  Send("sent");
  Send("waits");
  mInstance->Stop("test");
  RunFor(milliseconds(100));
  std::this_thread::sleep_for(mSettings.mStopBound - milliseconds(200));
  // Each tick stops the loop once the process would exit.
  for (int round = 0; round < 10; ++round) {
    RunFor(milliseconds(20));
  }
  EXPECT_EQ(mAnswers["waits"].mStatus, 503);
  EXPECT_EQ(mAnswers["sent"].mStatus, 502);
}

/** Guards against answers of leaves that are not waited for although there is
 * time until the exit. */
TEST_F(stop_test, ARequestAtALeafIsWaitedFor)
{
  AddLeaf("plain", [&](auto& aConnection, const auto& aRequest) {
    mTimers.push_back(std::make_unique<loop_timer>(
      mLoop, [&aConnection, answer = OkAnswer(aRequest, "s", "x")] {
        aConnection.Write(answer);
      }));
    mTimers.back()->Start(milliseconds(500));
  });
  AddRoute(serving::repeatability::Idempotent);
  Start();
  Send("slow");
  StopAndWait();
  EXPECT_EQ(mAnswers["slow"].mStatus, 200);
}

class workspace_stop_test : public workspace_fixture
{
protected:
  workspace_stop_test()
  {
    mSettings.mStopBound = milliseconds(1'200);
    for (serving::route& route : mStore.mContent.mRoutes) {
      route.mTimeout = seconds(5);
    }
  }
};

/** As ARequestThatWaitsForALeafIsRefused, for one that waits for the decision
 * on its quota. It must not run after its refusal. */
TEST_F(workspace_stop_test, ARequestThatWaitsForItsQuotaIsRefused)
{
  Start();
  fake_admission admission;
  admission.mHolds = true;
  mInstance->SetAdmission(admission);
  SendInBackground(Key("key-3"), 5'000);
  RunFor(milliseconds(50));
  ASSERT_EQ(admission.mHeld.size(), 1U);
  mInstance->Stop("test");
  RunFor(seconds(3)); // The instance stops the loop when it exits.
  ASSERT_TRUE(mAnswer);
  EXPECT_EQ(mAnswer->mStatus, 503);
  admission.Decide({ true, {} });
  RunFor(milliseconds(20));
  EXPECT_TRUE(mReceived.empty());
}

} // namespace
} // namespace monsooncroft::gateway
