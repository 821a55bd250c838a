/**
 * @file event_loop_base.h
 * The one loop of an entry instance.
 */
#ifndef MONSOONCROFT_GATEWAY_EVENT_LOOP_BASE_H
#define MONSOONCROFT_GATEWAY_EVENT_LOOP_BASE_H

#include "model/time_type.h"

#include <functional>
#include <vector>

// libuv's handle types, so that this header stays cheap.
using uv_loop_t = struct uv_loop_s;
using uv_check_t = struct uv_check_s;
using uv_prepare_t = struct uv_prepare_s;

namespace monsooncroft::gateway {

/** A libuv loop. Everything of the data path runs on its thread. */
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
  /** Called for each event of the network before it is handled. */
  void RecordEvent();
  /**
   * About when what is handled now came in: earlier than the present by what
   * this instance needed to get to it, which counts on a slow or busy machine.
   */
  model::instant ArrivedAt() const { return mArrivedAt; }
  /** Runs later in the same round: for destroying what is on the stack. */
  void Defer(std::function<void()> aWork);

private:
  void RunDeferred();

  uv_loop_t* mLoop;
  uv_check_t* mCheck;     ///< After reading and writing.
  uv_prepare_t* mPrepare; ///< After timers.
  std::vector<std::function<void()>> mDeferred;
  model::instant mWaitStart; ///< The loop had nothing more to do.
  model::instant mWaitEnd;   ///< First event of this round.
  model::instant mArrivedAt;
};

} // namespace monsooncroft::gateway

#endif
