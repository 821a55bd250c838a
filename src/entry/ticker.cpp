/**
 * @file ticker.cpp
 * The ticking thread.
 */
#include "entry/ticker_base.h"

#include <utility>

namespace monsooncroft::entry {

ticker::ticker(std::chrono::milliseconds aPeriod, std::function<void()> aTask)
  : mPeriod(aPeriod)
  , mTask(std::move(aTask))
  , mThread([this] { Run(); })
{
}

ticker::~ticker()
{
  {
    const std::lock_guard lock(mMutex);
    mEnded = true;
  }
  mChanged.notify_all();
  mThread.join();
}

void
ticker::Wake()
{
  {
    const std::lock_guard lock(mMutex);
    mWoken = true;
  }
  mChanged.notify_all();
}

void
ticker::Run()
{
  for (;;) {
    mTask();
    std::unique_lock lock(mMutex);
    mChanged.wait_for(lock, mPeriod, [this] { return mEnded || mWoken; });
    mWoken = false;
    if (mEnded) {
      return;
    }
  }
}

} // namespace monsooncroft::entry
