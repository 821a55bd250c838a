/**
 * @file latency_tracker_test.cpp
 * Guards against a tracker that never gives an estimate: rare queries add too
 * few samples per window.
 */
#include "policy/latency_tracker_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(LatencyTracker, RareQueriesGiveAnEstimateToo)
{
  latency_tracker tracker;
  model::instant now{};
  for (int i = 0; i < 2 * latency_tracker::kMinSamples; ++i) {
    tracker.Add(milliseconds(10), now);
    now += seconds(1);
  }
  ASSERT_TRUE(tracker.Quantile());
  EXPECT_EQ(*tracker.Quantile(), milliseconds(10));
}

} // namespace
} // namespace monsooncroft::policy
