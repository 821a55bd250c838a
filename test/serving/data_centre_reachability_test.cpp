/**
 * @file data_centre_reachability_test.cpp
 * A data centre that is cut off, and what callers asked for lately.
 */
#include "serving/data_centre_reachability_base.h"
#include "serving/recent_demand_base.h"

#include <gtest/gtest.h>

#include <chrono>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(100) };

TEST(WayWatch, SeveralSilentLeavesLoseTheWayAndOneSignRestoresIt)
{
  data_centre_reachability way;
  const model::instant sent = kStart + milliseconds(10);
  way.OnTick(kStart, { sent, sent });
  EXPECT_FALSE(way.IsUnreachable());
  way.OnTick(kStart, { sent, sent, sent });
  EXPECT_TRUE(way.IsUnreachable());
  way.OnTick(kStart, {});
  EXPECT_TRUE(way.IsUnreachable());
  way.OnTick(kStart + milliseconds(400), { sent, sent, sent });
  EXPECT_FALSE(way.IsUnreachable());
}

/** Slow or crashed leaves beside one that answers are no cut. */
TEST(WayWatch, ALeafThatAnswersKeepsTheWay)
{
  data_centre_reachability way;
  const model::instant sent = kStart + milliseconds(10);
  way.OnTick(sent + milliseconds(1), { sent, sent, sent, sent, sent });
  EXPECT_FALSE(way.IsUnreachable());
}

TEST(WayWatch, TheWayIsTriedNowAndThenWhileItIsLost)
{
  data_centre_reachability way;
  EXPECT_FALSE(way.TakeProbe(kStart));
  way.OnTick(kStart, {});
  EXPECT_TRUE(way.OnPeerReportedUnreachable());
  EXPECT_FALSE(way.OnPeerReportedUnreachable());
  int tries = 0;
  for (int tick = 0; tick < 40; ++tick) {
    tries += way.TakeProbe(kStart + milliseconds(50) * tick) ? 1 : 0;
  }
  EXPECT_EQ(tries, 8);
}

/** A word of a neighbour whose own link is at fault. */
TEST(WayWatch, AWrongWordEndsWithTheFirstTryThatSucceeds)
{
  data_centre_reachability way;
  way.OnTick(kStart, {});
  way.OnPeerReportedUnreachable();
  way.OnTick(kStart, {});
  EXPECT_TRUE(way.IsUnreachable());
  EXPECT_TRUE(way.TakeProbe(kStart + milliseconds(50)));
  way.OnTick(kStart + milliseconds(55), {});
  EXPECT_FALSE(way.IsUnreachable());
}

TEST(RecentDemand, IsHalfForgottenAfterSomeSeconds)
{
  recent_demand demand;
  for (int request = 0; request < 8; ++request) {
    demand.OnRequest("a", kStart);
  }
  demand.OnRequest("b", kStart);
  EXPECT_NEAR(demand.Weight("a", kStart) / demand.Weight("b", kStart), 8, 0.1);
  EXPECT_NEAR(demand.Weight("a", kStart + seconds(10)), 4, 0.1);
  EXPECT_GT(demand.Weight("never", kStart), 0);
}

} // namespace
} // namespace monsooncroft::serving
