/**
 * @file fault_test.cpp
 * Faults that only real processes show, each under load.
 */
#include "process/checker.h"
#include "process/deployment.h"
#include "process/load.h"

#include <gtest/gtest.h>

#include <csignal>
#include <iostream>
#include <map>

namespace monsooncroft::process_test {
namespace {

using nlohmann::json;

constexpr int kPortBase = 26100;
constexpr int kCallers = 4;
constexpr std::size_t kSome = 60;

const std::vector<std::string> kAllKinds = { "find", "browse", "book" };

class fault : public testing::Test
{
protected:
  void SetUp() override
  {
    deployment_options options;
    options.mPortBase = kPortBase;
    mDeployment = std::make_unique<deployment>(options);
    mDeployment->Start();
  }

  /** Share of answers that are complete, of those that were replied. */
  static double Complete(const std::vector<asked>& aAsked)
  {
    std::size_t complete = 0;
    std::size_t replied = 0;
    std::map<std::string, int> others;
    for (const asked& one : aAsked) {
      replied += one.mReply.mEnd == test_support::probe_end::Replied ? 1 : 0;
      const bool whole =
        one.mReply.Ok() && one.mReply.mBody["status"] == "complete";
      complete += whole ? 1 : 0;
      if (!whole && one.mReply.mBody.is_object()) {
        ++others[one.mReply.mBody.value("status", "none") + " " +
                 one.mReply.mBody.value("reason", "")];
      }
    }
    for (const auto& [what, count] : others) {
      std::cout << "not complete: " << what << ": " << count << "\n";
    }
    return static_cast<double>(complete) / static_cast<double>(replied);
  }

  std::unique_ptr<deployment> mDeployment;
};

TEST_F(fault, killed_instance_cuts_only_its_own_and_doubles_none)
{
  load callers(*mDeployment, kAllKinds, kCallers);
  callers.WaitFor(kSome);
  callers.SetUsable(1, false);
  mDeployment->Entry(1).Kill();
  callers.WaitFor(kSome);
  const auto asked = callers.Stop();
  CheckAll(*mDeployment, asked);
  for (const auto& one : asked) {
    if (one.mEntry != 1) {
      EXPECT_EQ(one.mReply.mEnd, test_support::probe_end::Replied);
    }
  }
}

TEST_F(fault, paused_instance_wakes_and_doubles_none)
{
  load callers(*mDeployment, kAllKinds, kCallers);
  callers.WaitFor(kSome);
  callers.SetUsable(2, false);
  mDeployment->Entry(2).Signal(SIGSTOP);
  callers.WaitFor(kSome);
  mDeployment->Entry(2).Signal(SIGCONT);
  callers.WaitFor(kSome);
  CheckAll(*mDeployment, callers.Stop());
}

TEST_F(fault, stop_of_each_instance_in_turn_cuts_no_request)
{
  load callers(*mDeployment, kAllKinds, kCallers);
  for (int entry = 0; entry < mDeployment->Entries(); ++entry) {
    callers.WaitFor(kSome);
    mDeployment->Entry(entry).Signal(SIGTERM);
    // The balancer notices late that the instance is not ready.
    callers.WaitFor(kSome / 4);
    callers.SetUsable(entry, false);
    const auto end = mDeployment->Entry(entry).Wait(std::chrono::seconds(25));
    ASSERT_TRUE(end.has_value());
    EXPECT_EQ(*end, (test_support::process_end{ 0, 0 }));
    mDeployment->StartEntry(entry);
    mDeployment->List(mDeployment->Instances());
    ASSERT_TRUE(mDeployment->WaitReady(entry));
    callers.SetUsable(entry, true);
  }
  const auto asked = callers.Stop();
  EXPECT_EQ(CountCut(asked), 0U);
  EXPECT_EQ(Complete(asked), 1.0);
  CheckAll(*mDeployment, asked);
}

TEST_F(fault, platform_outage_leaves_idempotent_kinds_untouched)
{
  mDeployment->Fault({ { "down", true } });
  load callers(*mDeployment, { "find", "browse" }, kCallers);
  callers.WaitFor(kSome);
  const auto asked = callers.Stop();
  EXPECT_EQ(CountCut(asked), 0U);
  EXPECT_EQ(Complete(asked), 1.0);
  const auto book = mDeployment->Ask(0, deployment::Query("book"));
  EXPECT_NE(book.mBody["status"], "complete");
}

TEST_F(fault, lost_answers_of_the_platform_double_none)
{
  mDeployment->Fault({ { "lose_answer_after_write", 5 } });
  load callers(*mDeployment, { "book" }, kCallers);
  callers.WaitFor(kSome);
  const auto asked = callers.Stop();
  CheckAll(*mDeployment, asked);
}

TEST_F(fault, lost_leaf_is_covered_by_its_replica)
{
  mDeployment->Leaf({ { "name", "leaf-0" }, { "down", true } });
  load callers(*mDeployment, { "find", "browse" }, kCallers);
  callers.WaitFor(kSome);
  const auto asked = callers.Stop();
  CheckAll(*mDeployment, asked);
  EXPECT_EQ(Complete(asked), 1.0);
}

TEST_F(fault, lost_shard_is_named)
{
  mDeployment->Leaf({ { "name", "leaf-0" }, { "down", true } });
  mDeployment->Leaf({ { "name", "leaf-3" }, { "down", true } });
  const auto reply = mDeployment->Ask(0, deployment::Query("find"));
  ASSERT_TRUE(reply.Ok()) << reply.mText;
  EXPECT_EQ(reply.mBody["status"], "partial");
  EXPECT_EQ(reply.mBody["coverage"]["missing"], json({ "q0a", "q0b" }));
}

TEST_F(fault, rolling_index_is_never_mixed)
{
  load callers(*mDeployment, { "find" }, kCallers);
  callers.WaitFor(kSome);
  for (int version = 2; version < 5; ++version) {
    for (int leaf = 0; leaf < 6; ++leaf) {
      const std::string shard = "s" + std::to_string(leaf % 3);
      mDeployment->Leaf({ { "name", deployment::LeafName(leaf) },
                          { "versions", { { shard, { version } } } } });
      callers.WaitFor(3);
    }
  }
  callers.WaitFor(kSome);
  const auto asked = callers.Stop();
  CheckAll(*mDeployment, asked);
  EXPECT_EQ(asked.back().mReply.mBody["snapshot"], 4);
}

TEST_F(fault, foreign_and_doubled_replies_reach_nobody)
{
  load callers(*mDeployment, { "find" }, kCallers);
  mDeployment->Leaf({ { "name", "*" }, { "wrong_ids", 5 } });
  callers.WaitFor(kSome);
  mDeployment->Leaf({ { "name", "*" }, { "duplicate_reply", 5 } });
  callers.WaitFor(kSome);
  CheckAll(*mDeployment, callers.Stop());
}

TEST_F(fault, draining_leaf_gets_no_new_work)
{
  mDeployment->Leaf({ { "name", "leaf-0" }, { "draining", true } });
  load callers(*mDeployment, { "find" }, kCallers);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const json before = mDeployment->LeafStats("leaf-0");
  callers.WaitFor(kSome);
  const json after = mDeployment->LeafStats("leaf-0");
  EXPECT_EQ(after["attempts"], before["attempts"]);
  EXPECT_EQ(Complete(callers.Stop()), 1.0);
}

TEST_F(fault, leaf_listed_as_leaving_gets_no_new_work)
{
  json list = mDeployment->Instances();
  for (json& row : list) {
    row["state"] = row["id"] == "leaf-0" ? "leaving" : "live";
  }
  mDeployment->List(list);
  load callers(*mDeployment, { "find" }, kCallers);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const json before = mDeployment->LeafStats("leaf-0");
  callers.WaitFor(kSome);
  EXPECT_EQ(mDeployment->LeafStats("leaf-0")["attempts"], before["attempts"]);
  EXPECT_EQ(Complete(callers.Stop()), 1.0);
}

TEST_F(fault, silent_connections_cost_no_answer)
{
  load callers(*mDeployment, { "find" }, kCallers);
  callers.WaitFor(kSome);
  mDeployment->Leaf({ { "name", "*" }, { "silent_connections", true } });
  callers.WaitFor(2 * kSome);
  const auto asked = callers.Stop();
  EXPECT_EQ(CountCut(asked), 0U);
  CheckAll(*mDeployment, asked);
  EXPECT_EQ(asked.back().mReply.mBody["status"], "complete");
}

} // namespace
} // namespace monsooncroft::process_test
