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

constexpr model::instant kLongAgo{ std::chrono::hours(-1) };

/** Number of extra attempts that an instance gets at once. */
int
SpendAll(retry_budget& aBudget, model::instant aNow)
{
  int attempts = 0;
  while (aBudget.TryAcquire("s", purpose::Retry, aNow)) {
    ++attempts;
  }
  return attempts;
}

/** In any sliding window the extra attempts of all instances together stay
 * within the settings. */
TEST(RetryBudget, FleetStaysWithinTheSettingsWhenAllInstancesRetry)
{
  constexpr int kInstances = 9;
  const retry_budget_settings settings{ 0.2, 58, milliseconds(10'000) };
  std::vector<retry_budget> fleet(kInstances, retry_budget(settings, kLongAgo));
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
  retry_budget budget({ 0.2, 0, milliseconds(10'000) }, kLongAgo);
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
  retry_budget budget({ 0.2, 0, milliseconds(10'000) }, kLongAgo);
  const model::instant now{ std::chrono::seconds(100) };
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest("s", now);
  }
  EXPECT_FALSE(budget.TryAcquire("t", purpose::Retry, now));
}

TEST(RetryBudget, ExtraAttemptsExpireWithTheWindow)
{
  retry_budget budget({ 0.2, 10, milliseconds(10'000) }, kLongAgo);
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

/** Guards against more repeats than the settings allow while leaves fail and
 * instances are killed: each new process spent the slack of its window again.
 */
TEST(RetryBudget, InstancesThatAreKilledRepeatedlyDoNotGetTheSlackAgain)
{
  constexpr int kInstances = 9;
  const retry_budget_settings settings{ 0.2, 58, milliseconds(10'000) };
  model::instant now{};
  int attempts = 0;
  for (int instance = 0; instance < kInstances; ++instance) {
    model::instant startedAt = kLongAgo;
    for (int life = 0; life < 5; ++life) {
      retry_budget budget(settings, startedAt);
      budget.SetInstanceCount(kInstances);
      startedAt = now + life * milliseconds(1'500);
      attempts += SpendAll(budget, startedAt + milliseconds(1'400));
    }
  }
  EXPECT_GT(attempts, 0);
  EXPECT_LE(attempts, settings.mSlack);
}

/** Guards against more repeats than the settings allow while data centres are
 * cut off from each other: each part took the others for gone, and divided the
 * slack among its own instances. */
TEST(RetryBudget, PartsOfAFleetThatAreCutOffShareTheSlack)
{
  constexpr int kInstances = 9;
  const retry_budget_settings settings{ 0.2, 58, milliseconds(10'000) };
  const model::instant now{};
  int attempts = 0;
  for (int instance = 0; instance < kInstances; ++instance) {
    retry_budget budget(settings, kLongAgo);
    budget.SetInstanceCount(kInstances);
    budget.SetInstanceCount(kInstances / 3);
    attempts += SpendAll(budget, now);
  }
  EXPECT_GT(attempts, 0);
  EXPECT_LE(attempts, settings.mSlack);
}

/** Guards against a new process that makes no retries at all. */
TEST(RetryBudget, AnInstanceThatStartedRetriesAsItsRequestsAllow)
{
  const model::instant now{};
  retry_budget budget({ 0.2, 58, milliseconds(10'000) }, now);
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest("s", now);
  }
  EXPECT_GT(SpendAll(budget, now), 15);
  EXPECT_GT(SpendAll(budget, now + milliseconds(10'000)), 40);
}

} // namespace
} // namespace monsooncroft::serving
