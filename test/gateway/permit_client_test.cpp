/**
 * @file permit_client_test.cpp
 * Permits that arrive after the process or its machine was suspended.
 */
#include "gateway/event_loop_base.h"
#include "gateway/header_names_type.h"
#include "gateway/leaf_table_base.h"
#include "gateway/loop_timer_base.h"
#include "gateway/permit_client_base.h"
#include "gateway/permit_peers_base.h"
#include "ops/metrics_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;

/** Another instance issues the permits; the test replies for it. */
class silent_issuer : public permit_peers
{
public:
  std::optional<model::endpoint> PermitIssuer(
    const std::string& /*aServiceGroup*/,
    model::instant /*aNow*/) const override
  {
    return model::endpoint{ "127.0.0.1", 9 };
  }
  void SendPermitRequest(
    const model::endpoint& /*aTo*/,
    const serving::permit_request& aRequest,
    const std::vector<serving::leaf_limit_report>& /*aLimits*/) override
  {
    mRequests.push_back(aRequest);
  }
  void SendPermitReply(const model::endpoint& /*aTo*/,
                       const serving::permit_reply& /*aReply*/) override
  {
  }
  void SendLeafLimits(
    const std::vector<serving::leaf_limit_report>& /*aLimits*/,
    model::instant /*aNow*/) override
  {
  }
  std::size_t SendingInstances(model::instant /*aNow*/) const override
  {
    return 1'000;
  }
  double ReachableShare(model::instant /*aNow*/) const override { return 1; }

  std::vector<serving::permit_request> mRequests;
};

class ignoring_observer : public leaf_observer
{
public:
  void OnReachabilityChanged(const std::string& /*aDataCentre*/,
                             bool /*aUnreachable*/,
                             std::size_t /*aOverdue*/) override
  {
  }
  void OnConnectionOpened(const leaf_endpoint& /*aLeaf*/) override {}
  void OnExcessLatency(const leaf_endpoint& /*aLeaf*/,
                       model::duration /*aExcess*/) override
  {
  }
  void OnRateLimit(const leaf_endpoint& /*aLeaf*/,
                   std::optional<double> /*aPerSecond*/) override
  {
  }
  void OnRateLimitMalformed(const leaf_endpoint& /*aLeaf*/,
                            const std::string& /*aValue*/) override
  {
  }
  void OnAnswerMalformed(const leaf_endpoint& /*aLeaf*/,
                         const std::string& /*aRequestId*/,
                         const char* /*aDefect*/) override
  {
  }
  void OnLeavingNotice(const leaf_endpoint& /*aLeaf*/,
                       const std::string& /*aValue*/) override
  {
  }
  void OnPauseNotice(const leaf_endpoint& /*aLeaf*/,
                     const std::string& /*aValue*/) override
  {
  }
  void OnLeafError(const leaf_endpoint& /*aLeaf*/) override {}
  void OnRequestAnswered(const leaf_endpoint& /*aLeaf*/,
                         const once::content_hash& /*aContent*/,
                         model::instant /*aNow*/) override
  {
  }
  void OnLeafCrashed(const leaf_endpoint& /*aLeaf*/,
                     const once::suspicion& /*aSuspicion*/) override
  {
  }
  void OnConnectionEnded(const leaf_endpoint& /*aLeaf*/,
                         const char* /*aReason*/) override
  {
  }
};

class recording_attempt : public attempt_observer
{
public:
  void OnAttemptEnd(leaf_attempt& /*aAttempt*/, attempt_result aResult) override
  {
    mEnd = aResult.mEnd;
  }
  void OnAttemptAdmitted(leaf_attempt& /*aAttempt*/) override
  {
    mAdmitted = true;
  }
  std::size_t RequiredPermits() const override { return 1; }

  std::optional<attempt_end> mEnd;
  bool mAdmitted = false;
};

class permit_client_test : public testing::Test
{
protected:
  permit_client_test()
    : mLeaves(mLoop, mNames, mLeafObserver, "self", "dc")
    , mClient(mLoop, mLeaves, mLimits, mPeers, mMetrics, 1)
  {
    serving::leaf_registration leaf;
    leaf.mId = "leaf";
    leaf.mService = "service";
    leaf.mAddress = { "127.0.0.1", 9 };
    leaf.mDataCentre = "dc";
    serving::leaf_directory::changes changes;
    changes.mChangedLeaves = { leaf };
    const model::instant now = event_loop::Now();
    mLeaves.Apply(changes, now);
    mLimits.OnAnswer("leaf", 0, 1, now);
  }

  /** Submits an attempt and replies that it is permitted.
   * @param aLater Time after the request, in which the steady clock stood. */
  std::shared_ptr<recording_attempt> Permit(model::duration aLater)
  {
    const auto observer = std::make_shared<recording_attempt>();
    auto attempt = std::make_shared<leaf_attempt>();
    attempt->mObserver = observer;
    attempt->mRequest = std::make_shared<leaf_request>();
    attempt->mLeafId = "leaf";
    attempt->mDeadline = event_loop::Now() + std::chrono::seconds(5);
    mClient.Submit(attempt, { "service", 100, false });
    loop_timer timer(mLoop, [this] { mLoop.Stop(); });
    timer.Start(milliseconds(5));
    mLoop.Run();
    serving::permit_reply reply;
    reply.mId = mPeers.mRequests.back().mId;
    reply.mDecisions = { { true, milliseconds(0) } };
    mClient.OnReply(reply, event_loop::Now(), event_loop::BootTime() + aLater);
    return observer;
  }

  event_loop mLoop;
  header_names mNames;
  ignoring_observer mLeafObserver;
  ops::metrics mMetrics;
  leaf_table mLeaves;
  serving::leaf_limit_table mLimits;
  silent_issuer mPeers;
  permit_client mClient;
};

TEST_F(permit_client_test, APermitThatArrivesInTimeIsUsed)
{
  EXPECT_TRUE(Permit(milliseconds(0))->mAdmitted);
}

/** A machine was suspended between its request and the reply, which waited in
 * its socket: the permit was used seconds after it had been issued, together
 * with those that the issuer had granted to others meanwhile. */
TEST_F(permit_client_test, APermitIsNotUsedAfterASuspension)
{
  const auto attempt = Permit(std::chrono::seconds(3));
  EXPECT_FALSE(attempt->mAdmitted);
  EXPECT_EQ(attempt->mEnd, attempt_end::NotSent);
}

} // namespace
} // namespace monsooncroft::gateway
