/**
 * @file event_loop_base.h
 * The event loop of an entry instance.
 */
#ifndef MONSOONCROFT_GATEWAY_EVENT_LOOP_BASE_H
#define MONSOONCROFT_GATEWAY_EVENT_LOOP_BASE_H

#include "model/time_type.h"

#include <functional>
#include <vector>

// libuv's handle types, declared here so that users of this header do not
// include uv.h.
using uv_loop_t = struct uv_loop_s;
using uv_check_t = struct uv_check_s;
using uv_prepare_t = struct uv_prepare_s;

namespace monsooncroft::gateway {

/** A libuv loop. The whole data path runs on its thread. */
class event_loop
{
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  event_loop(event_loop&&) = delete;
  event_loop& operator=(event_loop&&) = delete;

  void Run();
  void Stop();
  uv_loop_t* UvLoop() { return mLoop; }
  static model::instant Now();
  /** Time since the machine's start; unlike Now(), it counts the time for which
   * the machine was suspended. */
  static model::duration BootTime();
  /** Must be called for each network event before it is handled. */
  void RecordEvent();
  /**
   * Estimated arrival time of the event that is being handled. It is earlier
   * than now by the time that the event waited in the loop, which matters on a
   * slow or busy machine.
   */
  model::instant ArrivedAt() const { return mArrivedAt; }
  /** Runs work later in the same loop iteration, e.g. to destroy objects that
   * are on the stack. */
  void Defer(std::function<void()> aTask);

private:
  void RunDeferred();

  uv_loop_t* mLoop;
  uv_check_t* mCheck;     ///< Runs after socket I/O.
  uv_prepare_t* mPrepare; ///< Runs after timers.
  std::vector<std::function<void()>> mDeferred;
  model::instant mWaitStart; ///< The loop started to wait for events.
  model::instant mWaitEnd;   ///< First event of this loop iteration.
  model::instant mArrivedAt;
};

} // namespace monsooncroft::gateway

#endif
