/**
 * @file retry_budget_test.cpp
 * Limits of the retry budget, measured over the whole fleet.
 */
#include "serving/retry_budget_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using purpose = retry_budget::purpose;

/** In any sliding window the extra attempts of all instances together stay
 * within the settings. */
TEST(RetryBudget, FleetStaysWithinTheSettingsWhenAllInstancesRetry)
{
  constexpr int kInstances = 9;
  const retry_budget_settings settings{ 0.2, 58, milliseconds(10'000) };
  std::vector<retry_budget> fleet(kInstances, retry_budget(settings));
  for (auto& instance : fleet) {
    instance.SetInstanceCount(kInstances);
  }
  std::mt19937 random(7); // NOLINT(cert-msc51-cpp): the same each time.
  std::deque<std::pair<model::instant, bool>> events;
  model::instant now{};
  for (int step = 0; step < 6'000; ++step) {
    now += milliseconds(9);
    auto& budget = fleet[random() % kInstances];
    budget.OnRequest("s", now);
    events.emplace_back(now, false);
    // First attempts of all requests fail for ten seconds out of thirty.
    const bool failing = (step / 1'100) % 3 == 1;
    if (failing && budget.TryAcquire("s", purpose::Retry, now)) {
      events.emplace_back(now, true);
    }
    while (now - events.front().first > settings.mWindow) {
      events.pop_front();
    }
    const auto extraAttempts =
      std::count_if(events.begin(), events.end(), [](const auto& aEvent) {
        return aEvent.second;
      });
    const auto requests =
      static_cast<double>(events.size()) - static_cast<double>(extraAttempts);
    ASSERT_LE(static_cast<double>(extraAttempts),
              settings.mRatio * requests + settings.mSlack);
  }
}

TEST(RetryBudget, HedgesLeaveAShareForRetries)
{
  retry_budget budget({ 0.2, 0, milliseconds(10'000) });
  model::instant now{ std::chrono::seconds(100) };
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest("s", now);
  }
  int hedges = 0;
  while (budget.TryAcquire("s", purpose::Hedge, now)) {
    ++hedges;
  }
  EXPECT_GT(hedges, 8);
  EXPECT_TRUE(budget.TryAcquire("s", purpose::Retry, now));
}

TEST(RetryBudget, ServicesDoNotShareBudget)
{
  retry_budget budget({ 0.2, 0, milliseconds(10'000) });
  const model::instant now{ std::chrono::seconds(100) };
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest("s", now);
  }
  EXPECT_FALSE(budget.TryAcquire("t", purpose::Retry, now));
}

TEST(RetryBudget, ExtraAttemptsExpireWithTheWindow)
{
  retry_budget budget({ 0.2, 10, milliseconds(10'000) });
  model::instant now{ std::chrono::seconds(100) };
  int acquired = 0;
  while (budget.TryAcquire("s", purpose::Retry, now)) {
    ++acquired;
  }
  EXPECT_EQ(acquired, 8);
  EXPECT_FALSE(
    budget.TryAcquire("s", purpose::Retry, now + milliseconds(9'000)));
  EXPECT_TRUE(
    budget.TryAcquire("s", purpose::Retry, now + milliseconds(11'000)));
}

} // namespace
} // namespace monsooncroft::serving
