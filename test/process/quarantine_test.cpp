/**
 * @file quarantine_test.cpp
 * A request that kills each backend server that runs it.
 */
#include "process/checker.h"
#include "process/deployment.h"
#include "process/load.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <thread>

namespace monsooncroft::process_test {
namespace {

using nlohmann::json;

constexpr int kPortBase = 26300;
constexpr int kLeaves = 6;
constexpr int kMostLost = 2;
constexpr int kCopies = 4; ///< Through each instance, at one time.
constexpr int kRounds = 4;
constexpr int kCallers = 3;
constexpr std::size_t kSome = 60;
constexpr const char* kDeadly = "deadly";

class quarantine : public testing::Test
{
protected:
  void SetUp() override
  {
    deployment_options options;
    options.mPortBase = kPortBase;
    mDeployment = std::make_unique<deployment>(options);
    mDeployment->Start();
    // Instances that disagree about the members disagree about the home.
    for (int entry = 0; entry < mDeployment->Entries(); ++entry) {
      ASSERT_TRUE(deployment::Eventually([&] {
        const json members = mDeployment->Status(entry)["members"];
        const auto alive = std::count_if(
          members.begin(), members.end(), [](const json& aMember) {
            return aMember["state"] == "alive";
          });
        return alive == mDeployment->Entries();
      }));
    }
    mDeployment->Leaf({ { "name", "*" }, { "crash_on_body", kDeadly } });
  }

  static json Killing(const std::string& aKind)
  {
    json query = deployment::Query(aKind);
    query["body"]["text"] = kDeadly;
    return query;
  }

  /** The killing request through every instance at once, again and again. */
  void SendAll(const std::string& aKind)
  {
    const json query = Killing(aKind);
    for (int round = 0; round < kRounds; ++round) {
      std::vector<std::thread> senders;
      for (int i = 0; i < kCopies * mDeployment->Entries(); ++i) {
        senders.emplace_back([this, query, i] {
          json own = query;
          own["request_id"] =
            query["request_id"].get<std::string>() + "-" + std::to_string(i);
          const int entry = i % mDeployment->Entries();
          const auto reply = mDeployment->Ask(entry, own);
          EXPECT_EQ(reply.mEnd, test_support::probe_end::Replied);
          EXPECT_NE(reply.mBody["status"], "complete") << reply.mText;
        });
      }
      for (std::thread& sender : senders) {
        sender.join();
      }
    }
  }

  int Crashes()
  {
    int crashes = 0;
    for (int leaf = 0; leaf < kLeaves; ++leaf) {
      crashes += mDeployment->LeafStats(deployment::LeafName(leaf))["crashes"]
                   .get<int>();
    }
    return crashes;
  }

  /** Every innocent request was answered; prints what was not complete. */
  static void CheckInnocent(const std::vector<asked>& aAsked)
  {
    std::map<std::string, int> others;
    for (const asked& one : aAsked) {
      ASSERT_EQ(one.mReply.mEnd, test_support::probe_end::Replied);
      const std::string status = one.mReply.mBody.value("status", "none");
      EXPECT_NE(one.mReply.mBody.value("reason", ""), "quarantined");
      if (status != "complete") {
        ++others[status + " " + one.mReply.mBody.value("reason", "")];
      }
    }
    std::cout << "innocent: " << aAsked.size() << "\n";
    for (const auto& [what, count] : others) {
      std::cout << "not complete: " << what << ": " << count << "\n";
    }
    ASSERT_FALSE(aAsked.empty());
  }

  /** The two leaves lost may be all replicas of one shard: it is missing until
   * they have started again, and no longer. */
  void ExpectWholeAgain(const char* aKind)
  {
    EXPECT_TRUE(deployment::Eventually([&] {
      return mDeployment->Ask(1, deployment::Query(aKind)).mBody["status"] ==
             "complete";
    }));
  }

  std::unique_ptr<deployment> mDeployment;
};

TEST_F(quarantine, killing_request_costs_two_leaves_whatever_its_way)
{
  load callers(*mDeployment, { "browse", "find" }, kCallers);
  callers.WaitFor(kSome);
  SendAll("browse");
  callers.WaitFor(kSome);
  SendAll("browse");
  const json last = mDeployment->Ask(0, Killing("browse")).mBody;
  callers.WaitFor(kSome);
  const auto asked = callers.Stop();
  EXPECT_LE(Crashes(), kMostLost);
  EXPECT_GE(Crashes(), 1);
  std::cout << "leaves lost: " << Crashes() << "\n";
  EXPECT_EQ(last["status"], "not_run");
  EXPECT_EQ(last["reason"], "quarantined");
  CheckInnocent(asked);
  CheckAll(*mDeployment, asked);
  ExpectWholeAgain("browse");
}

TEST_F(quarantine, killing_request_that_runs_at_most_once_costs_two_leaves)
{
  SendAll("book");
  EXPECT_LE(Crashes(), kMostLost);
  EXPECT_GE(Crashes(), 1);
  ExpectWholeAgain("book");
}

} // namespace
} // namespace monsooncroft::process_test
