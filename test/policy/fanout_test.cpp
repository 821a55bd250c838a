/**
 * @file fanout_test.cpp
 * Effects of each event of a fan-out, merging of results and the final status.
 */
#include "policy/answer_func.h"
#include "policy/fanout_base.h"
#include "policy/hedge_base.h"
#include "policy/merge_func.h"

#include <gtest/gtest.h>

namespace monsooncroft::policy {
namespace {

using model::attempt_outcome;
using namespace std::chrono_literals;

struct fixed_delay : hedge_policy
{
  std::optional<model::duration> HedgeDelay() const override { return mDelay; }
  std::optional<model::duration> mDelay;
};

struct counted_budget : extra_attempt_budget
{
  void OnFirstAttempt() override {}
  bool TryTake() override { return mLeft-- > 0; }
  int mLeft = 0;
};

class fanout_test : public testing::Test
{
protected:
  fanout Make(bool aIdempotent,
              model::urgency aUrgency = model::urgency::Normal)
  {
    fanout_plan plan;
    plan.mUrgency = aUrgency;
    plan.mIdempotent = aIdempotent;
    plan.mDeadline = kStart + 100ms;
    plan.mSnapshot = 7;
    plan.mAttemptPrefix = "q-";
    plan.mShards = { shard_plan{ model::shard_id("s1"),
                                 { target_id("a"), target_id("b") } } };
    return { plan, mHedge, mBudget, 1 };
  }
  static model::attempt_result Result(const char* aAttempt,
                                      attempt_outcome aOutcome)
  {
    model::attempt_result out;
    out.mAttempt = model::attempt_id(aAttempt);
    out.mShard = model::shard_id("s1");
    out.mOutcome = aOutcome;
    out.mSnapshot = 7;
    return out;
  }
  static fanout_effect Sent(const char* aAttempt,
                            const char* aTarget,
                            bool aExtra)
  {
    return send_effect{ model::attempt_id(aAttempt),
                        model::shard_id("s1"),
                        target_id(aTarget),
                        aExtra };
  }
  static constexpr model::instant kStart{ 1s };
  fixed_delay mHedge;
  counted_budget mBudget;
};

TEST_F(fanout_test, first_answer_wins_and_the_other_attempt_is_cancelled)
{
  mHedge.mDelay = 10ms;
  mBudget.mLeft = 1;
  fanout run = Make(true);
  EXPECT_EQ(run.Start(kStart), fanout_effects{ Sent("q-1", "a", false) });
  EXPECT_EQ(run.NextWake(), kStart + 10ms);
  EXPECT_EQ(run.OnTimer(kStart + 10ms),
            fanout_effects{ Sent("q-2", "b", true) });
  const fanout_effects end =
    run.OnResult(Result("q-2", attempt_outcome::Ok), kStart + 12ms);
  EXPECT_EQ(end,
            (fanout_effects{ cancel_effect{ model::attempt_id("q-1"),
                                            model::shard_id("s1"),
                                            target_id("a") },
                             finish_effect{} }));
  EXPECT_EQ(run.Report().mShards[0].mOutcome, shard_outcome::Answered);
}

TEST_F(fanout_test, hedge_that_did_not_run_is_followed_by_the_next_candidate)
{
  mHedge.mDelay = 10ms;
  mBudget.mLeft = 2;
  fanout_plan plan = Make(true).Plan();
  plan.mShards[0].mCandidates.emplace_back("c");
  fanout run(plan, mHedge, mBudget, 1);
  run.Start(kStart);
  run.OnTimer(kStart + 10ms);
  // The first attempt is still in flight and may never end.
  EXPECT_EQ(
    run.OnResult(Result("q-2", attempt_outcome::NotSent), kStart + 11ms),
    fanout_effects{ Sent("q-3", "c", true) });
  EXPECT_EQ(mBudget.mLeft, 0);
  EXPECT_TRUE(
    run.OnResult(Result("q-3", attempt_outcome::Refused), kStart + 12ms)
      .empty());
  run.OnResult(Result("q-1", attempt_outcome::Ok), kStart + 13ms);
  EXPECT_EQ(run.Report().mShards[0].mOutcome, shard_outcome::Answered);
}

TEST_F(fanout_test, non_idempotent_request_is_retried_only_if_it_did_not_run)
{
  fanout run = Make(false);
  run.Start(kStart);
  EXPECT_EQ(run.OnResult(Result("q-1", attempt_outcome::NotSent), kStart),
            fanout_effects{ Sent("q-2", "b", false) });
  EXPECT_EQ(run.OnResult(Result("q-2", attempt_outcome::Lost), kStart),
            fanout_effects{ finish_effect{} });
  EXPECT_TRUE(run.MayHaveRun());
  EXPECT_EQ(SummaryOutcome(run.Report().mShards[0]), attempt_outcome::Lost);
}

TEST_F(fanout_test, result_of_another_snapshot_is_never_used)
{
  fanout run = Make(true);
  run.Start(kStart);
  model::attempt_result stale = Result("q-1", attempt_outcome::Ok);
  stale.mSnapshot = 6;
  run.OnResult(stale, kStart);
  run.OnTimer(kStart + 100ms);
  EXPECT_EQ(run.Report().mShards[0].mOutcome, shard_outcome::MayHaveRun);
}

TEST_F(fanout_test, crashing_request_gets_no_further_attempt)
{
  mBudget.mLeft = 5;
  fanout run = Make(true);
  run.Start(kStart);
  run.ForbidExtraAttempts();
  EXPECT_EQ(run.OnResult(Result("q-1", attempt_outcome::Lost), kStart),
            fanout_effects{ finish_effect{} });
}

TEST_F(fanout_test, not_held_everywhere_asks_for_another_snapshot)
{
  fanout run = Make(true);
  run.Start(kStart);
  run.OnResult(Result("q-1", attempt_outcome::NotHeld), kStart);
  run.OnResult(Result("q-2", attempt_outcome::NotHeld), kStart);
  EXPECT_TRUE(run.Finished());
  EXPECT_TRUE(run.CanReplan());
  EXPECT_FALSE(run.MayHaveRun());
}

TEST_F(fanout_test, all_refused_are_asked_again_after_a_pause_within_budget)
{
  mBudget.mLeft = 1;
  fanout run = Make(false);
  run.Start(kStart);
  run.OnResult(Result("q-1", attempt_outcome::Refused), kStart);
  EXPECT_TRUE(
    run.OnResult(Result("q-2", attempt_outcome::Refused), kStart).empty());
  const auto wake = run.NextWake();
  ASSERT_TRUE(wake && *wake > kStart && *wake <= kStart + 5ms);
  EXPECT_EQ(run.OnTimer(*wake), fanout_effects{ Sent("q-3", "a", true) });
}

TEST_F(fanout_test, urgent_request_refused_by_all_ends_at_once)
{
  mBudget.mLeft = 5;
  fanout run = Make(true, model::urgency::Urgent);
  run.Start(kStart);
  run.OnResult(Result("q-1", attempt_outcome::Refused), kStart);
  EXPECT_EQ(run.OnResult(Result("q-2", attempt_outcome::Refused), kStart),
            fanout_effects{ finish_effect{} });
  EXPECT_FALSE(run.MayHaveRun());
  EXPECT_EQ(mBudget.mLeft, 5);
}

TEST_F(fanout_test, normal_request_refused_by_all_ends_once_the_budget_is_spent)
{
  fanout run = Make(true);
  run.Start(kStart);
  run.OnResult(Result("q-1", attempt_outcome::Refused), kStart);
  EXPECT_EQ(run.OnResult(Result("q-2", attempt_outcome::Refused), kStart),
            fanout_effects{ finish_effect{} });
}

TEST_F(fanout_test, browsing_request_refused_by_all_waits_for_coverage)
{
  fanout run = Make(true, model::urgency::Browsing);
  run.Start(kStart);
  run.OnResult(Result("q-1", attempt_outcome::Refused), kStart);
  EXPECT_TRUE(
    run.OnResult(Result("q-2", attempt_outcome::Refused), kStart).empty());
  EXPECT_TRUE(run.NextWake().has_value());
}

TEST(merge, unusable_results_reject_only_their_shard)
{
  const model::shard_id one("1");
  const model::shard_id two("2");
  const auto merge = [&](model::merge_rule aRule, const std::string& aSecond) {
    const bool sum = aRule == model::merge_rule::Sum;
    return MergeResults(
      aRule,
      2,
      { { one, sum ? R"({"n":1})" : R"([{"score":1},{"score":3}])" },
        { two, aSecond } });
  };
  using model::merge_rule;
  EXPECT_EQ(merge(merge_rule::Top, R"([{"score":2}])").mJson,
            R"([{"score":3},{"score":2}])");
  EXPECT_EQ(merge(merge_rule::Sum, R"({"n":2,"m":1})").mJson,
            R"({"m":1,"n":3})");
  const std::string deep(100000, '[');
  for (const std::string& bad : { deep,
                                  deep + std::string(100000, ']'),
                                  std::string("{"),
                                  std::string(""),
                                  std::string("3"),
                                  std::string("null") }) {
    for (const auto rule :
         { merge_rule::Top, merge_rule::Sum, merge_rule::Concat }) {
      EXPECT_EQ(merge(rule, bad).mRejectedShards, std::set{ two });
    }
  }
  const auto overflow =
    merge(merge_rule::Sum, R"({"k":5,"n":9223372036854775807})");
  EXPECT_EQ(overflow.mJson, R"({"n":1})");
  EXPECT_EQ(merge(merge_rule::Top, R"([{"score":"x"}])").mRejectedShards,
            std::set{ two });
}

TEST(answer, shard_with_an_unusable_result_ran_and_is_missing)
{
  model::service service;
  fanout_report report;
  for (const char* name : { "s1", "s2" }) {
    const model::shard_id id(name);
    service.mShards.push_back({ id, { model::coverage_name(name) }, {} });
    shard_report shard{ id, shard_outcome::Answered, false, {} };
    shard.mLastResult.mResult = id.Value() == "s1" ? "[1]" : "{}";
    report.mShards.push_back(shard);
  }
  model::contract contract;
  contract.mLeastCoverage = 0.5;
  const auto build = [&] {
    return BuildAnswer({}, report, service, contract, 1);
  };
  EXPECT_EQ(build().mStatus, model::status::Partial);
  EXPECT_EQ(build().mResults, "[1]");
  EXPECT_EQ(build().mReason, "bad_result");
  EXPECT_EQ(build().mCoverage.mMissing,
            std::vector{ model::coverage_name("s2") });
  contract.mIdempotent = false;
  EXPECT_EQ(build().mStatus, model::status::Unknown);
}

TEST(answer, run_at_an_earlier_snapshot_rules_out_status_not_run)
{
  model::service service;
  service.mShards = { { model::shard_id("s1"), {}, {} } };
  fanout_report report;
  report.mShards = { shard_report{ model::shard_id("s1") } };
  const auto status = [&](bool aRanBefore) {
    return BuildAnswer({}, report, service, {}, 1, aRanBefore).mStatus;
  };
  EXPECT_EQ(status(false), model::status::NotRun);
  EXPECT_EQ(status(true), model::status::Failed);
}

TEST(answer, status_table)
{
  const auto decide =
    [](bool aIdempotent, bool aAny, bool aMayRun, double aCoverage) {
      status_inputs facts;
      facts.mIdempotent = aIdempotent;
      facts.mLeastCoverage = 0.5;
      facts.mCoverage = aCoverage;
      facts.mAnyShardAnswered = aAny;
      facts.mUnansweredMayHaveRun = aMayRun;
      return DecideStatus(facts);
    };
  using model::status;
  EXPECT_EQ(decide(true, false, false, 0), status::NotRun);
  EXPECT_EQ(decide(false, false, false, 0), status::NotRun);
  EXPECT_EQ(decide(true, false, true, 0), status::Failed);
  EXPECT_EQ(decide(true, true, true, 0.6), status::Partial);
  EXPECT_EQ(decide(true, true, false, 0.4), status::Failed);
  EXPECT_EQ(decide(false, false, true, 0), status::Unknown);
  EXPECT_EQ(decide(false, true, true, 0.9), status::Unknown);
  EXPECT_EQ(decide(false, true, false, 0.6), status::Partial);
  EXPECT_EQ(decide(false, true, false, 0.4), status::Unknown);
}

} // namespace
} // namespace monsooncroft::policy
