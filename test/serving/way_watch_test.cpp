/**
 * @file way_watch_test.cpp
 * A data centre that is cut off, and what callers asked for lately.
 */
#include "serving/recent_demand_base.h"
#include "serving/way_watch_base.h"

#include <gtest/gtest.h>

#include <chrono>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(100) };

TEST(WayWatch, SeveralSilentLeavesLoseTheWayAndOneSignRestoresIt)
{
  way_watch way;
  const model::instant sent = kStart + milliseconds(10);
  way.OnTick(kStart, { sent, sent });
  EXPECT_FALSE(way.Lost());
  way.OnTick(kStart, { sent, sent, sent });
  EXPECT_TRUE(way.Lost());
  way.OnTick(kStart, {});
  EXPECT_TRUE(way.Lost());
  way.OnTick(kStart + milliseconds(400), { sent, sent, sent });
  EXPECT_FALSE(way.Lost());
}

/** Slow or crashed leaves beside one that answers are no cut. */
TEST(WayWatch, ALeafThatAnswersKeepsTheWay)
{
  way_watch way;
  const model::instant sent = kStart + milliseconds(10);
  way.OnTick(sent + milliseconds(1), { sent, sent, sent, sent, sent });
  EXPECT_FALSE(way.Lost());
}

TEST(WayWatch, TheWayIsTriedNowAndThenWhileItIsLost)
{
  way_watch way;
  EXPECT_FALSE(way.TakeTry(kStart));
  way.OnTick(kStart, {});
  EXPECT_TRUE(way.OnToldLost());
  EXPECT_FALSE(way.OnToldLost());
  int tries = 0;
  for (int tick = 0; tick < 40; ++tick) {
    tries += way.TakeTry(kStart + milliseconds(50) * tick) ? 1 : 0;
  }
  EXPECT_EQ(tries, 8);
}

/** A word of a neighbour whose own link is at fault. */
TEST(WayWatch, AWrongWordEndsWithTheFirstTryThatSucceeds)
{
  way_watch way;
  way.OnTick(kStart, {});
  way.OnToldLost();
  way.OnTick(kStart, {});
  EXPECT_TRUE(way.Lost());
  EXPECT_TRUE(way.TakeTry(kStart + milliseconds(50)));
  way.OnTick(kStart + milliseconds(55), {});
  EXPECT_FALSE(way.Lost());
}

TEST(RecentDemand, IsHalfForgottenAfterSomeSeconds)
{
  recent_demand demand;
  for (int request = 0; request < 8; ++request) {
    demand.OnRequest("a", kStart);
  }
  demand.OnRequest("b", kStart);
  EXPECT_NEAR(demand.Of("a", kStart) / demand.Of("b", kStart), 8, 0.1);
  EXPECT_NEAR(demand.Of("a", kStart + seconds(10)), 4, 0.1);
  EXPECT_GT(demand.Of("never", kStart), 0);
}

} // namespace
} // namespace monsooncroft::serving
