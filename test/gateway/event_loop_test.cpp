/**
 * @file event_loop_test.cpp
 * Estimated arrival time of events that wait in the loop. Without it, the time
 * that a busy instance needs to get to an answer counts as the leaf's latency.
 */
#include "gateway/event_loop_base.h"
#include "gateway/loop_timer_base.h"

#include <gtest/gtest.h>

#include <thread>

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;

TEST(EventLoop, EventDelayedByAnotherArrivedBeforeIt)
{
  event_loop loop;
  model::instant first;
  model::instant arrived;
  model::instant handled;
  loop_timer busy(loop, [&] {
    loop.RecordEvent();
    first = event_loop::Now();
    std::this_thread::sleep_for(milliseconds(30));
  });
  loop_timer late(loop, [&] {
    loop.RecordEvent();
    arrived = loop.ArrivedAt();
    handled = event_loop::Now();
    loop.Stop();
  });
  busy.Start(milliseconds(10));
  late.Start(milliseconds(10));
  loop.Run();
  EXPECT_LE(arrived, first);
  EXPECT_GE(handled - arrived, milliseconds(30));
}

TEST(EventLoop, EventThatEndsAWaitArrivesNow)
{
  event_loop loop;
  model::duration elapsed{ 0 };
  const model::instant start = event_loop::Now();
  loop_timer timer(loop, [&] {
    loop.RecordEvent();
    elapsed = loop.ArrivedAt() - start;
    loop.Stop();
  });
  timer.Start(milliseconds(20));
  loop.Run();
  // A timer may fire up to a millisecond early.
  EXPECT_GE(elapsed, milliseconds(19));
}

} // namespace
} // namespace monsooncroft::gateway
