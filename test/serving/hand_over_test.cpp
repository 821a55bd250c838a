/**
 * @file hand_over_test.cpp
 * One query at several instances, in virtual time.
 */
#include "serving/attempt_grant_type.h"
#include "serving/hand_over_actions_base.h"
#include "serving/hand_over_base.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;

/** What happens to the instances and links of one order of events. */
struct fault_rates
{
  double mSlowLink = 0;     ///< A message takes up to 300 ms.
  double mFreeze = 0;       ///< An instance is suspended for up to 1.5 s.
  double mRestart = 0;      ///< A root starts again.
  double mBreak = 0;        ///< A connection ends, as each side may notice.
  double mRefusal = 0;      ///< A root has no room.
  double mFailure = 0;      ///< An execution ends without a usable answer.
  double mCallerLeaves = 0; ///< The caller leaves early.
};

/** A receiver and three roots; each event waits until its instance runs. */
class query_world : public hand_over_actions
{
public:
  query_world(std::uint32_t aSeed, int aMaxAttempts, const fault_rates& aRates)
    : mRandom(aSeed)
    , mRates(aRates)
    , mHandOver(aMaxAttempts, *this)
  {
    for (std::size_t node = 0; node < mNodes.size(); ++node) {
      if (Chance(mRates.mFreeze)) {
        mNodes[node].mFrozenFrom = At(Uniform(0, 120));
        mNodes[node].mFrozenUntil =
          mNodes[node].mFrozenFrom + milliseconds(Uniform(1, 1'500));
      }
      if (node > 0 && Chance(mRates.mRestart)) {
        Schedule(
          At(Uniform(0, 150)), kReceiver, [this, node] { Restart(node); });
      }
    }
  }

  void Run()
  {
    Schedule(mNow, kReceiver, [this] { mHandOver.Start(mNow); });
    Schedule(At(kDeadlineMs), kReceiver, [this] {
      if (!mHandOver.IsDone()) {
        mHandOver.OnDeadline();
      }
    });
    if (Chance(mRates.mCallerLeaves)) {
      Schedule(At(Uniform(0, 200)), kReceiver, [this] {
        mCallerLeft = mCallerLeft || !mHandOver.IsDone();
        mHandOver.OnCallerLeft();
      });
    }
    while (!mEvents.empty()) {
      const auto next = mEvents.begin();
      const event current = std::move(next->second);
      mNow = next->first.first;
      mEvents.erase(next);
      const node_state& node = mNodes[current.mNode];
      if (mNow >= node.mFrozenFrom && mNow < node.mFrozenUntil) {
        Schedule(node.mFrozenUntil, current.mNode, current.mAction);
      } else if (current.mEpoch == node.mEpoch) {
        current.mAction();
        WatchTimer();
      }
    }
  }

  bool SendToRoot(const attempt_grant& aGrant) override
  {
    const std::size_t index = mExecutions.size();
    if (index + 1 >= mNodes.size()) {
      return false;
    }
    mExecutions.push_back(std::make_unique<execution>());
    execution& current = *mExecutions.back();
    current.mNode = index + 1;
    current.mAllowed = aGrant.mAttempts;
    current.mReserved = aGrant.mReserved;
    ToRoot(index, [this, index] { OnQuery(index); });
    if (Chance(mRates.mBreak)) {
      Schedule(After(0, 200), kReceiver, [this, index] { Break(index); });
    }
    Schedule(mNow + milliseconds(20), kReceiver, [this, index] {
      if (!mExecutions[index]->mHeard) {
        mHandOver.OnUnconfirmed(index, true, mNow);
      }
    });
    return true;
  }
  void Grant(std::size_t aExecution, int aAttempts) override
  {
    ToRoot(aExecution, [this, aExecution, aAttempts] {
      execution& current = *mExecutions[aExecution];
      current.mAllowed += aAttempts;
      current.mReserved = 0;
      Spend(aExecution);
    });
  }
  void Cancel(std::size_t aExecution) override
  {
    ToRoot(aExecution,
           [this, aExecution] { mExecutions[aExecution]->mClosed = true; });
    mExecutions[aExecution]->mBroken = true;
  }
  void Answer(std::size_t aExecution) override
  {
    Finish();
    mAnsweredAt = mNow;
    mPromisedNotRun = mExecutions[aExecution]->mSaysNotRun &&
                      !mHandOver.MayHaveRunBeside(aExecution);
  }
  void ExecuteHere(const attempt_grant& aGrant) override
  {
    Finish();
    mAttempts += aGrant.mAttempts;
  }
  void Refuse() override
  {
    Finish();
    mPromisedNotRun = true;
  }
  void Fail() override { Finish(); }

  // Results.
  int mAttempts = 0; ///< At one shard, each at another leaf.
  int mFinalActions = 0;
  bool mCallerLeft = false;
  bool mPromisedNotRun = false;
  model::instant mFinishedAt{};
  std::optional<model::instant> mAnsweredAt;

  static constexpr int kDeadlineMs = 1'000;

private:
  static constexpr std::size_t kReceiver = 0;

  struct event
  {
    std::size_t mNode = 0;
    int mEpoch = 0;
    std::function<void()> mAction;
  };
  struct node_state
  {
    model::instant mFrozenFrom = model::instant::max();
    model::instant mFrozenUntil{};
    int mEpoch = 0; ///< Of the process; its events end with it.
  };
  struct execution
  {
    std::size_t mNode = 0;
    int mAllowed = 0;
    int mReserved = 0;
    int mSpent = 0;
    bool mAsked = false;
    bool mRunning = false;
    bool mClosed = false; ///< The root has noticed the end of the connection.
    bool mBroken = false; ///< No further message arrives at the receiver.
    bool mHeard = false;  ///< The receiver has heard from the root.
    bool mSaysNotRun = false;
    model::instant mLastToRoot{};
    model::instant mLastToReceiver{};
  };

  static model::instant At(int aMs)
  {
    return model::instant(milliseconds(aMs));
  }
  int Uniform(int aFrom, int aTo)
  {
    return std::uniform_int_distribution<int>(aFrom, aTo)(mRandom);
  }
  bool Chance(double aRate)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aRate;
  }
  model::instant After(int aFromMs, int aToMs)
  {
    return mNow + milliseconds(Uniform(aFromMs, aToMs));
  }
  void Schedule(model::instant aAt,
                std::size_t aNode,
                std::function<void()> aAction)
  {
    mEvents.emplace(std::pair(aAt, ++mSequence),
                    event{ aNode, mNodes[aNode].mEpoch, std::move(aAction) });
  }
  /** Arrival of a message behind those that were sent before it. */
  model::instant Arrival(model::instant& aLast)
  {
    const int delay = Chance(mRates.mSlowLink) ? Uniform(1, 300) : 1;
    aLast = std::max(aLast, mNow + milliseconds(delay));
    return aLast;
  }
  void ToRoot(std::size_t aExecution, std::function<void()> aAction)
  {
    execution& current = *mExecutions[aExecution];
    if (!current.mBroken) {
      Schedule(Arrival(current.mLastToRoot), current.mNode, std::move(aAction));
    }
  }
  void ToReceiver(std::size_t aExecution, std::function<void()> aAction)
  {
    execution& current = *mExecutions[aExecution];
    Schedule(Arrival(current.mLastToReceiver),
             kReceiver,
             [this, aExecution, action = std::move(aAction)] {
               if (!mExecutions[aExecution]->mBroken) {
                 mExecutions[aExecution]->mHeard = true;
                 action();
               }
             });
  }
  void OnQuery(std::size_t aExecution)
  {
    execution& current = *mExecutions[aExecution];
    if (Chance(mRates.mRefusal)) {
      ToReceiver(aExecution, [this, aExecution] {
        mHandOver.OnRefused(aExecution, true, mNow);
      });
      return;
    }
    ToReceiver(aExecution,
               [this, aExecution] { mHandOver.OnConfirmed(aExecution); });
    const bool failed = Chance(mRates.mFailure);
    current.mSaysNotRun = failed && Chance(0.5);
    current.mRunning = !current.mSaysNotRun;
    Spend(aExecution);
    if (current.mRunning) {
      Schedule(After(4, 60), current.mNode, [this, aExecution] {
        AskForAttempts(aExecution);
      });
    }
    Schedule(After(5, 90), current.mNode, [this, aExecution, failed] {
      mExecutions[aExecution]->mRunning = false;
      ToReceiver(aExecution, [this, aExecution, failed] {
        mHandOver.OnAnswer(aExecution, !failed, mNow);
      });
    });
  }
  /** Uses all attempts at once, each at a leaf that has not had the query. */
  void Spend(std::size_t aExecution)
  {
    execution& current = *mExecutions[aExecution];
    if (current.mRunning && !current.mClosed) {
      mAttempts += current.mAllowed - current.mSpent;
      current.mSpent = current.mAllowed;
    }
  }
  void AskForAttempts(std::size_t aExecution)
  {
    execution& current = *mExecutions[aExecution];
    if (current.mRunning && !current.mClosed && current.mReserved > 0 &&
        !std::exchange(current.mAsked, true)) {
      ToReceiver(aExecution, [this, aExecution] {
        mHandOver.OnAttemptsWanted(aExecution);
      });
    }
  }
  void Restart(std::size_t aNode)
  {
    ++mNodes[aNode].mEpoch;
    for (std::size_t index = 0; index < mExecutions.size(); ++index) {
      if (mExecutions[index]->mNode == aNode) {
        Break(index);
      }
    }
  }
  /** Ends a connection; either side may notice it late or never. */
  void Break(std::size_t aExecution)
  {
    execution& current = *mExecutions[aExecution];
    if (Chance(0.8)) {
      Schedule(After(0, 100), current.mNode, [this, aExecution] {
        mExecutions[aExecution]->mClosed = true;
      });
    }
    if (Chance(0.8)) {
      Schedule(After(0, 100), kReceiver, [this, aExecution] {
        mExecutions[aExecution]->mHeard = true;
        mExecutions[aExecution]->mBroken = true;
        mHandOver.OnLost(aExecution, true, mNow);
      });
    }
  }
  void WatchTimer()
  {
    const auto wake = mHandOver.NextWake();
    if (wake && wake != mWatched) {
      mWatched = wake;
      Schedule(*wake, kReceiver, [this] { mHandOver.OnTimer(mNow); });
    }
  }
  void Finish()
  {
    ++mFinalActions;
    mFinishedAt = mNow;
  }

  std::mt19937 mRandom;
  fault_rates mRates;
  model::instant mNow{};
  std::uint64_t mSequence = 0;
  std::map<std::pair<model::instant, std::uint64_t>, event> mEvents;
  std::array<node_state, 4> mNodes;
  std::vector<std::unique_ptr<execution>> mExecutions;
  std::optional<model::instant> mWatched;
  hand_over mHandOver;
};

constexpr fault_rates kMixedFaults{ 0.2, 0.3, 0.2, 0.2, 0.15, 0.2, 0.1 };
constexpr std::uint32_t kOrders = 20'000;

/** Guards against a query on more leaves of a shard than its route allows.
 * Several roots executed it, since a confirmation that was late, lost or not
 * yet read made the receiver hand it over again, and each used the whole
 * maximum or one attempt more. */
TEST(hand_over_test, AllExecutionsOfAQueryStayWithinItsAttempts)
{
  for (int maxAttempts = 1; maxAttempts <= 4; ++maxAttempts) {
    for (std::uint32_t seed = 0; seed < kOrders; ++seed) {
      query_world world(seed, maxAttempts, kMixedFaults);
      world.Run();
      ASSERT_LE(world.mAttempts, maxAttempts) << "seed " << seed;
    }
  }
}

/** Guards against callers without an answer, or with two. */
TEST(hand_over_test, EachQueryEndsOnceAndInTime)
{
  for (std::uint32_t seed = 0; seed < kOrders; ++seed) {
    fault_rates rates = kMixedFaults;
    query_world world(seed, 2, rates);
    world.Run();
    ASSERT_EQ(world.mFinalActions, world.mCallerLeft ? 0 : 1)
      << "seed " << seed;
    // A receiver that is suspended answers when it runs again.
    ASSERT_LE(world.mFinishedAt,
              model::instant(milliseconds(query_world::kDeadlineMs + 1'620)))
      << "seed " << seed;
  }
}

/** Guards against a refusal that promises that a query has not run, while a
 * lost root executes it. */
TEST(hand_over_test, ARefusalIsTrue)
{
  int refusals = 0;
  for (std::uint32_t seed = 0; seed < kOrders; ++seed) {
    fault_rates rates = kMixedFaults;
    rates.mRefusal = 0.5;
    query_world world(seed, 2, rates);
    world.Run();
    if (world.mPromisedNotRun) {
      ++refusals;
      ASSERT_EQ(world.mAttempts, 0) << "seed " << seed;
    }
  }
  EXPECT_GT(refusals, 100);
}

/** Guards against a bound that is kept by withholding hedges: without faults, a
 * root gets all attempts that it asks for. */
TEST(hand_over_test, ARootGetsTheAttemptsThatItsHedgesNeed)
{
  int hedged = 0;
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    query_world world(seed, 2, {});
    world.Run();
    ASSERT_TRUE(world.mAnsweredAt) << "seed " << seed;
    ASSERT_LE(*world.mAnsweredAt, model::instant(milliseconds(100)));
    hedged += world.mAttempts == 2 ? 1 : 0;
  }
  EXPECT_GT(hedged, 100);
}

} // namespace
} // namespace monsooncroft::serving
