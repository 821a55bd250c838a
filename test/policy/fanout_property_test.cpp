/**
 * @file fanout_property_test.cpp
 * What holds for a fan-out under any order of results, timers and losses.
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

/** What the leaves did with the attempts, whatever the fan-out believes. */
struct truth
{
  std::map<shard_id, int> mExecuted;       ///< Runs at leaves.
  std::set<shard_id> mAnswered;            ///< A good result was delivered.
  std::map<attempt_id, send_effect> mOpen; ///< Sent and not ended.
  std::set<attempt_id> mSeen;              ///< Every attempt sent.
  int mExtra = 0;
  int mFirst = 0;
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
    RC_ASSERT(mTruth.mFinished == 1);
    RC_ASSERT(mTruth.mOpen.empty()); // All were cancelled.
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
      Apply(aRun.OnResult(Foreign(), mNow));
    } else if (kind == 2 && *rc::gen::inRange(0, 10) == 0) {
      Apply(aRun.OnCancel(mNow));
    } else if (kind == 3 && *rc::gen::inRange(0, 5) == 0) {
      aRun.ForbidExtraAttempts();
    } else if (!mTruth.mOpen.empty()) {
      EndOne(aRun);
    }
  }

  /** A result that must change nothing, or a good one in the wrong shape. */
  model::attempt_result Foreign()
  {
    model::attempt_result out;
    out.mAttempt = attempt_id("p" + std::to_string(*rc::gen::inRange(0, 9)));
    out.mShard = shard_id("elsewhere");
    out.mOutcome = attempt_outcome::Ok;
    out.mSnapshot = kSnapshot;
    const bool closed = mTruth.mOpen.count(out.mAttempt) == 0;
    if (closed && !mPlan.mShards.empty()) {
      out.mShard = mPlan.mShards[0].mShard;
    }
    return out;
  }

  void EndOne(fanout& aRun)
  {
    const auto chosen =
      std::next(mTruth.mOpen.begin(),
                *rc::gen::inRange(0, static_cast<int>(mTruth.mOpen.size())));
    const send_effect sent = chosen->second;
    mTruth.mOpen.erase(chosen);
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
      ++mTruth.mExecuted[sent.mShard];
    }
    if (result.mOutcome == attempt_outcome::Ok &&
        result.mSnapshot == kSnapshot) {
      mTruth.mAnswered.insert(sent.mShard);
    }
    Apply(aRun.OnResult(result, mNow));
  }

  void Apply(const fanout_effects& aEffects)
  {
    RC_ASSERT(mTruth.mFinished == 0 || aEffects.empty());
    for (const fanout_effect& effect : aEffects) {
      if (const auto* send = std::get_if<send_effect>(&effect)) {
        RC_ASSERT(mTruth.mSeen.insert(send->mAttempt).second);
        RC_ASSERT(mTruth.mAnswered.count(send->mShard) == 0);
        mTruth.mOpen.emplace(send->mAttempt, *send);
        ++(send->mExtra ? mTruth.mExtra : mTruth.mFirst);
      } else if (const auto* cancel = std::get_if<cancel_effect>(&effect)) {
        RC_ASSERT(mTruth.mOpen.erase(cancel->mAttempt) == 1);
        if (*rc::gen::arbitrary<bool>()) {
          ++mTruth.mExecuted[cancel->mShard]; // It had run, or still will.
        }
      } else {
        ++mTruth.mFinished;
      }
    }
  }

  void Check(const fanout& aRun)
  {
    const fanout_report report = aRun.Report();
    for (const shard_report& shard : report.mShards) {
      const bool answered = mTruth.mAnswered.count(shard.mShard) != 0;
      RC_ASSERT((shard.mOutcome == shard_outcome::Answered) == answered);
      if (shard.mOutcome == shard_outcome::NotRun) {
        RC_ASSERT(mTruth.mExecuted[shard.mShard] == 0);
      }
      if (!mPlan.mIdempotent) {
        RC_ASSERT(mTruth.mExecuted[shard.mShard] <= 1);
      }
    }
    RC_ASSERT(mTruth.mExtra <= kReserve + mTruth.mFirst * kFraction);
    const model::answer answer =
      BuildAnswer(mPlan, report, mService, mContract, 1);
    CheckAnswer(answer);
  }

  void CheckAnswer(const model::answer& aAnswer)
  {
    std::vector<model::coverage_name> missing;
    int executed = 0;
    for (const model::shard& shard : mService.mShards) {
      executed += mTruth.mExecuted[shard.mId];
      if (mTruth.mAnswered.count(shard.mId) == 0) {
        missing.push_back(shard.mCoverageNames[0]);
      }
    }
    RC_ASSERT(aAnswer.mCoverage.mMissing == missing);
    RC_ASSERT((aAnswer.mStatus == model::status::Complete) == missing.empty());
    if (aAnswer.mStatus == model::status::NotRun) {
      RC_ASSERT(executed == 0);
    }
    if (aAnswer.mStatus == model::status::Partial) {
      RC_ASSERT(mTruth.mAnswered.size() * 2 >= mService.mShards.size());
    }
  }

  static constexpr double kFraction = 0.5;
  static constexpr double kReserve = 2;

  fanout_plan mPlan;
  model::service mService;
  model::contract mContract;
  fixed_hedge mHedge{ 10ms };
  token_bucket_budget mBudget{ kFraction, kReserve };
  truth mTruth;
  model::instant mNow{ 1s };
};

RC_GTEST_PROP(fanout_property, labels_are_true_in_any_order_of_events, ())
{
  random_driver().Run();
}

/** How a leaf treats everything sent to it. */
enum class manner
{
  Answers,
  Refuses,
  LacksIt,
  Fails,
  Loses,
};

RC_GTEST_PROP(fanout_property, missing_is_what_no_replica_could_answer, ())
{
  static const std::map<manner, attempt_outcome> kEnds{
    { manner::Answers, attempt_outcome::Ok },
    { manner::Refuses, attempt_outcome::Refused },
    { manner::LacksIt, attempt_outcome::NotHeld },
    { manner::Fails, attempt_outcome::Error },
    { manner::Loses, attempt_outcome::Lost },
  };
  const auto manners = *rc::gen::container<std::vector<int>>(
    6, rc::gen::inRange(0, static_cast<int>(kEnds.size())));
  fanout_plan plan;
  plan.mDeadline = model::instant(100ms);
  plan.mSnapshot = kSnapshot;
  for (std::size_t shard = 0; shard < manners.size(); ++shard) {
    plan.mShards.push_back({ shard_id(std::to_string(shard)), {} });
    for (std::size_t each = 0; each < 3; ++each) {
      const std::size_t leaf = (shard + each) % manners.size();
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
    const int leaf = manners[std::stoul(send.mTarget.Value())];
    result.mOutcome = kEnds.at(static_cast<manner>(leaf));
    queue(run.OnResult(result, model::instant()));
  }
  const fanout_report report = run.Report();
  for (std::size_t shard = 0; shard < manners.size(); ++shard) {
    bool reachable = false;
    for (std::size_t each = 0; each < 3; ++each) {
      reachable = reachable || manners[(shard + each) % manners.size()] == 0;
    }
    RC_ASSERT((report.mShards[shard].mOutcome == shard_outcome::Answered) ==
              reachable);
  }
}

} // namespace
} // namespace monsooncroft::policy
