/**
 * @file target_set.cpp
 * Targets by turns.
 */
#include "bench/load/target_set.h"

#include <utility>

namespace monsooncroft::bench {

target_set::target_set(std::vector<model::endpoint> aTargets)
  : mTargets(std::move(aTargets))
  , mReady(mTargets.size(), true)
{
}

model::endpoint
target_set::Next()
{
  const std::lock_guard lock(mMutex);
  for (std::size_t i = 0; i < mTargets.size(); ++i) {
    mTurn = (mTurn + 1) % mTargets.size();
    if (mReady[mTurn]) {
      return mTargets[mTurn];
    }
  }
  mTurn = (mTurn + 1) % mTargets.size();
  return mTargets[mTurn];
}

void
target_set::SetReady(std::size_t aTarget, bool aReady)
{
  const std::lock_guard lock(mMutex);
  mReady[aTarget] = aReady;
}

} // namespace monsooncroft::bench
