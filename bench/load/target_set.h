/**
 * @file target_set.h
 * The balancer's part: which targets take queries.
 */
#ifndef MONSOONCROFT_BENCH_LOAD_TARGET_SET_H
#define MONSOONCROFT_BENCH_LOAD_TARGET_SET_H

#include "model/endpoint_type.h"

#include <mutex>
#include <vector>

namespace monsooncroft::bench {

/** Targets by turns, unready ones passed over. Thread safe. */
class target_set
{
public:
  explicit target_set(std::vector<model::endpoint> aTargets);

  /** The next ready target; any if none is ready. */
  model::endpoint Next();

  void SetReady(std::size_t aTarget, bool aReady);
  const std::vector<model::endpoint>& All() const { return mTargets; }

private:
  const std::vector<model::endpoint> mTargets;
  std::mutex mMutex;
  std::vector<bool> mReady;
  std::size_t mTurn = 0;
};

} // namespace monsooncroft::bench

#endif
