/**
 * @file fanout_property_test.cpp
 * Invariants of a fan-out under any order of results, timers and losses.
 */
#include "policy/answer_func.h"
#include "policy/fanout_base.h"
#include "policy/hedge_delay_base.h"
#include "policy/token_bucket_budget_base.h"
#include "test/policy/fixed_seed.h"

namespace monsooncroft::policy {
namespace {

using namespace std::chrono_literals;
using model::attempt_id;
using model::attempt_outcome;
using model::shard_id;

constexpr model::index_version kSnapshot = 7;

/** What the leaves actually did with the attempts, independent of the fan-out's
 * state. */
struct ground_truth
{
  std::map<shard_id, int> mRuns; ///< Number of runs at leaves.
  std::set<shard_id> mAnswered;  ///< Shards with a usable result delivered.
  std::map<attempt_id, send_effect> mInFlight; ///< Attempts sent and not ended.
  std::set<attempt_id> mSent;                  ///< Every attempt sent.
  int mExtraAttempts = 0;
  int mFirstAttempts = 0;
  int mFinished = 0;
};

class random_driver
{
public:
  random_driver()
  {
    mPlan.mIdempotent = *rc::gen::arbitrary<bool>();
    mPlan.mDeadline = mNow + 100ms;
    mPlan.mSnapshot = kSnapshot;
    mPlan.mAttemptPrefix = "p";
    const int shards = *rc::gen::inRange(1, 6);
    for (int index = 0; index < shards; ++index) {
      const std::string name = "s" + std::to_string(index);
      shard_plan shard{ shard_id(name), {} };
      const int candidates = *rc::gen::inRange(0, 4);
      for (int each = 0; each < candidates; ++each) {
        shard.mCandidates.emplace_back("leaf" + std::to_string(each));
      }
      mPlan.mShards.push_back(shard);
      mService.mShards.push_back(
        { shard_id(name), { model::coverage_name(name) }, {} });
    }
    mContract.mIdempotent = mPlan.mIdempotent;
    mContract.mLeastCoverage = 0.5;
  }

  void Run()
  {
    fanout run(mPlan, mHedge, mBudget, 1);
    Apply(run.Start(mNow));
    for (int step = *rc::gen::inRange(0, 40); step > 0; --step) {
      Step(run);
    }
    mNow = std::max(mNow, mPlan.mDeadline);
    Apply(run.OnTimer(mNow));
    RC_ASSERT(run.Finished());
    RC_ASSERT(mGroundTruth.mFinished == 1);
    // All open attempts were cancelled.
    RC_ASSERT(mGroundTruth.mInFlight.empty());
    Check(run);
  }

private:
  void Step(fanout& aRun)
  {
    const int kind = *rc::gen::inRange(0, 10);
    if (kind == 0) {
      mNow += std::chrono::milliseconds(*rc::gen::inRange(0, 30));
      Apply(aRun.OnTimer(mNow));
    } else if (kind == 1) {
      Apply(aRun.OnResult(IgnoredResult(), mNow));
    } else if (kind == 2 && *rc::gen::inRange(0, 10) == 0) {
      Apply(aRun.OnCancel(mNow));
    } else if (kind == 3 && *rc::gen::inRange(0, 5) == 0) {
      aRun.ForbidExtraAttempts();
    } else if (!mGroundTruth.mInFlight.empty()) {
      EndOne(aRun);
    }
  }

  /** Returns a result that the fan-out must ignore: of another shard, or of an
   * attempt that is not open. */
  model::attempt_result IgnoredResult()
  {
    model::attempt_result out;
    out.mAttempt = attempt_id("p" + std::to_string(*rc::gen::inRange(0, 9)));
    out.mShard = shard_id("elsewhere");
    out.mOutcome = attempt_outcome::Ok;
    out.mSnapshot = kSnapshot;
    const bool closed = mGroundTruth.mInFlight.count(out.mAttempt) == 0;
    if (closed && !mPlan.mShards.empty()) {
      out.mShard = mPlan.mShards[0].mShard;
    }
    return out;
  }

  void EndOne(fanout& aRun)
  {
    const auto chosen = std::next(
      mGroundTruth.mInFlight.begin(),
      *rc::gen::inRange(0, static_cast<int>(mGroundTruth.mInFlight.size())));
    const send_effect sent = chosen->second;
    mGroundTruth.mInFlight.erase(chosen);
    model::attempt_result result;
    result.mAttempt = sent.mAttempt;
    result.mShard = sent.mShard;
    result.mOutcome = static_cast<attempt_outcome>(*rc::gen::inRange(0, 6));
    result.mSnapshot = *rc::gen::inRange(0, 8) == 0 ? 6 : kSnapshot;
    result.mResult = "[1]";
    const bool ran = result.mOutcome == attempt_outcome::Ok ||
                     result.mOutcome == attempt_outcome::Error;
    const bool lost = result.mOutcome == attempt_outcome::Lost;
    if (ran || (lost && *rc::gen::arbitrary<bool>())) {
      ++mGroundTruth.mRuns[sent.mShard];
    }
    if (result.mOutcome == attempt_outcome::Ok &&
        result.mSnapshot == kSnapshot) {
      mGroundTruth.mAnswered.insert(sent.mShard);
    }
    Apply(aRun.OnResult(result, mNow));
  }

  void Apply(const fanout_effects& aEffects)
  {
    RC_ASSERT(mGroundTruth.mFinished == 0 || aEffects.empty());
    for (const fanout_effect& effect : aEffects) {
      if (const auto* send = std::get_if<send_effect>(&effect)) {
        RC_ASSERT(mGroundTruth.mSent.insert(send->mAttempt).second);
        RC_ASSERT(mGroundTruth.mAnswered.count(send->mShard) == 0);
        mGroundTruth.mInFlight.emplace(send->mAttempt, *send);
        ++(send->mExtra ? mGroundTruth.mExtraAttempts
                        : mGroundTruth.mFirstAttempts);
      } else if (const auto* cancel = std::get_if<cancel_effect>(&effect)) {
        RC_ASSERT(mGroundTruth.mInFlight.erase(cancel->mAttempt) == 1);
        if (*rc::gen::arbitrary<bool>()) {
          // The attempt had run, or still runs.
          ++mGroundTruth.mRuns[cancel->mShard];
        }
      } else {
        ++mGroundTruth.mFinished;
      }
    }
  }

  void Check(const fanout& aRun)
  {
    const fanout_report report = aRun.Report();
    for (const shard_report& shard : report.mShards) {
      const bool answered = mGroundTruth.mAnswered.count(shard.mShard) != 0;
      RC_ASSERT((shard.mOutcome == shard_outcome::Answered) == answered);
      if (shard.mOutcome == shard_outcome::NotRun) {
        RC_ASSERT(mGroundTruth.mRuns[shard.mShard] == 0);
      }
      if (!mPlan.mIdempotent) {
        RC_ASSERT(mGroundTruth.mRuns[shard.mShard] <= 1);
      }
    }
    RC_ASSERT(mGroundTruth.mExtraAttempts <=
              kReserve + mGroundTruth.mFirstAttempts * kFraction);
    const model::answer answer =
      BuildAnswer(mPlan, report, mService, mContract, 1);
    CheckAnswer(answer);
  }

  void CheckAnswer(const model::answer& aAnswer)
  {
    std::vector<model::coverage_name> missing;
    int runs = 0;
    for (const model::shard& shard : mService.mShards) {
      runs += mGroundTruth.mRuns[shard.mId];
      if (mGroundTruth.mAnswered.count(shard.mId) == 0) {
        missing.push_back(shard.mCoverageNames[0]);
      }
    }
    RC_ASSERT(aAnswer.mCoverage.mMissing == missing);
    RC_ASSERT((aAnswer.mStatus == model::status::Complete) == missing.empty());
    if (aAnswer.mStatus == model::status::NotRun) {
      RC_ASSERT(runs == 0);
    }
    if (aAnswer.mStatus == model::status::Partial) {
      RC_ASSERT(mGroundTruth.mAnswered.size() * 2 >= mService.mShards.size());
    }
  }

  static constexpr double kFraction = 0.5;
  static constexpr double kReserve = 2;

  fanout_plan mPlan;
  model::service mService;
  model::contract mContract;
  fixed_hedge mHedge{ 10ms };
  token_bucket_budget mBudget{ kFraction, kReserve };
  ground_truth mGroundTruth;
  model::instant mNow{ 1s };
};

RC_GTEST_PROP(fanout_property,
              shard_outcomes_are_correct_in_any_order_of_events,
              ())
{
  random_driver().Run();
}

/** Outcome of every attempt at a leaf. */
enum class leaf_behaviour
{
  Answers,
  Refuses,
  DoesNotHold,
  Fails,
  Loses,
};

RC_GTEST_PROP(fanout_property,
              shard_is_missing_only_if_no_replica_could_answer,
              ())
{
  static const std::map<leaf_behaviour, attempt_outcome> kOutcomes{
    { leaf_behaviour::Answers, attempt_outcome::Ok },
    { leaf_behaviour::Refuses, attempt_outcome::Refused },
    { leaf_behaviour::DoesNotHold, attempt_outcome::NotHeld },
    { leaf_behaviour::Fails, attempt_outcome::Error },
    { leaf_behaviour::Loses, attempt_outcome::Lost },
  };
  const auto behaviours = *rc::gen::container<std::vector<int>>(
    6, rc::gen::inRange(0, static_cast<int>(kOutcomes.size())));
  fanout_plan plan;
  plan.mDeadline = model::instant(100ms);
  plan.mSnapshot = kSnapshot;
  for (std::size_t shard = 0; shard < behaviours.size(); ++shard) {
    plan.mShards.push_back({ shard_id(std::to_string(shard)), {} });
    for (std::size_t each = 0; each < 3; ++each) {
      const std::size_t leaf = (shard + each) % behaviours.size();
      plan.mShards.back().mCandidates.emplace_back(std::to_string(leaf));
    }
  }
  const no_hedge hedge;
  token_bucket_budget budget(0, 1000);
  fanout run(plan, hedge, budget, 1);
  std::deque<fanout_effect> work;
  const auto queue = [&](const fanout_effects& aEffects) {
    work.insert(work.end(), aEffects.begin(), aEffects.end());
  };
  queue(run.Start(model::instant()));
  while (!run.Finished()) {
    if (work.empty()) {
      queue(run.OnTimer(*run.NextWake()));
      continue;
    }
    const auto send = std::get<send_effect>(work.front());
    work.pop_front();
    model::attempt_result result;
    result.mAttempt = send.mAttempt;
    result.mShard = send.mShard;
    result.mSnapshot = kSnapshot;
    const int leaf = behaviours[std::stoul(send.mTarget.Value())];
    result.mOutcome = kOutcomes.at(static_cast<leaf_behaviour>(leaf));
    queue(run.OnResult(result, model::instant()));
  }
  const fanout_report report = run.Report();
  for (std::size_t shard = 0; shard < behaviours.size(); ++shard) {
    bool reachable = false;
    for (std::size_t each = 0; each < 3; ++each) {
      reachable =
        reachable || behaviours[(shard + each) % behaviours.size()] == 0;
    }
    RC_ASSERT((report.mShards[shard].mOutcome == shard_outcome::Answered) ==
              reachable);
  }
}

} // namespace
} // namespace monsooncroft::policy
