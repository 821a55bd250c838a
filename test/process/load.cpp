/**
 * @file load.cpp
 * Callers on threads.
 */
#include "process/load.h"

#include <utility>

namespace monsooncroft::process_test {

load::load(deployment& aDeployment,
           std::vector<std::string> aKinds,
           int aThreads)
  : mDeployment(aDeployment)
  , mKinds(std::move(aKinds))
  , mUsable(aDeployment.Entries())
{
  for (auto& usable : mUsable) {
    usable = true;
  }
  for (int i = 0; i < aThreads; ++i) {
    mThreads.emplace_back([this, i] { Run(i); });
  }
}

load::~load()
{
  Stop();
}

void
load::SetUsable(int aEntry, bool aUsable)
{
  mUsable.at(aEntry) = aUsable;
}

void
load::Run(int aThread)
{
  int turn = aThread;
  while (!mEnded) {
    ++turn;
    const int entry = turn % mDeployment.Entries();
    if (!mUsable[entry]) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      continue;
    }
    asked one;
    one.mEntry = entry;
    one.mQuery = deployment::Query(mKinds[turn % mKinds.size()]);
    one.mReply = mDeployment.Ask(entry, one.mQuery);
    const std::lock_guard lock(mMutex);
    mAsked.push_back(std::move(one));
  }
}

std::size_t
load::Count() const
{
  const std::lock_guard lock(mMutex);
  return mAsked.size();
}

void
load::WaitFor(std::size_t aMore)
{
  const std::size_t target = Count() + aMore;
  deployment::Eventually([&] { return Count() >= target; });
}

std::vector<asked>
load::Stop()
{
  mEnded = true;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  const std::lock_guard lock(mMutex);
  return mAsked;
}

} // namespace monsooncroft::process_test
