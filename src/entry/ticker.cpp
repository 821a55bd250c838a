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
ticker::Run()
{
  for (;;) {
    mTask();
    std::unique_lock lock(mMutex);
    if (mChanged.wait_for(lock, mPeriod, [this] { return mEnded; })) {
      return;
    }
  }
}

} // namespace monsooncroft::entry
