/**
 * @file task_queue.cpp
 * Worker threads that run queued tasks.
 */
#include "peer/task_queue_base.h"

#include <utility>

namespace monsooncroft::peer {

task_queue::task_queue(std::size_t aThreads)
{
  for (std::size_t number = 0; number < aThreads; ++number) {
    mThreads.emplace_back([this] { Run(); });
  }
}

task_queue::~task_queue()
{
  Stop();
}

void
task_queue::Post(task aTask)
{
  {
    const std::lock_guard lock(mMutex);
    if (mStopping) {
      return;
    }
    mTasks.push_back(std::move(aTask));
  }
  mTaskAvailable.notify_one();
}

void
task_queue::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mTasks.clear();
  }
  mTaskAvailable.notify_all();
  for (auto& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
task_queue::Run()
{
  while (true) {
    std::unique_lock lock(mMutex);
    mTaskAvailable.wait(lock, [this] { return mStopping || !mTasks.empty(); });
    if (mTasks.empty()) {
      return;
    }
    const auto next = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    next();
  }
}

} // namespace monsooncroft::peer
