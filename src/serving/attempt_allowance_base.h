/**
 * @file attempt_allowance_base.h
 * Divides the attempts that a query may make among its executions.
 */
#ifndef MONSOONCROFT_SERVING_ATTEMPT_ALLOWANCE_BASE_H
#define MONSOONCROFT_SERVING_ATTEMPT_ALLOWANCE_BASE_H

#include <algorithm>
#include <utility>

namespace monsooncroft::serving {

/**
 * The attempts at each shard that a query may make in all, kept by the instance
 * that received it. An execution makes attempts only after they were taken from
 * here, so that all executions together stay within the maximum, whether or not
 * they know of each other.
 */
class attempt_allowance
{
public:
  explicit attempt_allowance(int aMaxAttempts)
    : mRemaining(std::max(aMaxAttempts, 1))
  {
  }

  int Remaining() const { return mRemaining; }
  /** @return 1, or 0 if none is left. */
  int TakeOne()
  {
    const int taken = std::min(mRemaining, 1);
    mRemaining -= taken;
    return taken;
  }
  int TakeRest() { return std::exchange(mRemaining, 0); }
  /** Takes back what was granted to an execution that did not begin. */
  void Return(int aAttempts) { mRemaining += aAttempts; }

private:
  int mRemaining;
};

} // namespace monsooncroft::serving

#endif
