/**
 * @file tables_test.cpp
 * Budgets, rate limits, latency estimates and the tables of leaf state.
 */
#include "policy/drain_table_base.h"
#include "policy/hedge_delay_base.h"
#include "policy/replica_chooser_base.h"
#include "policy/snapshot_view_base.h"
#include "policy/token_bucket_budget_base.h"
#include "policy/warmup_table_base.h"
#include "policy/workspace_limiter_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::policy {
namespace {

using namespace std::chrono_literals;
using model::leaf_id;
using model::shard_id;

const model::instant kStart{ 100s };
const leaf_id kLeaf("leaf");
const boot_id kFirstBoot("first");
const boot_id kSecondBoot("second");

TEST(token_bucket_budget, extra_attempts_stay_a_fraction_of_first_ones)
{
  token_bucket_budget budget(0.05, 2);
  int extra = 0;
  for (int send = 0; send < 1000; ++send) {
    budget.OnFirstAttempt();
    extra += budget.TryTake() ? 1 : 0;
  }
  EXPECT_GE(extra, 50);
  EXPECT_LE(extra, 52);
}

TEST(latency_tracker, estimate_covers_the_previous_window)
{
  latency_tracker tracker(0.95, 5s);
  const quantile_hedge hedge(tracker, 4ms);
  EXPECT_FALSE(hedge.HedgeDelay());
  for (int each = 0; each < 1000; ++each) {
    tracker.Add(model::duration(10 * (each * 7919 % 1000)), kStart);
  }
  ASSERT_TRUE(tracker.Quantile());
  EXPECT_NEAR(double(tracker.Quantile()->count()), 9500, 200);
  for (int each = 0; each < 100; ++each) {
    tracker.Add(1ms, kStart + 5s);
  }
  EXPECT_NEAR(double(tracker.Quantile()->count()), 9500, 200);
  tracker.Add(1ms, kStart + 10s);
  EXPECT_EQ(tracker.Quantile(), model::duration(1ms));
  EXPECT_EQ(hedge.HedgeDelay(), model::duration(4ms));
}

TEST(workspace_limiter, instances_share_a_rate)
{
  const model::workspace_id workspace("t");
  workspace_limiter limiter;
  limiter.SetWorkspaces({ model::workspace{ workspace, 1, 90, 9 } });
  limiter.SetInstanceCount(9);
  int taken = 0;
  for (auto now = kStart; now < kStart + 10s; now += 10ms) {
    taken += limiter.TryTake(workspace, now) ? 1 : 0;
  }
  EXPECT_NEAR(taken, 100, 2);
  const auto wait = limiter.RetryAfter(workspace, kStart + 10s);
  EXPECT_FALSE(limiter.TryTake(workspace, kStart + 10s + wait - 1us));
  EXPECT_TRUE(limiter.TryTake(workspace, kStart + 10s + wait));
  EXPECT_TRUE(limiter.TryTake(model::workspace_id("free"), kStart));
}

TEST(warmup_table, load_ramps_up_only_after_a_restart)
{
  warmup_table table(4s);
  table.OnReply(kLeaf, kFirstBoot, kStart);
  EXPECT_EQ(table.LoadShare(kLeaf, kStart), 1);
  table.OnReply(kLeaf, kSecondBoot, kStart);
  table.OnReply(kLeaf, kSecondBoot, kStart + 1s);
  EXPECT_EQ(table.LoadShare(kLeaf, kStart), 0.1);
  EXPECT_EQ(table.LoadShare(kLeaf, kStart + 2s), 0.5);
  EXPECT_EQ(table.LoadShare(kLeaf, kStart + 4s), 1);
}

TEST(replica_chooser, no_leaving_then_local_then_remote_then_suspected)
{
  replica_chooser chooser(3);
  const auto name = [](const char* aName) { return target_id(aName); };
  std::vector<replica_state> states(5);
  states[0] = { name("far"), false, false, false, 1, 0ms };
  states[1] = { name("gone"), true, true, false, 1, 0ms };
  states[2] = { name("sick"), true, false, true, 1, 0ms };
  states[3] = { name("busy"), true, false, false, 1, 9ms };
  states[4] = { name("free"), true, false, false, 1, 1ms };
  for (int round = 0; round < 50; ++round) {
    EXPECT_EQ(
      chooser.Order(states),
      (std::vector{ name("free"), name("busy"), name("far"), name("sick") }));
  }
}

TEST(replica_chooser, starting_leaf_comes_first_as_often_as_its_share)
{
  replica_chooser chooser(3);
  const std::vector<replica_state> states{
    { target_id("cold"), true, false, false, 0.25, 0ms },
    { target_id("warm"), true, false, false, 1, 9ms }
  };
  int first = 0;
  for (int round = 0; round < 1000; ++round) {
    first += chooser.Order(states)[0] == target_id("cold") ? 1 : 0;
  }
  EXPECT_NEAR(first, 250, 40);
}

TEST(drain_table, each_signal_ends_by_its_own_rule)
{
  drain_table table;
  table.OnInstanceList(kLeaf, true, kStart);
  table.OnReply(kLeaf, kFirstBoot, true, kStart);
  table.OnInstanceList(kLeaf, false, kStart);
  EXPECT_EQ(table.Eligibility(kLeaf, kStart), leaf_eligibility::Leaving);
  table.OnReply(kLeaf, kFirstBoot, false, kStart + 1s);
  EXPECT_EQ(table.Eligibility(kLeaf, kStart + 1s), leaf_eligibility::Leaving);
  table.OnReply(kLeaf, kSecondBoot, false, kStart + 2s);
  EXPECT_EQ(table.Eligibility(kLeaf, kStart + 2s), leaf_eligibility::Usable);
  table.OnInstanceList(kLeaf, true, kStart + 3s);
  table.OnReply(kLeaf, kSecondBoot, false, kStart + 4s);
  EXPECT_EQ(table.Eligibility(kLeaf, kStart + 4s), leaf_eligibility::Leaving);
}

TEST(drain_table, refused_connection_is_probed_after_a_pause)
{
  drain_table table;
  table.OnConnectionRefused(kLeaf, kStart);
  EXPECT_EQ(table.Eligibility(kLeaf, kStart + 999ms),
            leaf_eligibility::Leaving);
  EXPECT_EQ(table.Eligibility(kLeaf, kStart + 1s), leaf_eligibility::Probe);
  table.OnProbe(kLeaf, kStart + 1s);
  EXPECT_EQ(table.Eligibility(kLeaf, kStart + 1s), leaf_eligibility::Leaving);
  table.OnReply(kLeaf, kFirstBoot, false, kStart + 1100ms);
  EXPECT_EQ(table.Eligibility(kLeaf, kStart + 1100ms),
            leaf_eligibility::Usable);
}

TEST(drain_table, mark_is_merged_and_not_restored_after_a_restart)
{
  drain_table here;
  drain_table there;
  here.OnReply(kLeaf, kFirstBoot, true, kStart);
  const auto marks = here.Marks(kStart + 1s);
  ASSERT_EQ(marks.size(), 1U);
  there.Merge(marks[0], kStart + 50s); // The clocks differ.
  EXPECT_EQ(there.Eligibility(kLeaf, kStart + 50s), leaf_eligibility::Leaving);
  there.OnReply(kLeaf, kSecondBoot, false, kStart + 51s);
  there.Merge(here.Marks(kStart + 3s)[0], kStart + 52s);
  EXPECT_EQ(there.Eligibility(kLeaf, kStart + 52s), leaf_eligibility::Usable);
}

model::service
ThreeShards()
{
  model::service out;
  for (const char* each : { "s1", "s2", "s3" }) {
    out.mShards.push_back({ shard_id(each),
                            { model::coverage_name(each) },
                            { leaf_id("a"), leaf_id("b") } });
  }
  return out;
}

TEST(snapshot_view, coverage_goes_before_version)
{
  const model::service service = ThreeShards();
  snapshot_view view;
  EXPECT_FALSE(view.PickVersion(service, 1));
  for (const char* each : { "s1", "s2", "s3" }) {
    view.OnHeldVersions(shard_id(each), leaf_id("a"), { 4, 5 }, kStart);
  }
  EXPECT_EQ(view.PickVersion(service, 1), 5U);
  view.OnHeldVersions(shard_id("s1"), leaf_id("a"), { 5, 6 }, kStart);
  view.OnHeldVersions(shard_id("s2"), leaf_id("b"), { 6 }, kStart);
  EXPECT_EQ(view.PickVersion(service, 1), 5U);
  EXPECT_EQ(view.NextAfterNotHeld(service, 5), 6U);
  EXPECT_EQ(view.NextAfterNotHeld(service, 6), 5U);
  view.Forget(leaf_id("a"));
  EXPECT_EQ(view.PickVersion(service, 1), 6U);
  view.ForgetStale(kStart + 30s);
  EXPECT_FALSE(view.PickVersion(service, 1));
}

} // namespace
} // namespace monsooncroft::policy
