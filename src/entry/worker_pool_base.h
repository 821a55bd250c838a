/**
 * @file worker_pool_base.h
 * Threads for calls that block.
 */
#ifndef MONSOONCROFT_ENTRY_WORKER_POOL_BASE_H
#define MONSOONCROFT_ENTRY_WORKER_POOL_BASE_H

#include <functional>
#include <memory>

namespace monsooncroft::entry {

/** Runs tasks in the order given, some at a time. Thread safe. */
class worker_pool
{
public:
  virtual ~worker_pool() = default;

  /**
   * Starts a pool.
   * @param aThreads Tasks that run at one time.
   */
  static std::unique_ptr<worker_pool> Create(unsigned aThreads);

  virtual void Post(std::function<void()> aTask) = 0;
  virtual void Stop() = 0; ///< Waits for the running tasks; drops the others.
};

} // namespace monsooncroft::entry

#endif
