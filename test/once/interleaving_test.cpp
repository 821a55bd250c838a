/**
 * @file interleaving_test.cpp
 * Explores every order of steps of two record keepers. Guards against a request
 * that runs twice or whose verdict contradicts what happens, such as a run
 * after it was reported as not run, because platform answers are lost, writes
 * take effect late, instances restart or processes are paused.
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

/** Result of an exploration. */
struct exploration
{
  std::size_t mStates = 0;
  std::size_t mExecuted = 0; ///< States in which the request has run.
  std::string mViolation;
  std::string mViolatingState;
};

exploration
Explore(const record_simulation_options& aOptions)
{
  exploration out;
  std::unordered_set<std::uint64_t> seen;
  std::deque<record_simulation> frontier;
  const auto visit = [&](record_simulation aSimulation) {
    const std::string key = aSimulation.StateKey();
    if (seen.insert(XXH3_64bits(key.data(), key.size())).second) {
      frontier.push_back(std::move(aSimulation));
    }
  };
  visit(record_simulation(aOptions));
  while (!frontier.empty()) {
    const record_simulation simulation = std::move(frontier.front());
    frontier.pop_front();
    ++out.mStates;
    out.mExecuted += simulation.Executions() > 0 ? 1 : 0;
    if (!simulation.Violation().empty()) {
      out.mViolation = simulation.Violation();
      out.mViolatingState = simulation.StateKey();
      break;
    }
    simulation.ForEachStep(visit);
  }
  std::cout << out.mStates << " states, " << out.mExecuted
            << " of them after the execution\n";
  return out;
}

record_settings
Settings(std::chrono::milliseconds aTimeout)
{
  record_settings out;
  out.mWindow = 1000ms;
  out.mMaxAhead = 0ms;
  out.mWriteInterval = 0ms;
  out.mMaxWait = aTimeout;
  out.mMaxSendDelay = aTimeout;
  return out;
}

TEST(interleaving, long_timeouts_run_a_request_at_most_once)
{
  // Only the ages of requests bound a pause with timeouts this long.
  const exploration out = Explore({ Settings(100000ms) });
  EXPECT_EQ(out.mViolation, "") << out.mViolatingState;
  EXPECT_GT(out.mExecuted, 0U);
}

TEST(interleaving, short_timeouts_run_a_request_at_most_once)
{
  const exploration out = Explore({ Settings(5ms) });
  EXPECT_EQ(out.mViolation, "") << out.mViolatingState;
  EXPECT_GT(out.mExecuted, 0U);
}

TEST(interleaving, three_sends_without_restarts_run_a_request_at_most_once)
{
  record_simulation_options options{ Settings(5ms) };
  options.mSends = 3;
  options.mRestarts = 0;
  const exploration out = Explore(options);
  EXPECT_EQ(out.mViolation, "") << out.mViolatingState;
  EXPECT_GT(out.mExecuted, 0U);
}

} // namespace
} // namespace monsooncroft::once
