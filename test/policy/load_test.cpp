/**
 * @file load_test.cpp
 * Policies under load in virtual time. Each test prints its measurements.
 */
#include "test/policy/virtual_load.h"

#include <gtest/gtest.h>

#include <iostream>

namespace monsooncroft::policy {
namespace {

using namespace std::chrono_literals;

load_result
Measure(const std::string& aName, const load_settings& aSettings)
{
  const load_result out = RunLoad(aSettings);
  std::cout << FormatRow(aName, out);
  return out;
}

std::string
Name(const char* aName, double aLoad)
{
  return std::string(aName) + " load " + std::to_string(aLoad).substr(0, 4);
}

TEST(load, goodput_holds_beyond_capacity)
{
  double peak = 0;
  double twice = 0;
  for (const double load : { 0.7, 0.9, 1.1, 1.5, 2.0, 4.0 }) {
    load_settings settings;
    settings.mLoad = load;
    const double goodput = Measure(Name("weighted", load), settings).mGoodput;
    peak = std::max(peak, goodput);
    twice = load == 2.0 ? goodput : twice;
    settings.mAdmission.mMode = admission_mode::Fifo;
    Measure(Name("fifo", load), settings);
  }
  EXPECT_GE(twice, 0.9 * peak);
}

TEST(load, urgent_goes_first_and_browsing_does_not_starve)
{
  for (const int step : { 10, 20, 40, 80, 100'000 }) {
    load_settings settings;
    settings.mLoad = 1.3;
    settings.mUrgentFraction = 0.8;
    settings.mAdmission.mAgeingStep = std::chrono::milliseconds(step);
    const load_result out =
      Measure("ageing step " + std::to_string(step) + " ms", settings);
    if (step == 40) {
      EXPECT_GT(out.mClasses[0].GoodFraction(), 0.85);
      // More than 5 good answers per second.
      EXPECT_GT(out.mClasses[1].mGoodAnswers, 60 * 5);
    }
  }
}

TEST(load, flooding_workspace_takes_nothing_from_another)
{
  load_settings alone;
  alone.mLoad = 0.2;
  const load_result quiet = Measure("small workspace alone", alone);
  load_settings flooded;
  flooded.mLoad = 2.0;
  flooded.mWorkspaces = { { "small", 0.1, 1 }, { "flood", 0.9, 1 } };
  const load_result weighted = Measure("flooded", flooded);
  flooded.mAdmission.mMode = admission_mode::Fifo;
  const load_result fifo = Measure("flooded, fifo", flooded);
  const auto small = [](const load_result& aResult) {
    const load_count& out = aResult.mWorkspaces.at("small");
    std::cout << "  small workspace: " << 100 * out.GoodFraction()
              << "% good\n";
    return out.GoodFraction();
  };
  EXPECT_GT(small(weighted), 0.97);
  EXPECT_LT(small(fifo), 0.8);
  EXPECT_GT(quiet.mClasses[0].GoodFraction(), 0.99);
}

TEST(load, contended_slots_follow_the_weights)
{
  load_settings settings;
  settings.mLoad = 3.0;
  settings.mUrgentFraction = 0;
  settings.mWorkspaces = { { "heavy", 0.5, 3 }, { "light", 0.5, 1 } };
  const load_result out = Measure("weights 3 and 1", settings);
  const int heavy = out.mWorkspaces.at("heavy").mGoodAnswers;
  const int light = out.mWorkspaces.at("light").mGoodAnswers;
  std::cout << "  heavy " << heavy << ", light " << light << "\n";
  EXPECT_NEAR(1.0 * heavy / light, 3, 0.4);
}

TEST(load, hedges_cut_the_tail_within_their_budget)
{
  for (const double load : { 0.3, 0.5, 0.7, 0.85 }) {
    load_settings settings;
    settings.mShards = 16;
    settings.mReplicas = 2;
    settings.mLoad = load;
    settings.mSlowFraction = 0.03;
    settings.mDeadlines = { 1000ms, 2000ms };
    settings.mDuration = 30s;
    const load_result none = Measure(Name("no hedge", load), settings);
    settings.mHedge = hedge_mode::Fixed;
    Measure(Name("30 ms", load), settings);
    settings.mHedge = hedge_mode::Quantile;
    const load_result hedged = Measure(Name("p95", load), settings);
    EXPECT_LE(hedged.mExtraAttemptRatio, 0.055);
    if (load <= 0.5) {
      EXPECT_LT(hedged.mClasses[0].LatencyMillis(0.99),
                none.mClasses[0].LatencyMillis(0.99));
    }
  }
}

TEST(load, crowded_leaf_gets_fewer_slots_and_a_slow_one_keeps_them)
{
  const auto run = [](int aCrowdedSlots, double aSlowdown, bool aAdaptive) {
    load_settings settings;
    settings.mSlots = 6;
    settings.mLoad = 0.6;
    settings.mSlowFraction = 0.03;
    settings.mCrowdedFrom = 10s;
    settings.mCrowdedSlots = aCrowdedSlots;
    settings.mSlowdown = aSlowdown;
    settings.mAdmission.mAdaptive = aAdaptive;
    return Measure((aAdaptive ? "adaptive, " : "declared, ") +
                     std::to_string(aCrowdedSlots) + " slots, time x " +
                     std::to_string(aSlowdown).substr(0, 3),
                   settings);
  };
  for (const int crowded : { 0, 3, 2 }) {
    const double fixed = run(crowded, 1, false).mGoodput;
    const double adaptive = run(crowded, 1, true).mGoodput;
    EXPECT_GE(adaptive, (crowded > 0 ? 1.2 : 0.98) * fixed);
  }
  const double fixed = run(0, 4, false).mGoodput;
  EXPECT_GE(run(0, 4, true).mGoodput, 0.95 * fixed);
}

} // namespace
} // namespace monsooncroft::policy
