/**
 * @file event_loop.h
 * Threads that carry out tasks and timers, and queues that keep tasks apart.
 */
#ifndef MONSOONCROFT_STANDIN_EVENT_LOOP_H
#define MONSOONCROFT_STANDIN_EVENT_LOOP_H

#include "model/time_type.h"

#include <functional>
#include <memory>

namespace monsooncroft::standin {

/** Tasks of one queue run one after another, on any thread of the loop. */
class serial_queue
{
public:
  virtual ~serial_queue() = default;

  /** Runs @p aTask soon. Thread safe. */
  virtual void Post(std::function<void()> aTask) = 0;
  /** Runs @p aTask once @p aDelay has gone by. Thread safe. */
  virtual void After(model::duration aDelay, std::function<void()> aTask) = 0;
};

/** A few threads over one queue of events. */
class event_loop
{
public:
  virtual ~event_loop() = default;

  /** Makes a loop that is not running yet. */
  static std::unique_ptr<event_loop> Create();

  virtual std::shared_ptr<serial_queue> NewQueue() = 0; ///< Another queue.

  /**
   * Runs until SIGTERM or SIGINT.
   * @param aThreads Threads, the calling one included.
   */
  virtual void Run(int aThreads) = 0;
};

/** The present monotonic time. */
model::instant
Now();

} // namespace monsooncroft::standin

#endif
