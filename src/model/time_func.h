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

/** A multiple or part of a duration, cut to whole microseconds. */
inline duration
ScaleDuration(duration aTime, double aFactor)
{
  return duration(
    static_cast<duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

/**
 * What is left of something that is half forgotten after some time.
 * @return From 1 for the present, or a time to come, towards 0.
 */
inline double
DecayFactor(duration aAge, duration aHalfForgotten)
{
  return std::exp2(-std::max(0.0, static_cast<double>(aAge.count())) /
                   static_cast<double>(aHalfForgotten.count()));
}

} // namespace monsooncroft::model

#endif
