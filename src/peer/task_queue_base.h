/**
 * @file task_queue_base.h
 * A task queue with its own worker threads.
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

/** Runs tasks in the order in which they were posted; with a single thread,
 * each task ends before the next starts. Thread safe; lock rank: innermost. */
class task_queue
{
public:
  using task = std::function<void()>;

  explicit task_queue(std::size_t aThreads);
  ~task_queue();
  task_queue(const task_queue&) = delete;
  task_queue& operator=(const task_queue&) = delete;

  void Post(task aTask); ///< Queues a task; dropped after Stop.
  void Stop();           ///< Drops queued tasks and waits for running ones.

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
