/**
 * @file loop_timer_base.h
 * One-shot timer of the event loop.
 */
#ifndef MONSOONCROFT_GATEWAY_LOOP_TIMER_BASE_H
#define MONSOONCROFT_GATEWAY_LOOP_TIMER_BASE_H

#include "model/time_type.h"

#include <functional>

using uv_timer_t = struct uv_timer_s;

namespace monsooncroft::gateway {

class event_loop;

/** Calls a function once per start, unless it is stopped or destroyed. */
class loop_timer
{
public:
  loop_timer(event_loop& aLoop, std::function<void()> aOnFire);
  ~loop_timer();
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;
  loop_timer(loop_timer&&) = delete;
  loop_timer& operator=(loop_timer&&) = delete;

  /** Starts or restarts the timer; rounds up to whole milliseconds. */
  void Start(model::duration aAfter);
  void Stop();

private:
  std::function<void()> mOnFire;
  uv_timer_t* mTimer;
};

} // namespace monsooncroft::gateway

#endif
