/**
 * @file retry_budget_test.cpp
 * The fleet's budget of extra sends, checked as the fleet is judged.
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

/** Extra sends of all instances in a sliding window never exceed the terms. */
TEST(ExtraBudget, AFleetStaysWithinItsTermsWhenAllWantToSendAgain)
{
  constexpr int kInstances = 9;
  const retry_budget_settings terms{ 0.2, 58, milliseconds(10'000) };
  std::vector<retry_budget> fleet(kInstances, retry_budget(terms));
  for (auto& each : fleet) {
    each.SetInstanceCount(kInstances);
  }
  std::mt19937 random(7); // NOLINT(cert-msc51-cpp): the same each time.
  std::deque<std::pair<model::instant, bool>> events;
  model::instant now{};
  for (int step = 0; step < 6'000; ++step) {
    now += milliseconds(9);
    auto& one = fleet[random() % kInstances];
    one.OnRequest("s", now);
    events.emplace_back(now, false);
    // Every request's first attempt fails for ten seconds out of thirty.
    const bool bad = (step / 1'100) % 3 == 1;
    if (bad && one.TryAcquire("s", purpose::Retry, now)) {
      events.emplace_back(now, true);
    }
    while (now - events.front().first > terms.mWindow) {
      events.pop_front();
    }
    const auto extra =
      std::count_if(events.begin(), events.end(), [](const auto& aEvent) {
        return aEvent.second;
      });
    const auto requests =
      static_cast<double>(events.size()) - static_cast<double>(extra);
    ASSERT_LE(static_cast<double>(extra),
              terms.mRatio * requests + terms.mSlack);
  }
}

TEST(ExtraBudget, HedgesLeaveAShareForFailures)
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

TEST(ExtraBudget, ServicesDoNotShare)
{
  retry_budget budget({ 0.2, 0, milliseconds(10'000) });
  const model::instant now{ std::chrono::seconds(100) };
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest("s", now);
  }
  EXPECT_FALSE(budget.TryAcquire("t", purpose::Retry, now));
}

TEST(ExtraBudget, AWindowEnds)
{
  retry_budget budget({ 0.2, 10, milliseconds(10'000) });
  model::instant now{ std::chrono::seconds(100) };
  int first = 0;
  while (budget.TryAcquire("s", purpose::Retry, now)) {
    ++first;
  }
  EXPECT_EQ(first, 8);
  EXPECT_FALSE(
    budget.TryAcquire("s", purpose::Retry, now + milliseconds(9'000)));
  EXPECT_TRUE(
    budget.TryAcquire("s", purpose::Retry, now + milliseconds(11'000)));
}

} // namespace
} // namespace monsooncroft::serving
