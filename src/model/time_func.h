/**
 * @file time_func.h
 * Arithmetic on durations.
 */
#ifndef MONSOONCROFT_MODEL_TIME_FUNC_H
#define MONSOONCROFT_MODEL_TIME_FUNC_H

#include "model/time_type.h"

#include <algorithm>
#include <cmath>

namespace monsooncroft::model {

/** Multiplies a duration by a factor; truncated to whole microseconds. */
inline duration
ScaleDuration(duration aTime, double aFactor)
{
  return duration(
    static_cast<duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

/**
 * Returns the exponential decay factor of a value after aAge.
 * @param aAge Age of the value.
 * @param aHalfLife Time in which the value halves.
 * @return 1 for an age of 0 or less, falling towards 0 as the age grows.
 */
inline double
DecayFactor(duration aAge, duration aHalfLife)
{
  return std::exp2(-std::max(0.0, static_cast<double>(aAge.count())) /
                   static_cast<double>(aHalfLife.count()));
}

} // namespace monsooncroft::model

#endif
