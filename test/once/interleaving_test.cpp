/**
 * @file interleaving_test.cpp
 * Every order of steps of two record keepers: never more than one execution,
 * and every verdict agrees with what happens.
 */
#include "once/record_simulation.h"

#include <gtest/gtest.h>
#include <xxhash.h>

#include <deque>
#include <iostream>
#include <unordered_set>

namespace monsooncroft::once {
namespace {

using namespace std::chrono_literals;

/** What an exploration came to. */
struct exploration
{
  std::size_t mStates = 0;
  std::size_t mExecuted = 0; ///< States in which the request has run.
  std::string mFault;
  std::string mFaultState;
};

exploration
Explore(const record_simulation_options& aOptions)
{
  exploration out;
  std::unordered_set<std::uint64_t> seen;
  std::deque<record_simulation> open;
  const auto visit = [&](record_simulation aWorld) {
    const std::string key = aWorld.StateKey();
    if (seen.insert(XXH3_64bits(key.data(), key.size())).second) {
      open.push_back(std::move(aWorld));
    }
  };
  visit(record_simulation(aOptions));
  while (!open.empty()) {
    const record_simulation world = std::move(open.front());
    open.pop_front();
    ++out.mStates;
    out.mExecuted += world.Executions() > 0 ? 1 : 0;
    if (!world.Violation().empty()) {
      out.mFault = world.Violation();
      out.mFaultState = world.StateKey();
      break;
    }
    world.ForEachStep(visit);
  }
  std::cout << out.mStates << " states, " << out.mExecuted
            << " of them after the execution\n";
  return out;
}

record_settings
Settings(std::chrono::milliseconds aPatience)
{
  record_settings out;
  out.mWindow = 1000ms;
  out.mMaxAhead = 0ms;
  out.mWriteInterval = 0ms;
  out.mMaxWait = aPatience;
  out.mMaxSendDelay = aPatience;
  return out;
}

TEST(interleaving, patient_instances_run_it_at_most_once)
{
  // Only the ages of requests bound a pause here.
  const exploration out = Explore({ Settings(100000ms) });
  EXPECT_EQ(out.mFault, "") << out.mFaultState;
  EXPECT_GT(out.mExecuted, 0U);
}

TEST(interleaving, impatient_instances_run_it_at_most_once)
{
  const exploration out = Explore({ Settings(5ms) });
  EXPECT_EQ(out.mFault, "") << out.mFaultState;
  EXPECT_GT(out.mExecuted, 0U);
}

TEST(interleaving, three_sends_without_kills)
{
  record_simulation_options options{ Settings(5ms) };
  options.mSends = 3;
  options.mRestarts = 0;
  const exploration out = Explore(options);
  EXPECT_EQ(out.mFault, "") << out.mFaultState;
  EXPECT_GT(out.mExecuted, 0U);
}

} // namespace
} // namespace monsooncroft::once
