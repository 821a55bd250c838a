/**
 * @file load.h
 * Callers that ask one query after another until told to stop.
 */
#ifndef MONSOONCROFT_TEST_PROCESS_LOAD_H
#define MONSOONCROFT_TEST_PROCESS_LOAD_H

#include "process/deployment.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace monsooncroft::process_test {

/** One finished query. */
struct asked
{
  int mEntry = 0;
  nlohmann::json mQuery;
  test_support::probe_reply mReply;
};

/** Threads that ask ready instances in turn, as behind a balancer. */
class load
{
public:
  /**
   * Starts asking.
   * @param aDeployment Whom.
   * @param aKinds Kinds, taken in turn.
   * @param aThreads Callers at one time.
   */
  load(deployment& aDeployment, std::vector<std::string> aKinds, int aThreads);
  load(const load&) = delete;
  load& operator=(const load&) = delete;
  ~load();

  /** Takes an instance out of the balancer, or puts it back. */
  void SetUsable(int aEntry, bool aUsable);

  std::size_t Count() const;       ///< Queries that have ended.
  void WaitFor(std::size_t aMore); ///< Until that many more have ended.
  std::vector<asked> Stop();       ///< Ends the callers; all that was asked.

private:
  void Run(int aThread);

  deployment& mDeployment;
  std::vector<std::string> mKinds;
  std::vector<std::atomic<bool>> mUsable;
  std::atomic<bool> mEnded{ false };
  mutable std::mutex mMutex;
  std::vector<asked> mAsked;
  std::vector<std::thread> mThreads;
};

} // namespace monsooncroft::process_test

#endif
