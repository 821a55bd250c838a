/**
 * @file time_type.h
 * Time types: the monotonic clock for durations, the wall clock for ages that
 * are compared between machines.
 */
#ifndef MONSOONCROFT_MODEL_TIME_TYPE_H
#define MONSOONCROFT_MODEL_TIME_TYPE_H

#include <chrono>

namespace monsooncroft::model {

using duration = std::chrono::microseconds;
/** Monotonic time of one process. */
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;
/** Wall-clock time, comparable between machines within their clock error. */
using wall_instant =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace monsooncroft::model

#endif
