/**
 * @file fair_queue_test.cpp
 * Tests the order of requests at a leaf under load, in virtual time.
 */
#include "serving/fair_queue_base.h"
#include "serving/fair_room_func.h"

#include <gtest/gtest.h>

#include <array>
#include <numeric>
#include <random>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(1'000) };

/** Requests that one workspace sends. */
struct workload
{
  std::string mName;
  int mRank = 0;
  double mPerSecond = 1;
  milliseconds mCost{ 11 };
  milliseconds mAnswerWithin{ 150 };
  milliseconds mDeadline{ 600 };
};

struct request
{
  std::size_t mWorkload;
  model::instant mExpiresAt;
};

/** A leaf with two slots and one queue for a minute. */
class leaf_simulation
{
public:
  leaf_simulation(std::vector<workload> aWorkloads, unsigned aSeed)
    : mWorkloads(std::move(aWorkloads))
    , mRandom(aSeed)
    , mSent(mWorkloads.size())
    , mServed(mWorkloads.size())
  {
    std::vector<model::instant> next(mWorkloads.size(), kStart);
    for (std::size_t index = 0; index < next.size(); ++index) {
      next[index] += Gap(index);
    }
    for (;;) {
      const auto first = static_cast<std::size_t>(
        std::min_element(next.begin(), next.end()) - next.begin());
      const model::instant now = next[first];
      Serve(now);
      if (now >= kStart + seconds(60)) {
        return;
      }
      const workload& load = mWorkloads[first];
      mQueue.Insert(
        { first, now + load.mDeadline },
        { load.mName, load.mRank, now + load.mAnswerWithin, load.mCost });
      ++mSent[first];
      next[first] += Gap(first);
    }
  }

  /** Fraction of a workload's requests that were served in time. */
  double Fraction(std::size_t aWorkload) const
  {
    return static_cast<double>(mServed[aWorkload]) / mSent[aWorkload];
  }
  double FractionOfAll() const
  {
    return std::accumulate(mServed.begin(), mServed.end(), 0.0) /
           std::accumulate(mSent.begin(), mSent.end(), 0.0);
  }

private:
  model::duration Gap(std::size_t aWorkload)
  {
    std::exponential_distribution<double> gap(mWorkloads[aWorkload].mPerSecond);
    return std::chrono::duration_cast<model::duration>(
      std::chrono::duration<double>(gap(mRandom)));
  }

  /** Lets the slots take requests until a time. */
  void Serve(model::instant aUntil)
  {
    for (;;) {
      model::instant& slot = *std::min_element(mSlots.begin(), mSlots.end());
      if (slot >= aUntil) {
        return;
      }
      mQueue.RemoveIf(
        [&](const request& aEach) { return slot >= aEach.mExpiresAt; });
      const auto taken = mQueue.TakeNext([](const request&) { return true; });
      if (!taken) {
        slot = aUntil;
        continue;
      }
      ++mServed[taken->mWorkload];
      slot += mWorkloads[taken->mWorkload].mCost;
    }
  }

  std::vector<workload> mWorkloads;
  std::mt19937 mRandom;
  fair_queue<request> mQueue;
  std::array<model::instant, 2> mSlots{ kStart, kStart };
  std::vector<int> mSent;
  std::vector<int> mServed;
};

/** Eight workspaces use 44 % of the leaf; a ninth sends 20 times as much as
 * each of them. By time alone, all lost a third of their requests. */
TEST(FairQueue, AWorkspaceThatSendsTooMuchWaitsForItself)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    std::vector<workload> loads;
    for (int index = 0; index < 8; ++index) {
      loads.push_back({ "w" + std::to_string(index), 0, 10 });
    }
    loads.push_back({ "greedy", 0, 200 });
    const leaf_simulation leaf(loads, seed);
    for (std::size_t index = 0; index < 8; ++index) {
      EXPECT_GT(leaf.Fraction(index), 0.99) << index << " seed " << seed;
    }
    // What the others leave is not wasted.
    EXPECT_GT(leaf.Fraction(8), 0.45) << seed;
  }
}

/** The same with requests of ten times the work at the usual rate. */
TEST(FairQueue, SharesAreOfWorkNotOfRequests)
{
  std::vector<workload> loads;
  for (int index = 0; index < 4; ++index) {
    loads.push_back({ "w" + std::to_string(index), 0, 20 });
  }
  loads.push_back({ "heavy", 0, 20, milliseconds(110) });
  loads.push_back({ "light", 0, 20 });
  const leaf_simulation leaf(loads, 7);
  for (const std::size_t index : { 0, 1, 2, 3, 5 }) {
    EXPECT_GT(leaf.Fraction(index), 0.97) << index;
  }
  EXPECT_LT(leaf.Fraction(4), 0.6);
}

/** Urgent requests of one workspace fill the leaf. The others got nothing; the
 * page allows no less than a quarter of what all get on average. */
TEST(FairQueue, AnUrgentRankDoesNotStarveOthers)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    std::vector<workload> loads{ { "urgent", 0, 250 } };
    for (int index = 0; index < 6; ++index) {
      // Also workspaces that send a request in several seconds.
      loads.push_back(
        { "w" + std::to_string(index), 1 + index % 3, index < 2 ? 0.4 : 8.0 });
    }
    const leaf_simulation leaf(loads, seed);
    const double least = leaf.FractionOfAll() / 4;
    for (std::size_t index = 1; index < loads.size(); ++index) {
      EXPECT_GE(leaf.Fraction(index), least) << index << " seed " << seed;
      // The rank counts beyond that.
      EXPECT_LT(leaf.Fraction(index), leaf.Fraction(0)) << index;
    }
  }
}

TEST(FairQueue, AnUrgentRankGoesFirst)
{
  const leaf_simulation leaf({ { "patient", 1, 220 }, { "urgent", 0, 120 } },
                             3);
  EXPECT_GT(leaf.Fraction(1), 0.97);
  EXPECT_LT(leaf.Fraction(0), 0.35);
}

/** One workspace has most of the usual load. With equal shares alone it got
 * what the others left, a fraction below a quarter of the average. */
TEST(FairQueue, ALargeWorkspaceIsNotStarvedByManySmallOnes)
{
  std::vector<workload> loads{ { "large", 0, 200 } };
  for (int index = 0; index < 40; ++index) {
    loads.push_back({ "w" + std::to_string(index), 0, 4.5 });
  }
  const leaf_simulation leaf(loads, 5);
  for (std::size_t index = 0; index < loads.size(); ++index) {
    EXPECT_GE(leaf.Fraction(index), leaf.FractionOfAll() / 4) << index;
  }
}

/** A workspace that sends its next request as soon as the last is taken, so
 * that it has one waiting at a time, gets no more than one that sends many. */
TEST(FairQueue, OneRequestAtATimeIsNoAdvantage)
{
  fair_queue<int> queue;
  std::array<int, 3> taken{};
  const auto add = [&](int aWho, const char* aName) {
    queue.Insert(aWho, { aName, 0, kStart, milliseconds(10) });
  };
  for (int count = 0; count < 400; ++count) {
    add(0, "a");
    add(1, "b");
  }
  add(2, "single");
  for (int count = 0; count < 300; ++count) {
    const int who = *queue.TakeNext([](int) { return true; });
    ++taken.at(static_cast<std::size_t>(who));
    if (who == 2) {
      add(2, "single");
    }
  }
  for (const int each : taken) {
    EXPECT_NEAR(each, 100, 3);
  }
}

/** Guards against another order where the configuration has no workspaces: by
 * time, first come first of equal times, past those that are not accepted. */
TEST(FairQueue, WithoutWorkspacesTheOrderIsThatOfTime)
{
  std::mt19937 random(1);
  fair_queue<int> queue;
  std::vector<std::pair<int, int>> expected; // Time and item.
  for (int step = 0; step < 20'000; ++step) {
    if (random() % 5 < 3) {
      const int time = static_cast<int>(random() % 50);
      const auto after = std::upper_bound(
        expected.begin(),
        expected.end(),
        time,
        [](int aTime, const auto& aOne) { return aTime < aOne.first; });
      expected.insert(after, { time, step });
      queue.Insert(step,
                   { "", 0, kStart + milliseconds(time), milliseconds(step) });
      continue;
    }
    const int parity = static_cast<int>(random() % 2);
    const bool any = random() % 2 == 0;
    const auto accepts = [&](int aItem) { return any || aItem % 2 == parity; };
    const auto next =
      std::find_if(expected.begin(), expected.end(), [&](const auto& aOne) {
        return accepts(aOne.second);
      });
    const auto taken = queue.TakeNext(accepts);
    ASSERT_EQ(taken.has_value(), next != expected.end());
    if (taken) {
      ASSERT_EQ(*taken, next->second);
      expected.erase(next);
    }
    ASSERT_EQ(queue.Size(), expected.size());
  }
}

TEST(FairQueue, ItemsAreRemovedOnce)
{
  fair_queue<int> queue;
  for (int item = 0; item < 12; ++item) {
    queue.Insert(item,
                 { item % 2 == 0 ? "a" : "b", item % 3, kStart, seconds(1) });
  }
  auto removed = queue.RemoveIf([](int aItem) { return aItem < 5; });
  const auto taken = queue.TakeNext([](int aItem) { return aItem == 7; });
  EXPECT_EQ(taken, 7);
  EXPECT_FALSE(queue.TakeNext([](int aItem) { return aItem == 7; }));
  EXPECT_EQ(queue.Size(), 6U);
  auto rest = queue.TakeAll();
  EXPECT_TRUE(queue.Empty());
  rest.insert(rest.end(), removed.begin(), removed.end());
  std::sort(rest.begin(), rest.end());
  EXPECT_EQ(rest, (std::vector<int>{ 0, 1, 2, 3, 4, 5, 6, 8, 9, 10, 11 }));
}

/** One workspace filled all room of a root, and all others were refused. */
TEST(FairRoom, OneWorkspaceDoesNotTakeAllRoom)
{
  constexpr std::size_t kRoom = 24;
  for (std::size_t greedy = 1; greedy <= 11; ++greedy) {
    std::vector<std::size_t> used(greedy);
    const auto total = [&] {
      return std::accumulate(used.begin(), used.end(), std::size_t{ 0 });
    };
    for (int round = 0; round < 100; ++round) {
      for (std::size_t& each : used) {
        each += HasRoomFor(each, total(), kRoom) ? 1 : 0;
      }
    }
    EXPECT_TRUE(HasRoomFor(0, total(), kRoom)) << greedy;
    const auto [least, most] = std::minmax_element(used.begin(), used.end());
    EXPECT_LE(*most - *least, 1U) << greedy;
    EXPECT_GE(total(), kRoom * 2 / 3) << greedy;
  }
  EXPECT_FALSE(HasRoomFor(0, kRoom, kRoom));
}

} // namespace
} // namespace monsooncroft::serving
