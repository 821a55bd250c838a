/**
 * @file target_latency_test.cpp
 * Slow targets are ordered last, and their recovery is detected.
 */
#include "policy/target_latency_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::policy {
namespace {

using namespace std::chrono_literals;

const target_id kLocal("local");
const target_id kRemote("remote");
const std::vector<target_id> kBoth{ kLocal, kRemote };
const std::vector<target_id> kReversed{ kRemote, kLocal };

TEST(target_latency, slow_target_goes_behind_until_it_recovers)
{
  target_latency latencies;
  for (int i = 0; i < 10; ++i) {
    latencies.Add(kLocal, 100ms);
    latencies.Add(kRemote, 5ms);
  }
  EXPECT_EQ(latencies.Order(kBoth, 1, true), kReversed);
  EXPECT_EQ(latencies.Order(kBoth, target_latency::kProbeInterval, true),
            kBoth);
  EXPECT_EQ(latencies.Order(kBoth, target_latency::kProbeInterval, false),
            kReversed);
  for (int i = 0; i < 40; ++i) {
    latencies.Add(kLocal, 4ms);
  }
  EXPECT_EQ(latencies.Order(kBoth, 1, true), kBoth);
}

TEST(target_latency, small_differences_and_unknown_targets_change_nothing)
{
  target_latency latencies;
  EXPECT_EQ(latencies.Order(kBoth, 1, true), kBoth);
  latencies.Add(kLocal, 4ms);
  EXPECT_EQ(latencies.Order(kBoth, 1, true), kBoth);
  latencies.Add(kRemote, 2ms);
  EXPECT_EQ(latencies.Order(kBoth, 1, true), kBoth);
}

} // namespace
} // namespace monsooncroft::policy
