/**
 * @file load_test.cpp
 * Arrivals, quantiles and targets of the load generator.
 */
#include "bench/load/arrival_schedule.h"
#include "bench/load/latency_histogram.h"
#include "bench/load/target_set.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>

namespace monsooncroft::bench {
namespace {

constexpr char kPlan[] = R"({"seed": 7, "length_ms": 100000,
  "targets": ["127.0.0.1:27010"], "flows": [
  {"name": "a", "services": ["x", "y"], "kind": "k", "tenant": "t", "rate_per_s": 50},
  {"name": "b", "services": ["x"], "kind": "k", "tenant": "t", "rate_per_s": 10, "start_ms": 50000}]})";

TEST(ArrivalSchedule, DependsOnTheSeedOnly)
{
  load_plan plan = ParsePlan(kPlan);
  const std::vector<arrival> first = DrawArrivals(plan);
  EXPECT_EQ(first, DrawArrivals(plan));
  plan.mSeed = 8;
  EXPECT_NE(first, DrawArrivals(plan));
}

TEST(ArrivalSchedule, IsOrderedAndKeepsRatesAndStarts)
{
  const std::vector<arrival> arrivals = DrawArrivals(ParsePlan(kPlan));
  EXPECT_TRUE(std::ranges::is_sorted(arrivals, {}, &arrival::mDue));
  std::array<int, 2> counts{};
  std::set<std::size_t> services;
  for (const arrival& one : arrivals) {
    ++counts.at(one.mFlow);
    services.insert(one.mService);
    EXPECT_TRUE(one.mFlow == 0 || one.mDue >= std::chrono::seconds(50));
  }
  EXPECT_NEAR(counts[0], 5000, 300);
  EXPECT_NEAR(counts[1], 500, 100);
  EXPECT_EQ(services.size(), 2U);
}

TEST(ArrivalSchedule, AFlowDoesNotChangeWithItsNeighbours)
{
  load_plan plan = ParsePlan(kPlan);
  const std::vector<arrival> both = DrawArrivals(plan);
  plan.mFlows.pop_back();
  std::vector<arrival> first;
  std::ranges::copy_if(both, std::back_inserter(first), [](const arrival& one) {
    return one.mFlow == 0;
  });
  EXPECT_EQ(first, DrawArrivals(plan));
}

TEST(LoadPlan, WrongOnesAreRefused)
{
  EXPECT_THROW(ParsePlan("{}"), std::exception);
  EXPECT_THROW(ParsePlan(R"({"seed":1,"targets":["x"],"flows":[]})"),
               std::exception);
  EXPECT_THROW(ParsePlan(R"({"seed":1,"targets":[],"flows":[]})"),
               std::exception);
}

TEST(LatencyHistogram, QuantilesAreWithinOnePercent)
{
  latency_histogram histogram;
  EXPECT_EQ(histogram.Quantile(0.5), 0);
  for (int i = 1; i <= 10000; ++i) {
    histogram.Add(i / 10.0);
  }
  EXPECT_EQ(histogram.Count(), 10000U);
  for (const double fraction : { 0.01, 0.5, 0.99, 0.999 }) {
    EXPECT_NEAR(histogram.Quantile(fraction), 1000 * fraction, 11 * fraction);
  }
  EXPECT_EQ(histogram.Quantile(1), 1000);
  EXPECT_EQ(histogram.Max(), 1000);
}

TEST(LatencyHistogram, ExtremesAreKept)
{
  latency_histogram histogram;
  histogram.Add(0);
  histogram.Add(1e9);
  EXPECT_EQ(histogram.Count(), 2U);
  EXPECT_EQ(histogram.Max(), 1e9);
  EXPECT_GE(histogram.Quantile(1), 1e5);
}

TEST(TargetSet, PassesOverUnreadyTargets)
{
  const model::endpoint one{ "127.0.0.1", 1 };
  const model::endpoint two{ "127.0.0.1", 2 };
  target_set targets({ one, two });
  EXPECT_NE(targets.Next(), targets.Next());
  targets.SetReady(0, false);
  EXPECT_EQ(targets.Next(), two);
  EXPECT_EQ(targets.Next(), two);
  targets.SetReady(1, false);
  EXPECT_NE(targets.Next(), targets.Next());
}

} // namespace
} // namespace monsooncroft::bench
