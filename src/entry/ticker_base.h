/**
 * @file ticker_base.h
 * A thread that does something again and again.
 */
#ifndef MONSOONCROFT_ENTRY_TICKER_BASE_H
#define MONSOONCROFT_ENTRY_TICKER_BASE_H

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace monsooncroft::entry {

/** Calls a task, waits, and so on, until it ends. */
class ticker
{
public:
  ticker(std::chrono::milliseconds aPeriod, std::function<void()> aTask);
  ~ticker();   ///< Waits for a call under way.
  void Wake(); ///< Calls the task at once, or again if it is under way.
  ticker(const ticker&) = delete;
  ticker& operator=(const ticker&) = delete;
  ticker(ticker&&) = delete;
  ticker& operator=(ticker&&) = delete;

private:
  void Run();

  std::chrono::milliseconds mPeriod;
  std::function<void()> mTask;
  std::mutex mMutex; ///< Guards mEnded; nothing is called under it.
  std::condition_variable mChanged;
  bool mEnded = false;
  bool mWoken = false;
  std::thread mThread;
};

} // namespace monsooncroft::entry

#endif
