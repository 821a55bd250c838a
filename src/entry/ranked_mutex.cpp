/**
 * @file ranked_mutex.cpp
 * Checking the order of locks.
 */
#include "entry/ranked_mutex_base.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace monsooncroft::entry {

namespace {

#ifdef MONSOONCROFT_CHECKED
thread_local std::vector<lock_rank> sHeld; ///< Ranks this thread holds.

void
CheckedTake(lock_rank aRank)
{
  if (!sHeld.empty() && sHeld.back() >= aRank) {
    std::fputs("lock order violated\n", stderr);
    std::abort();
  }
  sHeld.push_back(aRank);
}

void
CheckedGive()
{
  sHeld.pop_back();
}
#else
void
CheckedTake(lock_rank /*aRank*/)
{
}

void
CheckedGive()
{
}
#endif

} // namespace

void
ranked_mutex::lock()
{
  CheckedTake(mRank);
  mMutex.lock();
}

void
ranked_mutex::unlock()
{
  mMutex.unlock();
  CheckedGive();
}

} // namespace monsooncroft::entry
