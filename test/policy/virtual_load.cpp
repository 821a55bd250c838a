/**
 * @file virtual_load.cpp
 * Event-driven simulation of open-loop load in virtual time.
 */
#include "test/policy/virtual_load.h"

#include "policy/admission_queue_base.h"
#include "policy/fanout_base.h"
#include "policy/hedge_delay_base.h"
#include "policy/replica_chooser_base.h"
#include "policy/token_bucket_budget_base.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>

namespace monsooncroft::policy {

namespace {

using model::attempt_id;
using model::attempt_outcome;
using model::duration;
using model::instant;
using seconds = std::chrono::duration<double>;

/** A leaf's admission queue and its running attempts. */
struct leaf_sim
{
  leaf_sim(int aSlots, const admission_settings& aSettings)
    : mQueue(aSlots, aSettings)
  {
  }

  admission_queue mQueue;
  std::map<attempt_id, instant> mRunning; ///< With their dispatch times.
  std::optional<instant> mTimer; ///< Time of the next scheduled timer event.
};

/** An attempt in flight, with its query and leaf. */
struct attempt_sim
{
  std::size_t mQuery = 0;
  model::shard_id mShard;
  std::size_t mLeaf = 0;
  instant mSent;
};

/** A query in flight. */
struct query_sim
{
  std::unique_ptr<fanout> mFanout;
  instant mArrived;
  std::size_t mClass = 0;
  std::size_t mWorkspace = 0;
};

class simulation
{
public:
  explicit simulation(const load_settings& aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.mSeed)
    , mChooser(static_cast<std::uint32_t>(aSettings.mSeed))
    , mBudget(aSettings.mRetryBudgetFraction)
    , mQuantile(mTracker, std::chrono::milliseconds(5))
  {
    for (int leaf = 0; leaf < aSettings.mShards * aSettings.mReplicas; ++leaf) {
      mLeaves.emplace_back(aSettings.mSlots, aSettings.mAdmission);
    }
  }

  load_result Run()
  {
    OnArrival();
    while (!mEvents.empty()) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mTime;
      next.mAction();
    }
    for (auto& each : mResult.mClasses) {
      std::sort(each.mLatencies.begin(), each.mLatencies.end());
      mResult.mGoodput +=
        each.mGoodAnswers / seconds(mSettings.mDuration).count();
    }
    mResult.mExtraAttemptRatio =
      mFirstAttempts == 0 ? 0 : mExtraAttempts / mFirstAttempts;
    mResult.mWastedFraction =
      mBusySeconds == 0 ? 0 : mWastedSeconds / mBusySeconds;
    return mResult;
  }

private:
  struct event
  {
    instant mTime;
    std::uint64_t mSequence;
    std::function<void()> mAction;
    bool operator<(const event& aOther) const
    {
      return std::tie(mTime, mSequence) >
             std::tie(aOther.mTime, aOther.mSequence);
    }
  };

  void Schedule(instant aTime, std::function<void()> aAction)
  {
    mEvents.push({ std::max(aTime, mNow), ++mSequence, std::move(aAction) });
  }

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }

  duration Exponential(double aMicros)
  {
    return duration(1 + std::llround(-std::log(1 - Uniform()) * aMicros));
  }

  double MeanService() const
  {
    const double slow =
      1 + mSettings.mSlowFraction * (mSettings.mSlowFactor - 1);
    return static_cast<double>(mSettings.mServiceTime.count()) * slow;
  }

  void OnArrival()
  {
    if (mNow >= instant(mSettings.mDuration)) {
      return;
    }
    const double slots = mSettings.mSlots * mSettings.mReplicas;
    Schedule(mNow + Exponential(MeanService() / slots / mSettings.mLoad),
             [this] { OnArrival(); });
    StartQuery();
  }

  void StartQuery()
  {
    const std::size_t id = mQueries.size();
    query_sim& query = mQueries.emplace_back();
    query.mArrived = mNow;
    query.mClass = Uniform() < mSettings.mUrgentFraction ? 0 : 1;
    double draw = Uniform();
    while (query.mWorkspace + 1 < mSettings.mWorkspaces.size() &&
           draw >= mSettings.mWorkspaces[query.mWorkspace].mArrivalFraction) {
      draw -= mSettings.mWorkspaces[query.mWorkspace].mArrivalFraction;
      ++query.mWorkspace;
    }
    fanout_plan plan;
    plan.mUrgency =
      query.mClass == 0 ? model::urgency::Urgent : model::urgency::Browsing;
    plan.mDeadline = mNow + mSettings.mDeadlines[query.mClass];
    plan.mAttemptPrefix = std::to_string(id) + ".";
    for (int shard = 0; shard < mSettings.mShards; ++shard) {
      plan.mShards.push_back(
        { model::shard_id(std::to_string(shard)), Candidates(shard) });
    }
    query.mFanout = std::make_unique<fanout>(
      plan, Hedge(), mBudget, static_cast<std::uint32_t>(id + 1));
    Apply(id, query.mFanout->Start(mNow));
  }

  const hedge_policy& Hedge() const
  {
    switch (mSettings.mHedge) {
      case hedge_mode::None:
        break;
      case hedge_mode::Fixed:
        return mFixed;
      case hedge_mode::Quantile:
        return mQuantile;
    }
    return mNoHedge;
  }

  std::vector<target_id> Candidates(int aShard)
  {
    std::vector<replica_state> states;
    for (int each = 0; each < mSettings.mReplicas; ++each) {
      const int leaf = aShard * mSettings.mReplicas + each;
      replica_state state;
      state.mTarget = target_id(std::to_string(leaf));
      state.mEstimatedWait = mLeaves[leaf].mQueue.EstimatedWait();
      states.push_back(state);
    }
    return mChooser.Order(states);
  }

  void Apply(std::size_t aQuery, const fanout_effects& aEffects)
  {
    for (const fanout_effect& effect : aEffects) {
      if (const auto* send = std::get_if<send_effect>(&effect)) {
        ++(send->mExtra ? mExtraAttempts : mFirstAttempts);
        Offer(aQuery, *send);
      } else if (const auto* cancel = std::get_if<cancel_effect>(&effect)) {
        Cancel(cancel->mAttempt, std::stoul(cancel->mTarget.Value()));
      } else {
        Finish(aQuery);
      }
    }
    const auto wake = mQueries[aQuery].mFanout->NextWake();
    if (wake) {
      Schedule(*wake, [this, aQuery, at = *wake] {
        fanout* run = mQueries[aQuery].mFanout.get();
        if (run != nullptr && run->NextWake() && *run->NextWake() <= at) {
          Apply(aQuery, run->OnTimer(mNow));
        }
      });
    }
  }

  /** Offers an attempt to its leaf after the current event, with no network
   * delay. */
  void Offer(std::size_t aQuery, const send_effect& aSend)
  {
    const std::size_t leaf = std::stoul(aSend.mTarget.Value());
    mAttempts[aSend.mAttempt] = { aQuery, aSend.mShard, leaf, mNow };
    Schedule(mNow, [this, aQuery, leaf, attempt = aSend.mAttempt] {
      if (mAttempts.count(attempt) == 0) {
        return;
      }
      const query_sim& query = mQueries[aQuery];
      const workspace_load& workspace = mSettings.mWorkspaces[query.mWorkspace];
      admission_item item;
      item.mAttempt = attempt;
      item.mUrgency = query.mFanout->Plan().mUrgency;
      item.mWorkspace = model::workspace_id(workspace.mName);
      item.mWeight = workspace.mWeight;
      item.mDeadline = query.mFanout->Plan().mDeadline;
      ApplyLeaf(leaf, mLeaves[leaf].mQueue.Offer(item, mNow));
    });
  }

  void ApplyLeaf(std::size_t aLeaf, const admission_effects& aEffects)
  {
    leaf_sim& leaf = mLeaves[aLeaf];
    for (const admission_effect& effect : aEffects) {
      if (const auto* sent = std::get_if<dispatch_effect>(&effect)) {
        leaf.mRunning.emplace(sent->mAttempt, mNow);
        Schedule(mNow + ServiceTime(aLeaf), [this, aLeaf, id = sent->mAttempt] {
          EndAttempt(aLeaf, id, attempt_outcome::Ok);
        });
      } else {
        DeliverResult(std::get<refuse_effect>(effect).mAttempt,
                      attempt_outcome::Refused);
      }
    }
    const auto wake = leaf.mQueue.NextWake();
    if (wake && (!leaf.mTimer || *wake < *leaf.mTimer)) {
      leaf.mTimer = wake;
      Schedule(*wake, [this, aLeaf] {
        mLeaves[aLeaf].mTimer.reset();
        ApplyLeaf(aLeaf, mLeaves[aLeaf].mQueue.OnTimer(mNow));
      });
    }
  }

  duration ServiceTime(std::size_t aLeaf)
  {
    double mean = static_cast<double>(mSettings.mServiceTime.count());
    mean *= Uniform() < mSettings.mSlowFraction ? mSettings.mSlowFactor : 1;
    const bool late = aLeaf == 0 && mNow >= instant(mSettings.mCrowdedFrom);
    mean *= late ? mSettings.mSlowdown : 1;
    if (late && mSettings.mCrowdedSlots > 0) {
      const auto running = static_cast<double>(mLeaves[0].mRunning.size());
      const double excess = running / mSettings.mCrowdedSlots;
      mean *= std::max(1.0, excess * excess);
    }
    return Exponential(mean);
  }

  void EndAttempt(std::size_t aLeaf,
                  attempt_id aAttempt,
                  attempt_outcome aOutcome)
  {
    leaf_sim& leaf = mLeaves[aLeaf];
    const auto running = leaf.mRunning.find(aAttempt);
    if (running == leaf.mRunning.end()) {
      return; // The attempt was cancelled meanwhile.
    }
    const duration service = mNow - running->second;
    leaf.mRunning.erase(running);
    const bool used =
      aOutcome == attempt_outcome::Ok && mAttempts.count(aAttempt) != 0;
    mBusySeconds += seconds(service).count();
    mWastedSeconds += used ? 0 : seconds(service).count();
    ApplyLeaf(aLeaf, leaf.mQueue.OnDone(aAttempt, aOutcome, service, mNow));
    DeliverResult(aAttempt, aOutcome);
  }

  void DeliverResult(const attempt_id& aAttempt, attempt_outcome aOutcome)
  {
    const auto found = mAttempts.find(aAttempt);
    if (found == mAttempts.end()) {
      return;
    }
    const attempt_sim attempt = found->second;
    mAttempts.erase(found);
    if (aOutcome == attempt_outcome::Ok) {
      mTracker.Add(mNow - attempt.mSent, mNow);
    }
    model::attempt_result result;
    result.mAttempt = aAttempt;
    result.mShard = attempt.mShard;
    result.mOutcome = aOutcome;
    Apply(attempt.mQuery,
          mQueries[attempt.mQuery].mFanout->OnResult(result, mNow));
  }

  /** Cancels an attempt; the leaf stops it at once. The tracker counts the time
   * until the cancellation. */
  void Cancel(const attempt_id& aAttempt, std::size_t aLeaf)
  {
    const auto found = mAttempts.find(aAttempt);
    mTracker.Add(mNow - found->second.mSent, mNow);
    mAttempts.erase(found);
    Schedule(mNow, [this, aLeaf, aAttempt] {
      ApplyLeaf(aLeaf, mLeaves[aLeaf].mQueue.OnCancel(aAttempt));
      EndAttempt(aLeaf, aAttempt, attempt_outcome::Error);
    });
  }

  void Finish(std::size_t aQuery)
  {
    const query_sim& query = mQueries[aQuery];
    Schedule(mNow, [this, aQuery] { mQueries[aQuery].mFanout.reset(); });
    const fanout_report report = query.mFanout->Report();
    const auto answered = std::count_if(
      report.mShards.begin(), report.mShards.end(), [](const auto& aShard) {
        return aShard.mOutcome == shard_outcome::Answered;
      });
    const double fraction = static_cast<double>(answered) / mSettings.mShards;
    const bool good = fraction >= mSettings.mLeastCoverage[query.mClass];
    load_count& workspace =
      mResult.mWorkspaces[mSettings.mWorkspaces[query.mWorkspace].mName];
    for (load_count* each : { &mResult.mClasses[query.mClass], &workspace }) {
      ++each->mQueries;
      each->mGoodAnswers += good ? 1 : 0;
      each->mCoverageSum += fraction;
      if (good) {
        each->mLatencies.push_back(mNow - query.mArrived);
      }
    }
  }

  load_settings mSettings;
  std::mt19937_64 mRandom;
  replica_chooser mChooser;
  token_bucket_budget mBudget;
  latency_tracker mTracker;
  no_hedge mNoHedge;
  fixed_hedge mFixed{ std::chrono::milliseconds(30) };
  quantile_hedge mQuantile;
  std::vector<leaf_sim> mLeaves;
  std::deque<query_sim> mQueries;
  std::map<attempt_id, attempt_sim> mAttempts;
  std::priority_queue<event> mEvents;
  std::uint64_t mSequence = 0;
  instant mNow;
  load_result mResult;
  double mFirstAttempts = 0;
  double mExtraAttempts = 0;
  double mBusySeconds = 0;
  double mWastedSeconds = 0;
};

} // namespace

double
load_count::LatencyMillis(double aQuantile) const
{
  if (mLatencies.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(mLatencies.size() - 1);
  const auto index = static_cast<std::size_t>(std::llround(aQuantile * last));
  return seconds(mLatencies[index]).count() * 1000;
}

load_result
RunLoad(const load_settings& aSettings)
{
  return simulation(aSettings).Run();
}

std::string
FormatRow(const std::string& aName, const load_result& aResult)
{
  std::array<char, 256> line{};
  const load_count& urgent = aResult.mClasses[0];
  const load_count& browsing = aResult.mClasses[1];
  std::snprintf(
    line.data(),
    line.size(),
    "%-28s %7.1f /s | urgent %5.1f%% p50 %5.1f p99 %6.1f | browsing "
    "%5.1f%% p99 %6.1f cov %5.1f%% | extra %4.1f%% wasted %4.1f%%\n",
    aName.c_str(),
    aResult.mGoodput,
    100 * urgent.GoodFraction(),
    urgent.LatencyMillis(0.5),
    urgent.LatencyMillis(0.99),
    100 * browsing.GoodFraction(),
    browsing.LatencyMillis(0.99),
    100 * browsing.Coverage(),
    100 * aResult.mExtraAttemptRatio,
    100 * aResult.mWastedFraction);
  return line.data();
}

} // namespace monsooncroft::policy
