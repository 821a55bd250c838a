/**
 * @file data_centre_reachability_test.cpp
 * Detection of unreachable data centres, and recent request counts.
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

TEST(DataCentreReachability, SeveralOverdueLeavesMakeItUnreachableUntilAContact)
{
  data_centre_reachability reachability;
  const model::instant sent = kStart + milliseconds(10);
  reachability.OnTick(kStart, { sent, sent });
  EXPECT_FALSE(reachability.IsUnreachable());
  reachability.OnTick(kStart, { sent, sent, sent });
  EXPECT_TRUE(reachability.IsUnreachable());
  reachability.OnTick(kStart, {});
  EXPECT_TRUE(reachability.IsUnreachable());
  reachability.OnTick(kStart + milliseconds(400), { sent, sent, sent });
  EXPECT_FALSE(reachability.IsUnreachable());
}

/** Slow or crashed leaves while another leaf answers are not a partition. */
TEST(DataCentreReachability, AnAnsweringLeafKeepsItReachable)
{
  data_centre_reachability reachability;
  const model::instant sent = kStart + milliseconds(10);
  reachability.OnTick(sent + milliseconds(1), { sent, sent, sent, sent, sent });
  EXPECT_FALSE(reachability.IsUnreachable());
}

TEST(DataCentreReachability, IsProbedPeriodicallyWhileUnreachable)
{
  data_centre_reachability reachability;
  EXPECT_FALSE(reachability.TakeProbe(kStart));
  reachability.OnTick(kStart, {});
  EXPECT_TRUE(reachability.OnPeerReportedUnreachable());
  EXPECT_FALSE(reachability.OnPeerReportedUnreachable());
  int probes = 0;
  for (int tick = 0; tick < 40; ++tick) {
    probes += reachability.TakeProbe(kStart + milliseconds(50) * tick) ? 1 : 0;
  }
  EXPECT_EQ(probes, 8);
}

/** A peer with a faulty network connection of its own reports reachable data
 * centres as unreachable. */
TEST(DataCentreReachability, AFalseReportEndsWithTheFirstSuccessfulProbe)
{
  data_centre_reachability reachability;
  reachability.OnTick(kStart, {});
  reachability.OnPeerReportedUnreachable();
  reachability.OnTick(kStart, {});
  EXPECT_TRUE(reachability.IsUnreachable());
  EXPECT_TRUE(reachability.TakeProbe(kStart + milliseconds(50)));
  reachability.OnTick(kStart + milliseconds(55), {});
  EXPECT_FALSE(reachability.IsUnreachable());
}

TEST(RecentDemand, DecaysWithAHalfLifeOfTenSeconds)
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
