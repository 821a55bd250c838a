/**
 * @file task_queue_base.h
 * Threads that run queued tasks.
 */
#ifndef MONSOONCROFT_PEER_TASK_QUEUE_BASE_H
#define MONSOONCROFT_PEER_TASK_QUEUE_BASE_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace monsooncroft::peer {

/** Tasks in order of arrival; one thread runs them strictly one by one. Thread
 * safe; lock rank: innermost. */
class task_queue
{
public:
  using task = std::function<void()>;

  explicit task_queue(std::size_t aThreads);
  ~task_queue();
  task_queue(const task_queue&) = delete;
  task_queue& operator=(const task_queue&) = delete;

  void Post(task aTask); ///< Dropped once stopped.
  void Stop(); ///< Waits for running tasks; those still queued are dropped.

private:
  void Run();

  std::mutex mMutex;
  std::condition_variable mTaskAvailable;
  std::deque<task> mTasks;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace monsooncroft::peer

#endif
